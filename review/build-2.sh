#!/bin/sh
# Builds the stand-ins and programs that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d platform/target/test-classes/org ] || [ ! -d platform/target/lib ]; then
  mvn -B -ntp -q -o -DskipTests package -pl platform -am
fi
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -Xlint:none -d target/review-2 \
  -cp "platform/target/classes:platform/target/test-classes:platform/target/lib/*" \
  review/stand-ins-2/*.java
