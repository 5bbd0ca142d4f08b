#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 cuts nothing off.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/corianderwing ] || [ ! -x target/stand2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
	exit 2
fi
exec timeout --preserve-status -k 5 110 target/stand2 home review/8
