#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption; record.txt tells what happened.
python3 "$(dirname "$0")/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
