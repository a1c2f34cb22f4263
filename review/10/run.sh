#!/bin/bash
# Builds nothing: run review/build-2.sh first. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../kit-2/run-case.sh" "$here" case10.OneByteChunks
