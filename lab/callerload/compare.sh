#!/usr/bin/env bash
# Prints the results of TestReport for an earlier commit and for the working tree.
# Usage: lab/callerload/compare.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/../.."
earlier=$(mktemp -d)
trap 'rm -rf "$earlier"' EXIT
git archive "$1" | tar -x -C "$earlier"
rm -rf "$earlier/lab/callerload"
cp -r lab/callerload "$earlier/lab/"
echo "commit $1"
(cd "$earlier" && go test -count=1 -run 'TestReport$' -v ./lab/callerload)
echo "working tree"
go test -count=1 -run 'TestReport$' -v ./lab/callerload
