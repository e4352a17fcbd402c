#!/bin/sh
# Checks the stand-ins of cases 5 and 6. They are plain modules for Node.js without dependencies, so nothing is compiled;
# the cases start the project's programs from target/, as the build of the deploy file leaves them. Case 4 is a day for the
# bench and needs no stand-in.
set -e
cd "$(dirname "$0")"
for module in harness-2/fleet.mjs 5/case.mjs 6/case.mjs; do node --check "$module"; done
