#!/usr/bin/env bash
# Runs every seed that ever failed, then fresh ones.
# Use: scripts/soak.sh [fresh seeds: 5] [seconds of faults each: 15] [seconds of failing work each: 15]
#   [seconds of load each: 20] [seconds around a loss of all nodes: 6] [seconds of planned work in series: 15]
#   [seconds of maintenance waves: 24]
set -euo pipefail
cd "$(dirname "$0")/.."
fresh=${1:-5}
seconds=${2:-15}
work=${3:-15}
load=${4:-20}
outage=${5:-6}
series=${6:-15}
upkeep=${7:-24}
cargo build --quiet --locked --package node --package soak
while read -r seed faults failing loaded nodes instances cause; do
  # A cause that begins with an option is of a run with that option.
  read -ra option < <(sed -n 's/^with \(--[a-z-]* [0-9]*\):.*/\1/p' <<< "$cause") || true
  target/debug/knapweedsail-soak --seed "$seed" --seconds "$faults" --work-seconds "$failing" \
    --load-seconds "$loaded" --nodes "$nodes" --instances "$instances" "${option[@]}"
done < <(grep -v '^#' crates/soak/seeds.txt)
target/debug/knapweedsail-soak --seed "$((RANDOM * 32768 + RANDOM))" --runs "$fresh" --seconds "$seconds" \
  --work-seconds "$work" --load-seconds "$load" --series-seconds "$series" --outage-seconds "$outage" \
  --upkeep-seconds "$upkeep"
