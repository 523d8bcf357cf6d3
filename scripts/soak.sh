#!/usr/bin/env bash
# Plays the fault soak. Without arguments: the seeds of crates/soak/seeds.txt. With a count: that many fresh seeds. A failure names
# the seed and the folder of the hosts' logs. Arguments after the count go to the program.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet -p zinniahinge-soak -p zinniahinge-host
program=target/debug/zinniahinge-soak
failed=0
play() {
  local seed=$1
  shift
  local logs="target/soak/$seed"
  if ! "$program" --seed "$seed" --keep-logs "$logs" "$@" >"target/soak-$seed.txt" 2>&1; then
    failed=$((failed + 1))
    printf 'seed %s failed, logs in %s\n' "$seed" "$logs"
    cat "target/soak-$seed.txt"
  else
    grep '^seed ' "target/soak-$seed.txt"
    rm -f "target/soak-$seed.txt"
  fi
}
if [ $# -eq 0 ]; then
  while read -r seed seconds _; do play "$seed" --seconds "$seconds"; done < <(grep -v '^#' crates/soak/seeds.txt)
else
  count=$1
  shift
  for _ in $(seq "$count"); do play "$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')" "$@"; done
fi
printf '%s seeds failed\n' "$failed"
[ "$failed" -eq 0 ]
