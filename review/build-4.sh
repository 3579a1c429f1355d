#!/bin/sh
# Builds the stand-ins of the cases 16 to 20 into target/review-4. Run deploy/build.sh first: it
# compiles the project's own stand-ins, among the tests of platform, which cases 19 and 20 use
# together with those of the third review.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d platform/target/test-classes/org/wagtailproxy/adapter ]; then
  mvn -o -B -ntp -q -DskipTests package -pl platform -am
fi
rm -rf target/review-4
mkdir -p target/review-4
javac -nowarn -d target/review-4 -cp 'target/platform/*' review/harness-4/src/review4/*.java
javac -nowarn -d target/review-4 \
  -cp 'platform/target/test-classes:platform/target/classes:platform/target/lib/*' \
  review/stand-ins-3/org/wagtailproxy/adapter/*.java \
  review/harness-4/src/org/wagtailproxy/adapter/*.java
