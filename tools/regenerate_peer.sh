#!/usr/bin/env bash
# Regenerates the Thrift code; needs Debian's thrift-compiler. The generated
# files are committed.
set -euo pipefail
cd "$(dirname "$0")/../notchhoist"
out="$(mktemp -d)"
thrift --gen py -out "$out" wire/peer.thrift
thrift --gen py -out "$out" flows/codec/flow.thrift
cp "$out/peer/ttypes.py" "$out/peer/constants.py" wire/generated/
cp "$out/flow/ttypes.py" flows/codec/generated/
rm -r "$out"
