#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build line of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
