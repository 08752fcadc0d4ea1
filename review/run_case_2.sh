#!/usr/bin/env bash
# Runs a case of the second review: run_case_2.sh CASE FOLDER. Needs the build
# of deploy/service.toml and review/build-2.sh. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review_2/review_2 ] || [ ! -x target/pitchfall ]; then
  echo "run the build line of deploy/service.toml and review/build-2.sh" >&2
  exit 2
fi
# The stand-in ends its controllers; they end with it as well.
timeout --signal=KILL 118 target/review_2/review_2 "$1" "$2"
status=$?
if [ "$status" -gt 2 ]; then status=2; fi
exit "$status"
