#!/usr/bin/env bash
# Sends streams through the HTTP client library alone; see README.md. Exits with 1 if a piece was lost.
set -eu
cd "$(dirname "$0")/../../.."
lib="target/fallturn-platform/lib/*"
mkdir -p target/review-2-pieces
javac -proc:none -cp "target/review-2:$(echo target/fallturn-platform/lib/*.jar | tr ' ' ':')" -d target/review-2-pieces review/standin-2/pieces/*.java
exec java -Xmx300m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dseconds="${1:-60}" \
  -cp "target/review-2-pieces:target/review-2:$lib" LostPieces
