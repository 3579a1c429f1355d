#!/bin/sh
# Builds the stand-ins of the cases 16 to 20 into target/review-4, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-4
mkdir -p target/review-4
javac -nowarn -d target/review-4 -cp 'target/platform/*' review/harness-4/src/review4/*.java
