#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/classes/review/JobsOfGrownFleet.class ] && [ -f target/platform/classes.jsa ] || exit 2
exec java -Xmx256m -cp review/target/classes review.JobsOfGrownFleet review/1/record.txt
