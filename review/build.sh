#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/world
