#!/bin/sh
# Builds the stand-ins and drivers of the cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-standins review/standins/main.rs
