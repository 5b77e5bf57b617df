#!/usr/bin/env bash
# Case 7: a new version takes over among bad clients, and the old one hangs with its connections.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/spurspread ] && [ -x review/bin/standin2 ] || {
	echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
	exit 2
}
timeout --kill-after=3 116 review/bin/standin2 rush review/7
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
