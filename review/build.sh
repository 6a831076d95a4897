#!/usr/bin/env bash
# Builds the stand-ins that the cases of the review start. It needs the module as it is, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/standin ./review/testdata/standin
