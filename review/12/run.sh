#!/usr/bin/env bash
# Runs the case and writes record.txt. Ends with 1 if the rule was broken, 0 if it held, and 2 if it could not run. With
# TROUBLE=0 it leaves the disruption out; the stand-in reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/hemlockford ] || exit 2
exec target/review-3/cases late-end review/12/record.txt
