#!/bin/sh
# Plays a case: run.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/release/oxbowd ] || { echo "build first, see review/build-2.sh"; exit 2; }
PIDS=$(mktemp) || exit 2
export PIDS
interrupted() {
    kill "$rig" 2>/dev/null
    # The play ends its daemons itself, unless it is interrupted.
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$PIDS"
    rm -f "$PIDS"
    exit 2
}
trap interrupted INT TERM
target/review-2/rig "$1" "$2/record.txt" &
rig=$!
wait "$rig"
code=$?
rm -f "$PIDS"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
