#!/usr/bin/env bash
# Builds the programs of the cases and, if it is missing, the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
if [ ! -x target/corianderwing ]; then
	go build -ldflags=-linkmode=external -o target/ ./cmd/...
fi
for main in review/[1-5]/main.go; do
	n=$(basename "$(dirname "$main")")
	go build -ldflags=-linkmode=external -o "target/review/case-$n" "./review/$n"
done
