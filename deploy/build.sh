#!/bin/sh
# Builds the program for the platform into target/ and archives the classes that its start loads.
set -eu
mvn -B -ntp -q -DskipTests package -pl platform -am
rm -rf target/platform
mkdir -p target/platform
cp platform/target/lib/*.jar platform/target/wagtailproxy-platform-0.1.0.jar target/platform/

fail() {
  echo "build.sh: $1" >&2
  tail -n 20 target/platform/warm-up.log >&2
  exit 1
}

# The archive is only used by a process with the same options, so they are taken from the run line.
run=$(sed -n 's/^run = "java \(.*\)"$/\1/p' deploy/system.toml)
archive=target/platform/classes.jsa
base=
if ! java -XX:+UseSerialGC -Xshare:on -version > target/platform/warm-up.log 2>&1; then
  echo 'build.sh: the JDK has no default class archive, dumping one' >&2
  base=-XX:SharedArchiveFile=target/platform/base.jsa
  java -XX:+UseSerialGC -Xshare:dump $base > target/platform/warm-up.log 2>&1 \
    || fail 'the default class archive cannot be dumped'
fi
options=$(echo "$run" | sed "s#-XX:SharedArchiveFile=$archive#$base -XX:ArchiveClassesAtExit=$archive#")
java $options warm-up > target/platform/warm-up.log 2>&1 || fail 'the warm-up failed'
[ -f "$archive" ] || fail 'no class archive was written'

# A process drops an archive that does not fit without a word, so count where the classes come from.
java -Xlog:class+load:file=target/platform/loaded.log $run warm-up > target/platform/warm-up.log 2>&1 \
  || fail 'the warm-up with the class archive failed'
archived=$(grep -c 'org\.wagtailproxy\..*shared objects file (top)' target/platform/loaded.log || true)
others=$(grep -c ' org\.wagtailproxy\..*source: file:' target/platform/loaded.log || true)
echo "build.sh: $archived of our classes came from the class archive, $others from jars" >&2
[ "$archived" -gt $((others * 9)) ] || fail 'the class archive is not used'
