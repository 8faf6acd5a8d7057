#!/bin/sh
# A key is taken away from a connected client that is inside a transaction.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/review/Review.class || exit 2
test -f target/lane/cardamomlane-platform.jar || exit 2
exec java -Xmx256m -cp target/review Review KeyInTransaction review/5
