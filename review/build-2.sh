#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemon itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
