#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/.
set -e
cd "$(dirname "$0")/rig-2"
GOFLAGS=-mod=mod GOWORK=off go build -trimpath -o ../../target/rig2 .
