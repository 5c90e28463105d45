#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves out
# the crashes.
set -eu
cd "$(dirname "$0")/../.."
exec target/review/standin stalled-download review/5
