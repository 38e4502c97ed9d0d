#!/usr/bin/env bash
# Prepares the cases 4 to 8. Their stand-ins are Python in review/harness, on the standard library alone, so there is
# nothing to build but their bytecode. The controllers are built by the `build` of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness review/[4-8]
