#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
