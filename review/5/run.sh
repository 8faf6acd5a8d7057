#!/bin/sh
# One tenant sends many times its usual while the machines are stopped and started in turn.
# TROUBLE=0 leaves the stops out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/review/Review.class || exit 2
test -f target/lane/cardamomlane-platform.jar || exit 2
exec java -Xmx256m -cp target/review Review RollUnderLoad review/5
