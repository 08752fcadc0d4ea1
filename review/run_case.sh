#!/usr/bin/env bash
# Runs one case: run_case.sh NAME FOLDER. The record goes to FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
name=$1
folder=$(cd "$2" && pwd)
program=target/pitchfall # from the line `run` of deploy/service.toml
cd "$root" || exit 2
if [ ! -x "$program" ] || [ ! -x target/review/review_case ]; then
  echo "build the service and run review/build.sh first" >&2
  exit 2
fi
# The case and the controllers that it starts form one process group, which is
# ended whatever happens.
set -m
target/review/review_case "$name" "$program" "$folder/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; exit 2' INT TERM
wait "$group"
result=$?
kill -KILL -- "-$group" 2>/dev/null
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
