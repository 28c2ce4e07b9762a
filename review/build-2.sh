#!/usr/bin/env bash
# Builds every stand-in that the scripts of this review start. They are plain modules of Node.js without dependencies,
# so that it is enough to check that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib2/*.mjs ./{6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
