#!/bin/sh
# Builds the stand-ins of all cases into review/bin. The tag keeps them out of ./..., of CI and of the default test run.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
exec go build -tags review -o review/bin/ ./review/standin
