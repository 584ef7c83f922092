#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library only.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
