#!/bin/sh
# Builds the stand-ins of the cases from 6 on into target/review-2. Needs a JDK only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec javac --release 17 -d target/review-2 review/src-2/*.java
