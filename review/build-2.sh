#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/. It needs the modules of the project, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/rig
