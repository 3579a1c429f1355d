#!/bin/sh
# Compiles the stand-ins that the scripts of the cases start. They need no library.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn --release 17 -d review/target/classes review/stand-ins/review/*.java
