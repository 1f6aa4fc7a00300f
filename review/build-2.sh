#!/usr/bin/env bash
# Builds the stand-ins of the second review. The deploy file's build must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/standin2
