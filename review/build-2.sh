#!/usr/bin/env bash
# Builds the stand-ins of the second review; only the JDK is needed. Run after the deploy build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
