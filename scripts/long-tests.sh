#!/usr/bin/env bash
# Runs the tests of authority and limits at full length: default times, and faults as long as docs/design.md states
# them. Takes about half an hour. Arguments are passed on to the test programs.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --quiet
export ZINNIAHINGE_FULL_LENGTH=1
for test in crates/fleet/tests/authority_*.rs crates/fleet/tests/limits_*.rs; do
  name=$(basename "$test" .rs)
  printf '\n== %s\n' "$name"
  cargo test -p zinniahinge-fleet --test "$name" --quiet -- --nocapture "$@"
done
