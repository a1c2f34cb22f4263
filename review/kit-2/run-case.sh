#!/bin/bash
# run-case.sh FOLDER CLASS: runs a case; its record is FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
classes=review/target-2/target
if [ ! -f "$classes/${2//.//}.class" ]; then
    echo "run review/build-2.sh first" >&2
    exit 2
fi
if [ ! -f target/router/jacinthlink-router.jar ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
timeout -k 2 115 java -Xmx512m -cp "$classes" "$2" "$1/record.txt"
code=$?
if [ $code -le 2 ]; then exit $code; fi
exit 2
