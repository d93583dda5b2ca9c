#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/6 to review/10. The programs themselves are built by the build
# line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
