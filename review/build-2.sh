#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-second ./review/testdata/second
