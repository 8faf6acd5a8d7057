#!/usr/bin/env bash
# Builds the stand-ins of the cases of REPORT-2.md into target/review-2. Needs a JDK 17 and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standin-2/*.java
