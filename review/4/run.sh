#!/usr/bin/env bash
# A control host is replaced as planned; then one other control host loses its disk.
# Exit code: 1 the acknowledged configuration can't be read any more, 0 it can, 2 the case could not run.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
. "$ROOT/review/lib/hosts.sh"
RECORD="$HERE/record.txt"
: >"$RECORD"
TROUBLE=${TROUBLE:-1}

# Bounds of a small deployment (sites/tambour-vert.toml).
CATCH_UP_S=4
CONTACT_S=5
RECOVERY_S=12
DOWN_S=3

ADDRESS_OF=([a]=127.0.0.11 [b]=127.0.0.12 [c]=127.0.0.13 [d]=127.0.0.14)
take_ports LINK_PORT CONTROL_PORT METRICS_PORT
PLATFORM=127.0.0.1:9
SEEDS=("${ADDRESS_OF[a]}:$CONTROL_PORT" "${ADDRESS_OF[b]}:$CONTROL_PORT" "${ADDRESS_OF[c]}:$CONTROL_PORT")

STARTED=$(now_ms)
record() { echo "$(($(now_ms) - STARTED)) ms  $*" | tee -a "$RECORD"; }

for host in a b c; do start_control $host true; done
result=$(call_for 10 PUT "$(configuration 7)" a b c) || { record "the first configuration is not acknowledged: $result"; exit 2; }
record "PUT version 7: $result"

start_control d false
record "host d starts at ${ADDRESS_OF[d]} with an empty disk, founds=false"
sleep $((CATCH_UP_S + CONTACT_S + 1))
result=$(call_for 5 PUT "$(configuration 9)" a b c d) || { record "not acknowledged: $result"; exit 2; }
record "PUT version 9: $result"

record "SIGTERM to host a, which leaves for good; its successor d has run for $((CATCH_UP_S + CONTACT_S + 1)) s"
end_host a TERM
record "host a has ended"
sleep 1
if [ "$TROUBLE" = 1 ]; then
    record "host b loses its power and its disk; hosts c and d run on"
    end_host b KILL
    rm -rf "$RUN/b.data"
    sleep $DOWN_S
    start_control b false
    record "host b starts again with an empty disk, founds=false"
fi
sleep $CATCH_UP_S

result=$(call_for $((RECOVERY_S + 3 * CONTACT_S)) GET "" c d b)
code=$?
record "GET, repeated for up to $((RECOVERY_S + 3 * CONTACT_S)) s: ${result:0:60}"
change=$(call_for $CONTACT_S PUT "$(configuration 12)" c d b)
record "PUT version 12, repeated for up to $CONTACT_S s: ${change:0:60}"
if [ $code -eq 0 ] && [[ $result == *'"version":9,'* ]]; then
    record "held: version 9 is read back"
    exit 0
fi
record "BROKEN: version 9 was acknowledged and can't be read back"
exit 1
