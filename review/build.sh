#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain modules without dependencies, so this only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/case.mjs; do node --check "$file"; done
echo 'stand-ins are ready'
