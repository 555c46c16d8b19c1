#!/bin/sh
# Builds the stand-ins of the cases. The daemons come from the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
