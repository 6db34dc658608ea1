#!/bin/sh
# Builds the stand-ins of the cases 6 and later; the deploy file's build comes before it.
set -eu
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
