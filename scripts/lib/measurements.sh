# The measurements of scripts/measure, one function each. Sourced after cluster.sh.

# figure NAME VALUE UNIT RUNS
figure() {
    printf '{"figure":"%s","value":%s,"unit":"%s","runs":%s}\n' "$1" "$2" "$3" "$4"
}

# Adds "baseline" to each figure: its value in $BASELINE, or null.
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

unix_ms() {
    date +%s%3N
}

backend_list() {
    local name list=""
    for name in "${!ZONE_OF_STAND_IN[@]}"; do list="$list${list:+,}127.0.0.1:${PORT_OF[$name]}"; done
    echo "$list"
}

# start_exlibris ENTRY_HOSTS: the whole of Exlibris
start_exlibris() {
    local zones=(bergen-a oslo-b trondheim-c) group
    GROUPS_LIST=orders,proofs,registry
    start_control_hosts 3 >&2 && start_entry_hosts "$1" "${zones[@]}" || return 1
    for group in orders proofs registry; do start_group "$group" 40 25 "${zones[@]}"; done
    "$BIN/hickorymountctl" apply --control "$CONTROL" "$ROOT/questionnaires/exlibris.toml" >&2 || return 1
    wait_for_entries && for group in orders proofs registry; do wait_until 15 group_is_served "$group" || return 1; done
}

start_tambour_vert() {
    local zones=(casa-a fes-a marrakech-a) group
    GROUPS_LIST=exchange,inspection,sales
    start_control_hosts 3 >&2 && start_entry_hosts "$1" "${zones[@]}" || return 1
    for group in exchange inspection sales; do start_group "$group" 20 12 "${zones[@]}"; done
    "$BIN/hickorymountctl" apply --control "$CONTROL" "$ROOT/questionnaires/tambour-vert.toml" >&2 || return 1
    wait_for_entries && for group in exchange inspection sales; do wait_until 15 group_is_served "$group" || return 1; done
}

# primary_of GROUP: from the leader's status
primary_of() {
    leader_status | tr -d ' \n' | sed -n "s/.*\"name\":\"$1\",\"record\":{[^}]*\"phase\":\"open\",\"primary\":\"\([^\"]*\)\".*/\1/p"
}

primary_is_not() {
    local now
    now=$(primary_of "$1")
    [ -n "$now" ] && [ "$now" != "$2" ]
}

leader_name() {
    leader_status | sed -n 's/^ *"host": "\([^"]*\)".*/\1/p'
}

# lose_primaries COUNT HOW: kills (KILL) or freezes (STOP) the primary of orders again and again
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

# change_stages: medians of the stages of all unplanned changes, from the leaders' logs
change_stages() {
    local stage
    for stage in detection revocation positions promotion opening; do
        cat "$RUN"/control-*.log | grep 'step=primary_changed' | grep 'planned=false' |
            sed -n "s/.* ${stage}_ms=\([0-9]*\).*/\1/p" | sort -n |
            awk -v name="failover_${stage}_ms" '{v[NR]=$1} END {if (NR) printf "{\"figure\":\"%s_median\",\"value\":%s,\"unit\":\"ms\",\"runs\":%d}\n", name, v[int((NR+1)/2)], NR}'
    done
}

# failover_run LOSSES HOW ENTRY_HOSTS
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
