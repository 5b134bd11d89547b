#!/usr/bin/env bash
# Runs every test program; the tests listed in KNOWN-RED.txt are run, printed and passed over.
set -uo pipefail
build=${1:-build}
known='^$'
if [ -s KNOWN-RED.txt ]; then
	names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
	[ -n "$names" ] && known="^($names)\$"
fi
ctest --test-dir "$build" --output-on-failure -j "${CHECK_JOBS:-4}" -E "$known"
verdict=$?
if [ "$known" != '^$' ]; then
	echo "known red (see KNOWN-RED.txt), run but not counted:"
	ctest --test-dir "$build" -R "$known" | sed 's/tests passed/known-red programs passed/; s/^/  /'
fi
exit $verdict
