#!/bin/sh
# The stand-ins under review/lib run as they are; nothing has to be built.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/run.mjs; do node --check "$file"; done
