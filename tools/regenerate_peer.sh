#!/usr/bin/env bash
# Makes notchhoist/wire/generated anew from peer.thrift; needs Debian's
# thrift-compiler. The result is committed.
set -euo pipefail
cd "$(dirname "$0")/../notchhoist/wire"
out="$(mktemp -d)"
thrift --gen py -out "$out" peer.thrift
cp "$out/peer/ttypes.py" "$out/peer/constants.py" generated/
rm -r "$out"
