#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
LAB_ROOT=$(cd ../.. && pwd)
export LAB_ROOT
program=$LAB_ROOT/target/review-2/case-10
[ -x "$program" ] && [ -x "$LAB_ROOT/target/crowstep-gateway" ] || exit 2
timeout -k 2 118 "$program"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
