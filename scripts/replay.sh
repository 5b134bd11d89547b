#!/usr/bin/env bash
# Replays every trace of traces/ and compares the result with its expectation file.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
verdict=0
for file in traces/*.expect.json; do
	echo "== $file"
	"$build/wharf-replay" --expect "$file" --plot "$build/$(basename "$file" .expect.json).svg" ||
		verdict=1
done
exit $verdict
