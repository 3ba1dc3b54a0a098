#!/bin/sh
# Runs the case of this number from the repository's root, for 110 s at most, and ends what it started.
cd "$(dirname "$0")/../.." || exit 2
case=review/$1
program=target/review/case$1
[ -x "$program" ] || { echo "$program is missing: run review/build.sh"; exit 2; }
[ -x target/release/asterreel ] || { echo "target/release/asterreel is missing: run the build of the deploy file"; exit 2; }
folder=$(mktemp -d) || exit 2
started=
clean() {
  [ -z "$started" ] || kill -KILL "$started" 2>/dev/null
  # The gateways are children of the stand-in; those that it left behind are ended by the ids that it wrote down.
  for pid in $(cat "$folder/pids" 2>/dev/null); do
    [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = asterreel ] && kill -KILL "$pid" 2>/dev/null
  done
  rm -rf "$folder"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP
timeout --kill-after=2s 110s "$program" "$case" "$folder" &
started=$!
wait "$started"
status=$?
started=
[ "$status" -le 1 ] || status=2
[ "$status" != 2 ] || tail -n 10 "$folder"/*.log 2>/dev/null
exit "$status"
