#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start, into target/. The gateway itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
