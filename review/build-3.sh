#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. Run deploy/build.sh first: it
# compiles the project's own stand-ins, among the tests of platform, which these use.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d platform/target/test-classes/org/wagtailproxy/adapter ]; then
  mvn -o -B -ntp -q -DskipTests package -pl platform -am
fi
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all,-processing -d target/review-3 \
  -cp 'platform/target/test-classes:platform/target/classes:platform/target/lib/*' \
  review/stand-ins-3/org/wagtailproxy/adapter/*.java
