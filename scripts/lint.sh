#!/usr/bin/env bash
# Formatter and linter over the project's own sources.
set -euo pipefail
build=${1:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc' | grep -v 'pb-c')
clang-format --dry-run --Werror "${sources[@]}"
if grep -rnE '#include [<"](uv|h2o|sys/|netinet|arpa|unistd|fcntl|poll|time)' src/core include/dragonflywharf; then
	echo "lint: the decision library includes an I/O header" >&2
	exit 1
fi
# Wire names of the platform may occur only in platform/ and in the tests that use its protocol.
if grep -rnE 'Attempt-Id|Prompt-Prefix|Token-Usage|kv-(txn|watch|range|key|lease)|Not-Executed|Response-Seal|Expect-Instance|Server-Load|Store-Era|Deadline-Ms|"servers/|"op/' \
	src include; then
	echo "lint: a wire name stands outside platform/" >&2
	exit 1
fi
printf '%s\n' "${sources[@]}" | grep '\.c$' | grep -v '^tests/fuzz/' |
	xargs -P "${LINT_JOBS:-8}" -n 4 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated' >&2)
