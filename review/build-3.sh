#!/usr/bin/env bash
# Builds what the scripts of the review's third part start. The clients, backends and stores of
# review/lib-3 are plain modules: they are only checked here. The nodes come from the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
[ -e target/hickorybridge.cjs ] || node scripts/bundleHostNode.mjs
