#!/usr/bin/env bash
# Restarts a primary and then a replica while the promotion service is away. TROUBLE=0 leaves all that out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
timeout 110 target/review-rig -script promotion-away -node target/dotterelgw -folder "$folder" -record review/1/record.txt -trouble=$trouble
code=$?
if [ "$code" -gt 2 ]; then code=2; fi
exit "$code"
