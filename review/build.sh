#!/usr/bin/env bash
# Builds the stand-ins of all cases: they are Python sources, which are compiled here so that a broken one shows early.
set -euo pipefail
cd "$(dirname "$0")/.." && python3 -m compileall -q review
