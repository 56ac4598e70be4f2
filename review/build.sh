#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file. Needs nothing but the JDK
# and the libraries that that build has put under target/.
set -eu
cd "$(dirname "$0")/.."
libraries=$(echo target/fallturn-platform/lib/*.jar | tr ' ' ':')
rm -rf target/review
mkdir -p target/review
javac -nowarn -cp "$libraries" -d target/review review/standin/*.java
