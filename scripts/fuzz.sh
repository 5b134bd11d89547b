#!/usr/bin/env bash
# Runs each fuzz target for FUZZ_SECONDS (5) under the address and undefined-behaviour sanitizers.
set -euo pipefail
seconds=${FUZZ_SECONDS:-5}
build=${FUZZ_BUILD:-build-fuzz}
CC=clang CXX=clang++ cmake -S . -B "$build" -DWHARF_FUZZ=ON -DWHARF_SANITIZE=ON >/dev/null
targets=()
for source in tests/fuzz/fuzz_*.c; do targets+=("$(basename "$source" .c)"); done
cmake --build "$build" -j "$(nproc)" --target "${targets[@]}" >/dev/null
for target in "${targets[@]}"; do
	log=$build/$target.log
	if ! "$build/$target" -max_total_time="$seconds" -seed=1 -print_final_stats=1 \
		-artifact_prefix="$build/" >"$log" 2>&1; then
		echo "fuzz: $target FAILED"
		tail -40 "$log"
		exit 1
	fi
	printf 'fuzz: %-28s %s runs, nothing found\n' "$target" \
		"$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")"
done
