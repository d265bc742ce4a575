# The measurements of scripts/measure, one function measure_NAME each. To be sourced after cluster.sh.

# figure NAME VALUE UNIT RUNS: prints one figure; RUNS is the number of samples
figure() {
    printf '{"figure":"%s","value":%s,"unit":"%s","runs":%s}\n' "$1" "$2" "$3" "$4"
}

# Adds "baseline" to each figure: its value in the file $BASELINE, or null.
add_baselines() {
    local line name value
    while IFS= read -r line; do
        name=$(echo "$line" | sed -n 's/.*"figure":"\([^"]*\)".*/\1/p')
        [ -z "$name" ] && { echo "$line"; continue; }
        value=null
        [ -n "${BASELINE:-}" ] && value=$(grep -F "\"figure\":\"$name\"" "$BASELINE" | head -1 |
            sed -n 's/.*"value":\([^,}]*\).*/\1/p')
        echo "${line%\}},\"baseline\":${value:-null}}"
    done
}

# Prints the Unix time in milliseconds.
unix_ms() {
    date +%s%3N
}

# Prints the addresses of all backend servers, separated by commas.
backend_list() {
    local name list=""
    for name in "${!ZONE_OF_STAND_IN[@]}"; do list="$list${list:+,}127.0.0.1:${PORT_OF[$name]}"; done
    echo "$list"
}

# start_exlibris ENTRY_HOSTS: starts the cluster of questionnaires/exlibris.toml
start_exlibris() {
    local zones=(bergen-a oslo-b trondheim-c) group
    GROUPS_LIST=orders,proofs,registry
    start_control_hosts 3 >&2 && start_entry_hosts "$1" "${zones[@]}" || return 1
    for group in orders proofs registry; do start_group "$group" 40 25 "${zones[@]}"; done
    "$BIN/hickorymountctl" apply --control "$CONTROL" "$ROOT/questionnaires/exlibris.toml" >&2 || return 1
    wait_for_entries && for group in orders proofs registry; do wait_until 15 group_is_served "$group" || return 1; done
}

# start_tambour_vert ENTRY_HOSTS: starts the cluster of questionnaires/tambour-vert.toml
start_tambour_vert() {
    local zones=(casa-a fes-a marrakech-a) group
    GROUPS_LIST=exchange,inspection,sales
    start_control_hosts 3 >&2 && start_entry_hosts "$1" "${zones[@]}" || return 1
    for group in exchange inspection sales; do start_group "$group" "${STAND_IN_CONNECTIONS:-20}" 12 "${zones[@]}"; done
    "$BIN/hickorymountctl" apply --control "$CONTROL" "$ROOT/questionnaires/tambour-vert.toml" >&2 || return 1
    wait_for_entries && for group in exchange inspection sales; do wait_until 15 group_is_served "$group" || return 1; done
}

# primary_of GROUP: prints the primary in the leader's status; nothing unless the group is in phase "open"
primary_of() {
    leader_status | tr -d ' \n' | sed -n "s/.*\"name\":\"$1\",\"record\":{[^}]*\"phase\":\"open\",\"primary\":\"\([^\"]*\)\".*/\1/p"
}

# primary_is_not GROUP SERVER: succeeds when the group has another primary
primary_is_not() {
    local now
    now=$(primary_of "$1")
    [ -n "$now" ] && [ "$now" != "$2" ]
}

leader_name() {
    leader_status | sed -n 's/^ *"host": "\([^"]*\)".*/\1/p'
}

# lose_primaries COUNT SIGNAL: COUNT times kills (KILL) or suspends (STOP) the primary of orders, and brings it back
lose_primaries() {
    local at lost
    for ((at = 0; at < $1; at++)); do
        lost=$(primary_of orders)
        [ -z "$lost" ] && { sleep 1; continue; }
        echo "$lost $(unix_ms)" >>"$RUN/losses"
        end_process "$lost" "$2"
        wait_until 10 primary_is_not orders "$lost" || return 1
        sleep 0.5
        if [ "$2" = STOP ]; then
            end_process "$lost" CONT
        else
            start_stand_in "$lost" 127.0.0.1:1
        fi
        sleep 2
    done
}

# change_stages: prints the median time of each stage of the unplanned failovers, from the logs of the control hosts
change_stages() {
    local stage
    for stage in detection revocation positions promotion opening; do
        cat "$RUN"/control-*.log | grep 'step=primary_changed' | grep 'planned=false' |
            sed -n "s/.* ${stage}_ms=\([0-9]*\).*/\1/p" | sort -n |
            awk -v name="failover_${stage}_ms" '{v[NR]=$1} END {if (NR) printf "{\"figure\":\"%s_median\",\"value\":%s,\"unit\":\"ms\",\"runs\":%d}\n", name, v[int((NR+1)/2)], NR}'
    done
}

# failover_run LOSSES SIGNAL ENTRY_HOSTS: runs load on Exlibris during lose_primaries, and prints the figures
failover_run() {
    start_exlibris "$3" || return 1
    local load
    : >"$RUN/losses"
    "$BIN/hickorymount-load" --entries "$ENTRIES" --backends "$(backend_list)" --groups orders,proofs,registry \
        --read-class proof-read --write-class proof-approval --booking-class order --replicated \
        --rate 300 --sessions 48 --read-percent 50 --duration-ms $(($1 * 4500 + 3000)) --losses "$RUN/losses" \
        --settle-ms 3000 >"$RUN/load.out" 2>"$RUN/load.err" &
    load=$!
    sleep 1
    lose_primaries "$1" "$2" >&2
    wait "$load"
    figure "load_exit_code" $? code 1
    grep -v _one "$RUN/load.out"
    change_stages
}

measure_failover_gap_ms() {
    failover_run "${LOSSES:-20}" KILL 6
}

measure_failover_gap_frozen_ms() {
    failover_run "${LOSSES:-20}" STOP 6
}

# The latency that an entry host adds, compared with direct calls to the backend server in the same run.
measure_path_overhead() {
    # The entry host opens 20 connections, and the direct caller needs one more.
    STAND_IN_CONNECTIONS=24 start_tambour_vert 1 || return 1
    "$BIN/hickorymount-load" --entries "$ENTRIES" --backends "127.0.0.1:${PORT_OF[exchange-1]}" --groups exchange \
        --write-class inspection-log --compare-path 5000
}

# resident_kb NAME, cpu_ticks NAME: resident memory in kB and CPU time in ticks of a process that start_process started
resident_kb() {
    awk '/^VmRSS/ {print $2}' "/proc/${PID_OF[$1]}/status"
}
cpu_ticks() {
    awk '{print $14 + $15}' "/proc/${PID_OF[$1]}/stat"
}

# bytes_sent PORT: prints the bytes that the process has sent on control links
bytes_sent() {
    curl -sf "http://127.0.0.1:$1/metrics" | awk '/^hickorymount_control_bytes_sent_total/ {print $2}'
}

# Memory, CPU share and control traffic of idle processes, over 10 s.
measure_idle() {
    start_tambour_vert "${ENTRY_HOSTS:-6}" || return 1
    sleep 3
    local leader entry_ticks leader_ticks entry_bytes leader_bytes seconds=10
    leader=$(leader_name)
    entry_ticks=$(cpu_ticks entry-1) leader_ticks=$(cpu_ticks "$leader")
    entry_bytes=$(bytes_sent "${PORT_OF[entry-1]}") leader_bytes=$(bytes_sent "${OPERATORS_PORT_OF[$leader]}")
    sleep $seconds
    figure entry_host_resident "$(resident_kb entry-1)" kB 1
    figure control_leader_resident "$(resident_kb "$leader")" kB 1
    # A tick is 10 ms, so ticks per second equal percent of a CPU.
    figure entry_host_idle_processor "$(awk "BEGIN {print ($(cpu_ticks entry-1) - $entry_ticks) / $seconds}")" percent 1
    figure control_leader_idle_processor "$(awk "BEGIN {print ($(cpu_ticks "$leader") - $leader_ticks) / $seconds}")" percent 1
    figure entry_host_sent_for_control "$(awk "BEGIN {print ($(bytes_sent "${PORT_OF[entry-1]}") - $entry_bytes) / $seconds}")" B/s 1
    figure control_leader_sent "$(awk "BEGIN {print ($(bytes_sent "${OPERATORS_PORT_OF[$leader]}") - $leader_bytes) / $seconds}")" B/s 1
}

# Memory of an entry host per kept-alive caller connection.
measure_caller_memory() {
    CALLER_CONNECTIONS=600 start_tambour_vert 1 || return 1
    local before after at
    before=$(resident_kb entry-1)
    for ((at = 0; at < 500; at++)); do exec {held}<>"/dev/tcp/127.0.0.1/${PORT_OF[entry-1]}"; done
    sleep 2
    after=$(resident_kb entry-1)
    figure entry_host_memory_per_kept_alive_caller "$(awk "BEGIN {print ($after - $before) / 500}")" kB 500
}

# Claims per second that a leader of three control hosts grants, with syncs to disk and without entry hosts.
measure_claims_per_second() {
    start_control_hosts 3 >&2 || return 1
    local name links=""
    for name in "${CONTROL_NAMES[@]}"; do links="$links${links:+,}127.0.0.1:${PORT_OF[$name]}"; done
    "$BIN/hickorymount-load" --claims "$links" --duration-ms 6000
}

# Bookings per second through entry hosts, control hosts and backend servers, all on one machine.
measure_bookings_per_second() {
    start_tambour_vert 3 || return 1
    "$BIN/hickorymount-load" --entries "$ENTRIES" --backends "$(backend_list)" --groups exchange,inspection,sales \
        --read-class inspection-read --write-class inspection-log --booking-class booking --read-percent 0 \
        --booking-percent 100 --sessions "${SESSIONS:-96}" --rate "${RATE:-4000}" --duration-ms 8000 |
        sed 's/answered_per_second/bookings_per_second/'
}

# Time from the start of hickorymountctl until a change is in force on every live entry host.
measure_configuration_in_force_ms() {
    start_tambour_vert 6 || return 1
    local at began
    for ((at = 0; at < 20; at++)); do
        sed "s/max_age = \"5s\"/max_age = \"$((at + 1))s\"/" "$ROOT/questionnaires/tambour-vert.toml" >"$RUN/changed.toml"
        began=$(unix_ms)
        "$BIN/hickorymountctl" apply --control "$CONTROL" "$RUN/changed.toml" >/dev/null || return 1
        echo $(($(unix_ms) - began))
    done | sort -n | awk '{v[NR]=$1} END {
        printf "{\"figure\":\"configuration_in_force_ms_median\",\"value\":%s,\"unit\":\"ms\",\"runs\":%d}\n", v[int((NR+1)/2)], NR
        printf "{\"figure\":\"configuration_in_force_ms_worst\",\"value\":%s,\"unit\":\"ms\",\"runs\":%d}\n", v[NR], NR}'
}

# Errors that callers get during planned changes of primary under load; none are expected.
measure_planned_switch_errors() {
    start_tambour_vert 3 || return 1
    "$BIN/hickorymount-load" --entries "$ENTRIES" --backends "$(backend_list)" --groups exchange,inspection,sales \
        --read-class inspection-read --write-class inspection-log --booking-class booking --rate 200 --sessions 32 \
        --duration-ms 16000 >"$RUN/load.out" &
    local load=$! at from to
    for ((at = 0; at < 5; at++)); do
        sleep 2
        from=$(primary_of exchange)
        to=exchange-1
        [ "$from" = exchange-1 ] && to=exchange-2
        "$BIN/hickorymountctl" switch --control "$CONTROL" exchange "$to" >&2
    done
    wait $load
    cat "$RUN/load.out"
    figure planned_switches "$(cat "$RUN"/control-*.log | grep -c 'step=primary_changed.*planned=true')" changes 1
}

# Share of the reads that replicas serve under load, with a replication lag of 200 ms.
measure_replica_read_share() {
    LAG_MS=200 start_tambour_vert 6 || return 1
    "$BIN/hickorymount-load" --entries "$ENTRIES" --backends "$(backend_list)" --groups exchange,inspection,sales \
        --read-class inspection-read --write-class inspection-log --rate 400 --sessions 48 --read-percent 80 \
        --duration-ms 10000
}

# run_losses COUNT LOSE_FUNCTION SECONDS_EACH: runs load on Exlibris while calling LOSE_FUNCTION COUNT times
run_losses() {
    start_exlibris 4 || return 1
    local load at
    : >"$RUN/losses"
    "$BIN/hickorymount-load" --entries "$ENTRIES" --backends "$(backend_list)" --groups orders,proofs,registry \
        --read-class proof-read --write-class proof-approval --booking-class order --replicated \
        --rate 200 --sessions 48 --read-percent 50 --duration-ms $(($1 * $3 * 1000 + 3000)) --losses "$RUN/losses" \
        --settle-ms 4000 >"$RUN/load.out" 2>"$RUN/load.err" &
    load=$!
    sleep 1
    for ((at = 0; at < $1; at++)); do "$2" >&2; done
    wait "$load"
    figure load_exit_code $? code 1
    grep -v _one "$RUN/load.out"
    figure processes_ended_by_themselves "$(ended_by_themselves)" processes 1
}

# Prints the number of processes that have ended although no measurement ended them. Every measurement restarts the
# processes that it ends.
ended_by_themselves() {
    local name count=0
    for name in "${!PID_OF[@]}"; do kill -0 "${PID_OF[$name]}" 2>/dev/null || count=$((count + 1)); done
    echo $count
}

# another_leader NAME: succeeds when a control host other than NAME is the leader
another_leader() {
    local now
    now=$(leader_name)
    [ -n "$now" ] && [ "$now" != "$1" ]
}

lose_control_leader() {
    local lost
    lost=$(leader_name)
    end_process "$lost" KILL
    wait_until 10 another_leader "$lost" || return 1
    sleep 0.5
    start_control_host "$lost"
    sleep 1.5
}

lose_primary_and_control_leader() {
    local leader primary
    leader=$(leader_name) primary=$(primary_of orders)
    [ -z "$primary" ] && { sleep 1; return; }
    echo "$primary $(unix_ms)" >>"$RUN/losses"
    end_process "$leader" KILL
    end_process "$primary" KILL
    wait_until 12 primary_is_not orders "$primary" || return 1
    sleep 0.5
    start_control_host "$leader"
    start_stand_in "$primary" 127.0.0.1:1
    sleep 2
}

lose_entry_host() {
    local lost=entry-$((RANDOM % 4 + 1))
    end_process "$lost" KILL
    sleep 0.3
    start_entry_host "$lost"
    wait_until 10 entry_is_ready "$lost"
    sleep 1
}

restart_entry_host_as_planned() {
    local name=entry-$((at % 4 + 1))
    end_process "$name" TERM
    wait "${PID_OF[$name]}"
    start_entry_host "$name"
    wait_until 10 entry_is_ready "$name"
    sleep 0.5
}

measure_control_leader_lost() {
    run_losses "${LOSSES:-20}" lose_control_leader 4
}

measure_primary_and_control_leader_lost() {
    run_losses "${LOSSES:-20}" lose_primary_and_control_leader 7
}

measure_entry_host_killed() {
    run_losses "${LOSSES:-20}" lose_entry_host 3
}

# Stops each entry host in turn with SIGTERM. Callers also choose a stopped entry host, so "entry host not reached" is
# expected; no_answer counts the requests that the stop interrupted.
measure_rolling_restart() {
    run_losses "${LOSSES:-4}" restart_entry_host_as_planned 5
}
