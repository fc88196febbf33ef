#!/usr/bin/env bash
# Builds the stand-in program of the cases 4 to 8. Needs no network after `cargo fetch --locked`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target
