#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into target/review. The programs of the project
# come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/_standin/refused ./review/_standin/mixed ./review/_standin/lost
