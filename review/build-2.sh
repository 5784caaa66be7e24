#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml
