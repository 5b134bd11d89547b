#!/usr/bin/env bash
# Longer runs: more seeds of the seeded tests, the process tests repeated, each fuzz target for a minute.
set -uo pipefail
build=${1:-build}
failed=0
run() {
	echo "soak: $*"
	"$@" >"$build/soak.log" 2>&1 || { failed=1; tail -40 "$build/soak.log"; }
}
run env WHARF_SEEDS=40000 "$build/limiter_test"
run env DW_TEST_SEEDS=100000 "$build/once_test"
run env DW_TEST_SEEDS=10000 "$build/ledger_test"
run env RESTORE_SEEDS=50 "$build/process_restore_random_test"
run env RESTORE_SEEDS=10 RESTORE_FIRST_SEED=101 RESTORE_GATEWAYS=10 "$build/process_restore_random_test"
for test in "$build"/process_*_test; do
	run "$test" --gtest_repeat="${SOAK_REPEAT:-10}" --gtest_break_on_failure
done
run env FUZZ_SECONDS=60 scripts/fuzz.sh
exit $failed
