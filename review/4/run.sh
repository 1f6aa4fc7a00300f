#!/usr/bin/env bash
# Plays the case "takeups". Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")"
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x ../../target/standin ] && [ -x ../../target/dandelionvane ] || { echo "not built" >&2; exit 2; }
exec ../../target/standin --case takeups --gateway ../../target/dandelionvane --record record.txt --trouble="$trouble"
