#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/13 start. Needs the JDK only, no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
rm -rf target
mkdir -p target
javac --release 17 -Xlint:-options -d target ./*.java
