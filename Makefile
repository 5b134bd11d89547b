# `make demo` and `make check` install all dependencies on a fresh machine.
MAKEFLAGS += --no-print-directory
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build check lint format demo bench capacity replay soak fuzz clean

all: build

deps:
	scripts/install_deps.sh

build: deps
	cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

check: build
	scripts/check.sh $(BUILD)

lint: build
	scripts/lint.sh $(BUILD)

format:
	git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c | xargs clang-format -i

demo: build
	scripts/demo.sh $(BUILD)

bench: build
	scripts/bench.sh $(BUILD)

capacity: build
	scripts/capacity.sh $(BUILD)

replay: build
	scripts/replay.sh $(BUILD)

soak: build
	scripts/soak.sh $(BUILD)

fuzz: deps
	scripts/fuzz.sh

clean:
	rm -rf build build-*
