#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the gateway. Their stand-ins are in common/bed.py and
# run inside the process of the case, so there is nothing to compile: this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "common"); import bed'
