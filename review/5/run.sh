#!/bin/sh
# A key is taken away from a connected client that is inside a transaction.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../run-case.sh" KEY_WITHDRAWAL "review/5"
