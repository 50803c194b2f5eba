#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../bin/salttrack ] || [ ! -x ../_standin2/bin/standin2 ]; then
	echo "run the build of deploy/balancer.toml and review/build-2.sh first"
	exit 2
fi
exec ../_standin2/bin/standin2 "$PWD"
