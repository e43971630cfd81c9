#!/bin/sh
# Plays the case with the stand-ins that review/build-3.sh builds. Exit code: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin-3 ] && [ -x target/release/knapweedsail-node ] || exit 2
target/review-3/standin-3 count review/14 &
player=$!
trap 'kill $(ps -o pid= --ppid $player) $player 2>/dev/null; exit 2' INT TERM
wait $player
