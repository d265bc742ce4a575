#!/usr/bin/env bash
# A control host is replaced as planned; while the successor is about to become a voter, its process is killed and starts
# again. Exit code: 1 control never leads again, 0 it does, 2 the case could not run.
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

ADDRESS_OF=([a]=127.0.0.31 [b]=127.0.0.32 [c]=127.0.0.33 [d]=127.0.0.34)
take_ports LINK_PORT CONTROL_PORT METRICS_PORT
PLATFORM=127.0.0.1:9
SEEDS=("${ADDRESS_OF[a]}:$CONTROL_PORT" "${ADDRESS_OF[b]}:$CONTROL_PORT" "${ADDRESS_OF[c]}:$CONTROL_PORT")

STARTED=$(now_ms)
record() { echo "$(($(now_ms) - STARTED)) ms  $*" | tee -a "$RECORD"; }

for host in a b c; do start_control $host true; done
result=$(call_for 10 PUT "$(configuration 7)" a b c) || { record "the first configuration is not acknowledged: $result"; exit 2; }
record "PUT version 7: $result"
for leaving in a b c; do grep -q step=lead "$RUN/$leaving.log" || break; done
others=$(echo a b c d | tr -d "$leaving")

start_control d false
record "host d starts at ${ADDRESS_OF[d]} with an empty disk, founds=false"
sleep $((CATCH_UP_S + CONTACT_S + 1))
result=$(call_for 5 PUT "$(configuration 9)" a b c d) || { record "not acknowledged: $result"; exit 2; }
record "PUT version 9: $result"

record "SIGTERM to host $leaving, which leaves for good; its successor d has run for $((CATCH_UP_S + CONTACT_S + 1)) s"
end_host "$leaving" TERM
record "host $leaving has ended"
sleep 1.7
if [ "$TROUBLE" = 1 ]; then
    record "host d is killed"
    end_host d KILL
    sleep $DOWN_S
    start_control d false
    record "host d starts again with its disk; hosts $others run"
fi

sleep $RECOVERY_S
result=$(call_for $((CONTACT_S * 3)) GET "" $others)
code=$?
record "GET, $RECOVERY_S s after all are back, repeated for up to $((CONTACT_S * 3)) s: ${result:0:60}"
change=$(call_for $CONTACT_S PUT "$(configuration 12)" $others)
record "PUT version 12, repeated for up to $CONTACT_S s: ${change:0:60}"
if [ $code -eq 0 ] && [[ $result == *'"version":9,'* ]]; then
    record "held: version 9 is read back"
    exit 0
fi
record "BROKEN: version 9 was acknowledged and can't be read back"
exit 1
