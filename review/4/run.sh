#!/usr/bin/env bash
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
n=4
if [ ! -x target/corianderwing ] || [ ! -x "target/review/case-$n" ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh"
	exit 2
fi
exec "target/review/case-$n" "review/$n"
