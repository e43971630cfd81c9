#!/usr/bin/env bash
# Everything CI does: format, lints, tests. Tests listed in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings

skips=()
while read -r name; do
  echo "known red, passed over: $name"
  skips+=(--skip "$name")
done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
cargo test --workspace --locked --no-fail-fast -- "${skips[@]}"

# Short runs of the soak, with the first seed that ever failed, the first at which work stood still, one
# at which long-running tasks did under load, one with planned work on one node after the other, one with a loss
# of all nodes just after a job was accepted, one with instances that refuse all starts while leaders end, and one with
# maintenance waves, which is quiet at its end.
cargo build --locked --package node --package soak
target/debug/knapweedsail-soak --seed 10 --seconds 6 --work-seconds 12 --quiet-seconds 0
target/debug/knapweedsail-soak --seed 501 --seconds 4 --work-seconds 24 --quiet-seconds 0
target/debug/knapweedsail-soak --seed 8 --seconds 0 --work-seconds 0 --load-seconds 18 --instances 24 --quiet-seconds 0
target/debug/knapweedsail-soak --seed 3 --seconds 0 --work-seconds 0 --series-seconds 21 --nodes 4 --instances 12 --quiet-seconds 0
target/debug/knapweedsail-soak --seed 4 --seconds 0 --work-seconds 0 --outage-seconds 4 --nodes 5 --instances 24 --quiet-seconds 0
target/debug/knapweedsail-soak --seed 3 --seconds 0 --work-seconds 0 --refusal-seconds 10 --nodes 3 --instances 4 --quiet-seconds 0
target/debug/knapweedsail-soak --seed 2 --seconds 0 --work-seconds 0 --upkeep-seconds 10 --nodes 4 --instances 24 --quiet-seconds 8
