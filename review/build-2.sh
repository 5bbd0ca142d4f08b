#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/stand2 ./review/stand2
