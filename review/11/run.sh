#!/bin/sh
# Exits with 1 if rule TWICE was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the cut of the zone.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp 'target/review-3:platform/target/test-classes:platform/target/classes:platform/target/lib/*' \
  org.wagtailproxy.adapter.ReviewCase majorities review/11/record.txt
