#!/usr/bin/env bash
# Builds the program that the scripts of the cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/rig-3"
go build -trimpath -o ../../target/rig3 .
