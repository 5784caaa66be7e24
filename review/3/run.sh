#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the freeze out.
cd "$(dirname "$0")/../.." || exit 2
play=review/standin/target/release/bramleyseam-review
program=target/release/bramley-platform
[ -x "$play" ] && [ -x "$program" ] || exit 2
exec "$play" cancel-during-freeze "$program" review/3/record.txt
