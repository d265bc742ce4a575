#!/usr/bin/env bash
# One replica is draining, the other receives nothing for a while, and the primary crashes meanwhile.
# Exit code: 1 an acknowledged commit isn't in the log of the promoted server, 0 all are, 2 the case could not run.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
. "$ROOT/review/lib/hosts.sh"
RECORD="$HERE/record.txt"
: >"$RECORD"
TROUBLE=${TROUBLE:-1}

start_group_case
sleep 4
# Planned shutdown of i-2: it serves for drainMs (7 s) after the acknowledgement and a little longer.
order drain i-2
sleep 1
if [ "$TROUBLE" = 1 ]; then
    # As replica_lag "deaf crash" has it: deaf for 6.5 s, and the primary crashes meanwhile, for 7 s.
    order deaf i-3 on
    sleep 3
    order crash i-1
    sleep 3.5
    order deaf i-3 off
    sleep 3.5
    order restart i-1
else
    sleep 10
fi
sleep 3
finish_group_case
