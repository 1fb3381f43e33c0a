#!/bin/sh
# Builds the stand-ins of review/standin into target/review, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
