#!/usr/bin/env bash
# The stand-ins need the standard library only: their build is a check.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
