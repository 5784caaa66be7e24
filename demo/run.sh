#!/usr/bin/env bash
# Builds everything and shows the system at work on loopback; --hold leaves it up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
exec ./target/release/bramley-bench demo "$@"
