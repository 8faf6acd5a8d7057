#!/bin/sh
# Builds the stand-ins and clients of all scripts into target/review, with the JDK alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && javac -d target/review review/*.java
