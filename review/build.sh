#!/bin/sh
# Compiles the stand-ins and the cases into target/review; needs nothing but the JDK.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review
mkdir -p target/review
exec javac -Xlint:all,-try -d target/review review/src/*.java
