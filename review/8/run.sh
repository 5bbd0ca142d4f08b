#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 cuts nothing off.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 110 target/stand2 home review/8
