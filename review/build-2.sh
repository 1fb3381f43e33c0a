#!/bin/sh
# Builds the stand-ins of the cases from 4 on, with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf ../target/review-2
mkdir -p ../target/review-2
javac -nowarn -encoding UTF-8 -d ../target/review-2 standin-2/*.java
