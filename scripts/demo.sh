#!/usr/bin/env bash
# Builds the programs and runs the demonstration: a fleet of real processes on loopback that answers
# a cold model request, a warm streamed one and a booking. Takes no arguments.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --quiet
cargo run --quiet --package zinniahinge-fleet --example demo
