#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 and 9 start. The nodes are built by the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline
