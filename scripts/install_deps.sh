#!/usr/bin/env bash
# Installs the build's packages through Debian's package manager; does nothing if all are installed.
set -euo pipefail
packages=(build-essential cmake pkg-config clang clang-format clang-tidy libclang-rt-14-dev
	libuv1-dev libhttp-parser-dev libh2o-dev libmsgpack-dev libargtable2-dev libjson-c-dev libprotobuf-c-dev
	libxxhash-dev libzstd-dev uthash-dev libssl-dev libsodium-dev libgtest-dev curl python3)
missing=()
for package in "${packages[@]}"; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
		missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -q -y "${missing[@]}"
