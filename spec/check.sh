#!/bin/sh
# Checks the specification exhaustively and finds a counterexample for every mutant.
# Works in a fresh directory and writes nothing else. Needs spin and a C compiler.
set -eu

spec=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT INT TERM
cp "$spec"/authority.pml "$spec"/assignment.pml "$spec"/duty.pml "$work"
jobs=${SPEC_JOBS:-$(nproc)}

# search NAME MODEL FLAGS...: runs one search and leaves its output in NAME.out.
cat >"$work/search.sh" <<'SEARCH'
name=$1 model=$2
shift 2
mkdir "$name" && cd "$name"
{
  spin -a "$@" "../$model.pml" >spin.out 2>&1 &&
    gcc -O1 -DSAFETY -DCOLLAPSE -DNOFAIR -o pan pan.c >gcc.out 2>&1 &&
    timeout 600 ./pan -m500000 -w22
} >../"$name.out" 2>&1 || echo "search failed" >>../"$name.out"
SEARCH

# spec_line NAME MODEL LIMIT FLAGS...: a search without violation, with an upper bound on its states.
# mutant_line NAME MODEL FLAGS...: a search that must find a violation.
: >"$work/runs"
: >"$work/limits"
spec_line() {
  name=$1 model=$2 limit=$3
  shift 3
  echo "$name $model $*" >>"$work/runs"
  echo "$name $limit" >>"$work/limits"
}
mutant_lines() {
  model=$1
  shift
  sed -n 's/^#ifdef \(M_[A-Z_]*\) .*/\1/p' "$spec/$model.pml" | while read -r mutant; do
    flags=$*
    case $mutant in
    M_NO_FENCING) flags="$flags -DORDERS" ;;
    M_ERA_*) flags="$flags -DRETURNS" ;;
    esac
    echo "mutant-$model-$mutant $model -D$mutant $flags" >>"$work/runs"
  done
}

spec_line assignment-staged assignment 5000000
spec_line assignment-orders assignment 2800000 -DORDERS
spec_line authority-t3 authority 1100000 -DT=3
spec_line authority-t2 authority 400000
spec_line duty duty 120000
spec_line duty-returns duty 1300000 -DRETURNS
mutant_lines authority
mutant_lines duty
mutant_lines assignment -DMAX_REV=3

# xargs joins a line that ends in a blank with the next one.
sed -i 's/ *$//' "$work/runs"
(cd "$work" && xargs -P "$jobs" -L 1 sh search.sh <runs)

failures=0
fail() {
  echo "FAIL $1"
  failures=$((failures + 1))
}
states() { sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$1" | awk '{ printf "%d", $1 }'; }

while read -r name limit; do
  out=$work/$name.out
  count=$(states "$out")
  if ! grep -q 'errors: 0$' "$out" || grep -q 'assertion violated' "$out"; then
    fail "$name: a violation or no result"
    sed -n '1,5p' "$out"
  elif grep -Eq 'max search depth too small|Search not completed|search failed|out of memory' "$out"; then
    fail "$name: the search is not complete"
  elif [ "$count" -gt "$limit" ]; then
    fail "$name: $count states, more than $limit"
  else
    echo "ok   $name: $count states, at most $limit"
  fi
done <"$work/limits"

mutants=0
for out in "$work"/mutant-*.out; do
  mutants=$((mutants + 1))
  name=$(basename "$out" .out)
  if grep -q '^pan:1: assertion violated' "$out"; then
    echo "ok   $name: counterexample after $(states "$out") states"
  else
    fail "$name: no counterexample"
  fi
done
[ "$mutants" -eq "$(grep -c '^mutant-' "$work/runs")" ] || fail "a mutant did not run"

[ "$failures" -eq 0 ] || exit 1
echo "specification holds; $mutants mutants found"
