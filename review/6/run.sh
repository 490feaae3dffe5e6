#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
python="$folder/../../.venv/bin/python"
test -x "$python" || exit 2
"$python" -B "$folder/case.py"
case $? in
0) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
