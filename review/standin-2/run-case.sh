#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Ends with 1 if the rule was broken, 0 if it held and 2 if the
# case couldn't run.
case=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/cuminspreadd target/review-2/standin-2; do
  if [ ! -x "$program" ]; then
    echo "$program isn't built" >&2
    exit 2
  fi
done
scratch=$(mktemp -d) || exit 2
# Ends what the case has started, also when it is interrupted.
clean() {
  if [ -n "$pid" ]; then kill "$pid" 2>/dev/null; fi
  if [ -f "$scratch/pids" ]; then
    while read -r started; do kill -9 "$started" 2>/dev/null; done < "$scratch/pids"
  fi
  if [ -n "$KEEP_LOGS" ]; then echo "logs in $scratch" >&2; else rm -rf "$scratch"; fi
}
trap 'clean; exit 2' INT TERM HUP
target/review-2/standin-2 "$case" "$folder" "$scratch" &
pid=$!
wait "$pid"
code=$?
pid=
clean
exit "$code"
