#!/usr/bin/env bash
# The stand-ins in review/lib run as they are and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs ?/run.mjs; do node --check "$file"; done
test -s ../target/hickorybridge.cjs || (cd .. && npm run --silent build && node scripts/bundleHostNode.mjs)
