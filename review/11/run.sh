#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/rig3 target/dotterelgw; do
  [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/rig3 unlisted-replica target/dotterelgw review/11/record.txt
