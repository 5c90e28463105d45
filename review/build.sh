#!/usr/bin/env bash
# Builds the stand-ins of the cases: standard library only, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
