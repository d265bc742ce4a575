#!/usr/bin/env bash
# One replica is shut down as planned while the other receives nothing for a while; the primary runs all the time.
# Exit code: 1 an acknowledged commit isn't in the log of the promoted server, 0 all are, 2 the case could not run.
set -u
HERE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$HERE/../.." && pwd)
. "$ROOT/review/lib/hosts.sh"
RECORD="$HERE/record.txt"
: >"$RECORD"
TROUBLE=${TROUBLE:-1}

start_group_case
sleep 3
# Planned shutdown of i-2: it serves for drainMs (7 s) after the acknowledgement and a little longer, then it leaves.
order drain i-2
sleep 6.5
# As replica_lag "deaf" has it: deaf for 6.5 s.
[ "$TROUBLE" = 1 ] && order deaf i-3 on
sleep 1.5
order leave i-2
sleep 4.5
order replace i-2 i-4
sleep 0.5
[ "$TROUBLE" = 1 ] && order deaf i-3 off
sleep 5
finish_group_case
