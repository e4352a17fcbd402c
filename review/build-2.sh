#!/bin/sh
# Checks the stand-ins of cases 4 to 6. They are plain modules for Node.js without dependencies, so nothing is compiled;
# the cases start the project's programs from target/, as the build of the deploy file leaves them.
set -e
cd "$(dirname "$0")"
for module in harness-2/fleet.mjs [4-6]/case.mjs; do node --check "$module"; done
