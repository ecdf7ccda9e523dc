#!/usr/bin/env bash
# Plays a case with the stand-ins: run.sh CASE FOLDER. Exits with 1 if a rule was broken, 0 if it held,
# 2 if the case could not run.
set -u
case_name=$1 out=$2
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
world="$here/world/target/release/world"
[ -x "$world" ] || "$here/build.sh" || exit 2
[ -x "$root/target/release/ladderroute" ] || { echo "build the project first: target/release/ladderroute is missing" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
child=
# Ends what the stand-ins started, by process id, should they have been stopped half-way.
finish() {
  [ -n "$child" ] && kill "$child" 2>/dev/null
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = ladderroute ] && kill -KILL "$pid" 2>/dev/null
    done <"$folder/pids"
  fi
  if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$folder" "$KEEP_LOGS"; fi
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
timeout -k 2 116 "$world" "$case_name" "$root" "$folder" "$out/record.txt" &
child=$!
wait "$child"
status=$?
child=
[ "$status" -le 2 ] || status=2
exit "$status"
