#!/usr/bin/env bash
# Plays the case "second-rollout" and writes record.txt. Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/trefoillug ] && [ -x target/review/case ] || { echo "build first: the deploy file, then review/build.sh" >&2; exit 2; }
timeout -k 5 110 target/review/case second-rollout review/4
status=$?
[ "$status" -le 2 ] || status=2 # ended from outside
exit "$status"
