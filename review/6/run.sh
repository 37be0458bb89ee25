#!/usr/bin/env bash
# Runs the case on loopback; needs the build of deploy/system.toml and review/build-2.sh.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/review-2
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$program" many-ends "$folder/record.txt"
