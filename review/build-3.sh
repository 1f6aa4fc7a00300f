#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15: all files of the Go package review/standin3, into target/review-standin3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin3 ./review/standin3
