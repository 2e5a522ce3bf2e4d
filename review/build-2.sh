#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They use the standard library
# only. Run it in the repository, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
