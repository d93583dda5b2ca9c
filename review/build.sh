#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. The build line of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
