#!/usr/bin/env bash
# Measures what control costs an entry, with entries as processes of their own on loopback:
# processor time, resident memory, bytes between peers, and how long changes take to be in force.
# Use: scripts/measure-control.sh [entries a data centre: 3] [seconds: 20] [changes: 20]
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${1:-3}
seconds=${2:-20}
changes=${3:-20}
bin=target/release
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$folder"' EXIT

"$bin/examples/stage" --entries "$entries" "$folder" > "$folder/stage.log" &
pids+=($!)
stage=$!
sleep 2
daemons=()
for settings in "$folder"/entry-*.json; do
  RUST_LOG=warn "$bin/knapweedsaild" --settings "$settings" 2> "$settings.log" &
  pids+=($!)
  daemons+=($!)
done
mapfile -t admins < <(sed -n 's/.*admin=//p' "$folder/stage.log")
export KNAPWEEDSAIL_ENTRY=${admins[0]}
cli() { "$bin/knapweedsail" "$@"; }
ready() { curl -sf "http://$1/readyz" > /dev/null; }

began=$(date +%s%N)
until cli template apply --wait 30 "$folder/doces-deepavali.json" > /dev/null 2>&1; do sleep 0.2; done
for admin in "${admins[@]}"; do until ready "$admin"; do sleep 0.05; done; done
echo "ready: $((($(date +%s%N) - began) / 1000000)) ms after the start, $((entries * 3)) entries"
sleep 10

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes() { curl -s "http://$1/metrics" | awk '/^knapweedsail_peer_bytes/ {sum += $NF} END {print sum + 0}'; }
declare -A before sent
for i in "${!daemons[@]}"; do
  before[$i]=$(ticks "${daemons[$i]}")
  sent[$i]=$(bytes "${admins[$i]}")
done
tail -1 "$folder/stage.log"
sleep "$seconds"
tail -1 "$folder/stage.log"
hertz=$(getconf CLK_TCK)
for i in "${!daemons[@]}"; do
  used=$(($(ticks "${daemons[$i]}") - before[$i]))
  moved=$(($(bytes "${admins[$i]}") - sent[$i]))
  memory=$(awk '/VmRSS/ {print $2}' "/proc/${daemons[$i]}/status")
  awk -v u="$used" -v h="$hertz" -v s="$seconds" -v m="$memory" -v b="$moved" -v i="$i" \
    'BEGIN {printf "entry %d: %.2f%% of a core, %.1f MB, %.1f KB/s between peers\n", i, 100*u/h/s, m/1024, b/1024/s}'
done

for number in $(seq "$changes"); do
  began=$(date +%s%N)
  cli template set doces-deepavali kitchen queue=$((64 + number % 2)) > "$folder/set.log"
  echo "$((($(date +%s%N) - began) / 1000000))"
done | sort -n | awk '{v[NR] = $1} END {
  printf "apply to in force everywhere: p50 %d ms, p99 %d ms, of %d changes\n", v[int((NR + 1) / 2)], v[NR], NR}'
echo "stage is process $stage"
