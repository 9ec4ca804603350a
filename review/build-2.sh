#!/usr/bin/env bash
# Run after the build of the deploy file. The stand-ins of the cases 6 to 10 are plain modules in
# review/lib-2, which need no build; none of the project's own stand-ins is started.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/*/case.mjs; do node --check "$file"; done
test -f target/hickorybridge.cjs
