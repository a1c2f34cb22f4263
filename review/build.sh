#!/bin/sh
# Builds the stand-ins and the checks of all cases. They are plain Java without dependencies.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -encoding UTF-8 -Xlint:-options -d target/classes kit/*.java $(ls ./*/*.java | grep -v '^./kit/')
