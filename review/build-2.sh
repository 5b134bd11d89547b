#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2. Needs the build of the deploy
# file and its packages only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case.c; do
	number=$(basename "$(dirname "$case")")
	cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -Wno-format-truncation -D_GNU_SOURCE \
		-o "target/review-2/case-$number" "$case" review/kit-2/*.c \
		$(pkg-config --cflags --libs json-c) -lpthread
done
