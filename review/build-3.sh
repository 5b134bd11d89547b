#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review.
set -euo pipefail
cd "$(dirname "$0")/kit-3"
mkdir -p bin
g++ -std=c++17 -O2 -Wall -Wextra -pthread -c stand.cc -o bin/stand.o
for source in case-*.cc; do
	g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" bin/stand.o -o "bin/${source%.cc}"
done
