#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/src-2/classes; the JDK is all that is needed.
set -eu
cd "$(dirname "$0")/src-2"
rm -rf classes
mkdir classes
javac --release 17 -d classes ./*.java
