#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the driver takes it from the environment.
TROUBLE=${TROUBLE:-1}
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x "$here/../bin/case-5" ] && [ -x target/apps/kingcupcartd ] || exit 2
timeout -s KILL 110 "$here/../bin/case-5" "$here" &
group=$!
wait "$group"
code=$?
# The driver ends what it started; this is for a driver that was ended itself.
kill -s KILL -- "-$group" 2>/dev/null
[ "$code" -le 1 ] || exit 2
exit "$code"
