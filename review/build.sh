#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs Go alone, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/standin
