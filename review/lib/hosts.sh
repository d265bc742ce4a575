# Functions that start and end the project's programs on loopback addresses. To be sourced.
# Needs ROOT, the project's folder; sets RUN, a temporary folder for settings, data and logs.

BIN="$ROOT/target/bin"
[ -x "$BIN/hickorymount-controld" ] || { echo "no build in target/" >&2; exit 2; }
RUN=$(mktemp -d)
declare -A PID_OF=() ADDRESS_OF=()

# Kills everything that start_host started, and removes the temporary folder.
end_all() {
    local pid
    for pid in "${PID_OF[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    if [ -n "${KEEP_RUN:-}" ]; then echo "logs: $RUN" >&2; else rm -rf "$RUN"; fi
}
trap end_all EXIT
trap 'exit 2' INT TERM

now_ms() { date +%s%3N; }

# is_free PORT ADDRESS…: true when nothing listens on the port at any of the addresses
is_free() {
    local port=$1 address
    shift
    for address in "$@"; do
        (exec 3<>"/dev/tcp/$address/$port") 2>/dev/null && return 1
    done
    return 0
}

# take_port ADDRESS…: prints a port that is free at all of the addresses
take_port() {
    local port attempt
    for ((attempt = 0; attempt < 50; attempt++)); do
        port=$((20000 + (RANDOM * 32768 + RANDOM) % 10000))
        is_free "$port" "$@" && { echo "$port"; return 0; }
    done
    echo "no free port" >&2
    exit 2
}

# take_ports VARIABLE…: sets each variable to a port that is free at all addresses of ADDRESS_OF, each to another one
take_ports() {
    local variable
    local -A taken=()
    for variable in "$@"; do
        while :; do
            printf -v "$variable" '%s' "$(take_port "${ADDRESS_OF[@]}")"
            [ -n "${!variable}" ] || exit 2
            [ -z "${taken[${!variable}]:-}" ] && break
        done
        taken[${!variable}]=1
    done
}

# start_host NAME COMMAND…: starts COMMAND in the background, with its output in $RUN/NAME.log
start_host() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID_OF[$name]=$!
}

# signal_host NAME SIGNAL
signal_host() { kill "-$2" "${PID_OF[$1]}" 2>/dev/null; }

# end_host NAME SIGNAL: sends the signal and waits until the process is gone
end_host() {
    signal_host "$1" "$2"
    wait "${PID_OF[$1]}" 2>/dev/null
    unset "PID_OF[$1]"
}

# write_control_settings NAME ADDRESS FOUNDS PROMOTIONS SEED…: the filled-in platform/control.toml of a control host
write_control_settings() {
    local name=$1 address=$2 founds=$3 promotions=$4 seeds
    shift 4
    seeds=$(printf '"%s", ' "$@")
    cat >"$RUN/$name.toml" <<SETTINGS
link = "$address:$LINK_PORT"
operators = "$address:$CONTROL_PORT"
data_folder = "$RUN/$name.data"
seeds = [${seeds%, }]
founds = $founds
promotions = "$promotions"
report_interval_ms = 1200
metrics = "$address:$METRICS_PORT"
SETTINGS
}

# http METHOD ADDRESS PORT PATH [BODY]: prints the status, a blank and the body; "000" when there is no whole response
# within a second
http() {
    local method=$1 address=$2 port=$3 path=$4 body=${5:-}
    timeout 1 bash -c '
        exec 3<>"/dev/tcp/$2/$3" || exit 1
        printf "%s %s HTTP/1.1\r\nHost: %s:%s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" \
            "$1" "$4" "$2" "$3" "${#5}" "$5" >&3
        cat <&3' _ "$method" "$address" "$port" "$path" "$body" 2>/dev/null | tr -d '\r' | awk '
        NR == 1 { status = $2 }
        /^Location: / { location = $2 }
        in_body { body = body $0 }
        /^$/ { in_body = 1 }
        END { print (status == "" ? "000" : status), (location == "" ? "-" : location), body }'
}

# write_entry_settings NAME ADDRESS ZONE SEED…: the filled-in platform/entry.toml of an entry host
write_entry_settings() {
    local name=$1 address=$2 zone=$3 seeds
    shift 3
    seeds=$(printf '"%s", ' "$@")
    cat >"$RUN/$name.toml" <<SETTINGS
name = "$name"
availability_zone = "$zone"
callers = "$address:$READY_PORT"
sessions = "$address:$FRONT_PORT"
relay = "$address:$RELAY_PORT"
seeds = [${seeds%, }]
link_port = $LINK_PORT
stop_time_ms = 6000
metrics = "$address:$METRICS_PORT"
caller_connections = 1
SETTINGS
}

# start_control NAME FOUNDS: starts a control host with the seeds in SEEDS
start_control() {
    write_control_settings "$1" "${ADDRESS_OF[$1]}" "$2" "$PLATFORM" "${SEEDS[@]}"
    start_host "$1" "$BIN/hickorymount-controld" --settings "$RUN/$1.toml"
}

# start_entry NAME ZONE: starts an entry host with the seeds in SEEDS
start_entry() {
    write_entry_settings "$1" "${ADDRESS_OF[$1]}" "$2" "${SEEDS[@]}"
    start_host "$1" "$BIN/hickorymount-entryd" --settings "$RUN/$1.toml"
}

# call METHOD BODY HOST…: asks control hosts for /-/config in turn, follows one redirect, and prints "STATUS HOST BODY" of
# the first 200
call() {
    local method=$1 body=$2 host status location answer target
    shift 2
    for host in "$@"; do
        read -r status location answer < <(http "$method" "${ADDRESS_OF[$host]}" "$CONTROL_PORT" /-/config "$body")
        if [ "$status" = 307 ]; then
            target=${location#http://}
            target=${target%%:*}
            read -r status location answer < <(http "$method" "$target" "$CONTROL_PORT" /-/config "$body")
        fi
        [ "$status" = 200 ] && { echo "200 $host $answer"; return 0; }
    done
    echo "${status:-000} - ${answer:-}"
    return 1
}

# call_for SECONDS METHOD BODY HOST…: repeats the call until it is answered with 200 or the time is over
call_for() {
    local end=$(($(now_ms) + $1 * 1000)) result
    shift
    while :; do
        result=$(call "$@") && { echo "$result"; return 0; }
        [ "$(now_ms)" -ge "$end" ] && { echo "$result"; return 1; }
        sleep 0.3
    done
}

# configuration VERSION: a configuration with one database of one service
configuration() {
    echo '{"version":'"$1"',"routes":[{"name":"r-1","host":"orders","pathPrefix":"/","kind":"primary","timeoutMs":800,"targetLatencyMs":400,"priority":1,"service":"ledger","maxAttempts":2}],"services":[{"name":"ledger","healthPath":"/health","maxConnections":22,"protocol":"h1","tls":false,"syncReplicas":1}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}}'
}

# is_ready ENTRY: true when the entry host answers its ready probe with 200
is_ready() {
    local status rest
    read -r status rest < <(http GET "${ADDRESS_OF[$1]}" "$READY_PORT" /health)
    [ "$status" = 200 ]
}

# wait_until SECONDS COMMAND…: repeats COMMAND until it succeeds; fails after SECONDS
wait_until() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -ge "$end" ] && return 1
        sleep 0.1
    done
}

# start_group_case: starts three control hosts, two entry hosts and the stand-in of one database service, sends the first
# configuration and waits until the clients' writes are acknowledged. Orders to the stand-in then go to descriptor 7.
start_group_case() {
    local host
    ADDRESS_OF=([a]=127.0.0.21 [b]=127.0.0.22 [c]=127.0.0.23 [e1]=127.0.0.24 [e2]=127.0.0.25
        [s1]=127.0.0.26 [s2]=127.0.0.27 [s3]=127.0.0.28 [platform]=127.0.0.29)
    take_ports LINK_PORT CONTROL_PORT METRICS_PORT READY_PORT FRONT_PORT RELAY_PORT SERVER_PORT PLATFORM_PORT
    PLATFORM="${ADDRESS_OF[platform]}:$PLATFORM_PORT"
    SEEDS=("${ADDRESS_OF[a]}:$CONTROL_PORT" "${ADDRESS_OF[b]}:$CONTROL_PORT" "${ADDRESS_OF[c]}:$CONTROL_PORT")
    for host in a b c; do start_control $host true; done
    start_entry e1 casa-a
    start_entry e2 fes-a
    call_for 10 PUT "$(configuration 7)" a b c >/dev/null || { echo "the configuration is not acknowledged" >&2; exit 2; }
    mkfifo "$RUN/orders"
    "$ROOT/target/review/database_group" "$RECORD" orders ledger "$(IFS=,; echo "${SEEDS[*]}")" \
        "${ADDRESS_OF[e1]}:$FRONT_PORT,${ADDRESS_OF[e2]}:$FRONT_PORT" \
        "$PLATFORM,${ADDRESS_OF[s1]}:$SERVER_PORT,${ADDRESS_OF[s2]}:$SERVER_PORT,${ADDRESS_OF[s3]}:$SERVER_PORT" \
        <"$RUN/orders" &
    PID_OF[group]=$!
    exec 7>"$RUN/orders"
    wait_until 10 is_ready e1 && wait_until 10 is_ready e2 || { echo "the entry hosts are not ready" >&2; exit 2; }
    order clients
    wait_until 10 grep -q 'gets for .*: DONE' "$RECORD" || { echo "no write is acknowledged" >&2; exit 2; }
}

# order WORDS…: an order to the stand-in
order() { echo "$*" >&7; }

# finish_group_case: ends the stand-in and exits with the result of its checks
finish_group_case() {
    local code
    order finish
    wait "${PID_OF[group]}"
    code=$?
    unset "PID_OF[group]"
    grep -e BROKEN -e 'acknowledged writes' -e 'leads term' -e '^[0-9]* ms    ' "$RECORD"
    exit $code
}
