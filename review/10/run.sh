#!/bin/sh
# Plays the case of claim.txt beside this file. 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
[ -x ../../build/indigosaddle ] || { echo "build/indigosaddle is not built"; exit 2; }
exec timeout -k 2 118 python3 case.py
