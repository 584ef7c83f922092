#!/bin/sh
# Builds the stand-ins of the second review's cases. It needs the tool chain only, no packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standins-2/src/main.rs
