#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The build line of the deploy file builds the program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/second
