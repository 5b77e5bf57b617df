#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin. The tag keeps them out of ./..., of CI and of the default test
# run. After the build of deploy/balancer.toml it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
exec go build -tags review -o review/bin/ ./review/standin2
