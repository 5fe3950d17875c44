#!/bin/sh
# Builds the stand-ins of all cases; run after the build of the deploy file. Needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes src/*.java
