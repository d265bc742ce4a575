# Functions that start and stop a cluster on loopback. To be sourced; needs ROOT and RUN, a folder for settings and logs.

BIN="$ROOT/build/bin"
PIDS=()
declare -A PID_OF=() PORT_OF=() OPERATORS_PORT_OF=()
CONTROL_NAMES=()
ENTRY_NAMES=()

# start_process NAME COMMAND…: starts COMMAND in the background, with its output in $RUN/NAME.log
start_process() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PID_OF[$name]=$!
    PIDS+=($!)
}

# end_process NAME SIGNAL: sends SIGNAL to a process that start_process started
end_process() {
    kill "-$2" "${PID_OF[$1]}" 2>/dev/null
}

# Kills all processes that start_process started. SIGCONT comes first, because some may be stopped.
end_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
    PIDS=()
}

# wait_until SECONDS COMMAND…: repeats COMMAND until it succeeds; fails after SECONDS
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $end ] && { echo "timed out waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

# take_ports COUNT: sets FREE_PORTS to this many free ports
take_ports() {
    mapfile -t FREE_PORTS < <("$BIN/hickorymountctl" free-ports --count "$1")
}

# control_list NAME: prints the addresses of every control host except NAME, as in the settings
control_list() {
    local self=$1 name list=""
    for name in "${CONTROL_NAMES[@]}"; do
        [ "$name" = "$self" ] && continue
        list="$list{name = \"$name\", address = \"127.0.0.1:${PORT_OF[$name]}\"}, "
    done
    echo "[${list%, }]"
}

write_control_settings() {
    cat >"$RUN/$1.toml" <<SETTINGS
name = "$1"
link = "127.0.0.1:${PORT_OF[$1]}"
operators = "127.0.0.1:${OPERATORS_PORT_OF[$1]}"
data_folder = "$RUN/$1.data"
control_hosts = $(control_list "$1")
SETTINGS
}

start_control_host() {
    start_process "$1" "$BIN/hickorymount-controld" --settings "$RUN/$1.toml"
}

# start_control_hosts COUNT: starts control hosts, forms a cluster of them, and sets CONTROL to their operators' addresses
start_control_hosts() {
    local at name
    take_ports $((2 * $1))
    for ((at = 0; at < $1; at++)); do
        name="control-$((at + 1))"
        CONTROL_NAMES+=("$name")
        PORT_OF[$name]=${FREE_PORTS[$((2 * at))]}
        OPERATORS_PORT_OF[$name]=${FREE_PORTS[$((2 * at + 1))]}
    done
    CONTROL=""
    for name in "${CONTROL_NAMES[@]}"; do
        write_control_settings "$name"
        start_control_host "$name"
        CONTROL="$CONTROL${CONTROL:+,}127.0.0.1:${OPERATORS_PORT_OF[$name]}"
    done
    for name in "${CONTROL_NAMES[@]}"; do
        wait_until 10 curl -sf "http://127.0.0.1:${OPERATORS_PORT_OF[$name]}/v1/identity" || return 1
    done
    "$BIN/hickorymountctl" form --control "$CONTROL"
}

start_entry_host() {
    start_process "$1" "$BIN/hickorymount-entryd" --settings "$RUN/$1.toml"
}

# start_entry_hosts COUNT ZONE…: starts entry hosts, assigns the zones in turn, and sets ENTRIES to their addresses
start_entry_hosts() {
    local count=$1 at name
    shift
    local zones=("$@")
    take_ports "$count"
    ENTRIES=""
    for ((at = 0; at < count; at++)); do
        name="entry-$((at + 1))"
        ENTRY_NAMES+=("$name")
        PORT_OF[$name]=${FREE_PORTS[$at]}
        cat >"$RUN/$name.toml" <<SETTINGS
name = "$name"
availability_zone = "${zones[$((at % ${#zones[@]}))]}"
callers = "127.0.0.1:${PORT_OF[$name]}"
control_hosts = $(control_list "")
caller_connections = ${CALLER_CONNECTIONS:-64}
SETTINGS
        start_entry_host "$name"
        ENTRIES="$ENTRIES${ENTRIES:+,}127.0.0.1:${PORT_OF[$name]}"
    done
}

# start_group GROUP CONNECTIONS CONNECTION_COST_MS ZONE…: starts a primary in the first zone and a replica in each other
# zone. LAG_MS sets the replication lag, SERVICE_MS the time that a statement takes.
start_group() {
    local group=$1 connections=$2 cost=$3 at name primary=""
    shift 3
    local zones=("$@")
    take_ports ${#zones[@]}
    for ((at = 0; at < ${#zones[@]}; at++)); do
        name="$group-$((at + 1))"
        PORT_OF[$name]=${FREE_PORTS[$at]}
        ZONE_OF_STAND_IN[$name]=${zones[$at]}
        COST_OF_STAND_IN[$name]=$cost
        CONNECTIONS_OF_STAND_IN[$name]=$connections
        start_stand_in "$name" "$primary"
        [ -z "$primary" ] && primary="127.0.0.1:${PORT_OF[$name]}"
    done
}
declare -A ZONE_OF_STAND_IN=() COST_OF_STAND_IN=() CONNECTIONS_OF_STAND_IN=()

# start_stand_in NAME PRIMARY_ADDRESS: starts a backend server; an empty address makes it the primary
start_stand_in() {
    start_process "$1" "$BIN/database_stand_in" --name "$1" --group "${1%-*}" --zone "${ZONE_OF_STAND_IN[$1]}" \
        --listen "127.0.0.1:${PORT_OF[$1]}" --announce-to "$ENTRIES" --connections "${CONNECTIONS_OF_STAND_IN[$1]}" \
        --connection-cost-ms "${COST_OF_STAND_IN[$1]}" --lag-ms "${LAG_MS:-20}" --service-ms "${SERVICE_MS:-0}" \
        ${2:+--primary "$2"}
}

entry_is_ready() {
    curl -sf "http://127.0.0.1:${PORT_OF[$1]}/health"
}

wait_for_entries() {
    local name
    for name in "${ENTRY_NAMES[@]}"; do wait_until 15 entry_is_ready "$name" || return 1; done
}

# group_is_served GROUP: succeeds when each entry host has the group in phase "open" and idle connections to all servers
group_is_served() {
    local name page
    for name in "${ENTRY_NAMES[@]}"; do
        page=$(curl -sf "http://127.0.0.1:${PORT_OF[$name]}/v1/status") || return 1
        echo "$page" | grep -q "\"$1\":{[^}]*\"phase\":\"open\"" || return 1
        echo "$page" | grep -q '"idle":0' && return 1
    done
    return 0
}

# Prints the status of the control hosts' leader.
leader_status() {
    "$BIN/hickorymountctl" status --control "$CONTROL"
}
