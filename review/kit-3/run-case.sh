#!/usr/bin/env bash
# Runs the case of the folder that is given, and ends all that it started. See run.sh in the cases.
case_folder=$(cd "$1" && pwd)
repository=$(cd "$case_folder/../.." && pwd)
number=$(basename "$case_folder")
program=$repository/review/kit-3/bin/case-$number
if [ ! -x "$program" ] || [ ! -x "$repository/target/wharf-gateway" ]; then
	echo "build target/wharf-gateway and review/build-3.sh first" >&2
	exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 "$program" "$repository" "$folder" "$case_folder/record.txt"
status=$?
if [ "$status" -gt 2 ]; then
	status=2
fi
exit "$status"
