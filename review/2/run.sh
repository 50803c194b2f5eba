#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN RECORD="$here/record.txt"
if [ ! -x "$ROOT/bin/salttrack" ] || [ ! -x "$ROOT/review/bin/standin" ] || [ -z "$RUN" ]; then
  echo "build first: the build command of deploy/balancer.toml, then review/build.sh"
  exit 2
fi
exec "$ROOT/review/bin/standin" wrong-connection
