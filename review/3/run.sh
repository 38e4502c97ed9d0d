#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Exit code: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." && exec python3 -m review.3.case
