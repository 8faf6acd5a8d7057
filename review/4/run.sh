#!/bin/sh
# A machine gets SIGTERM while clients are inside transactions.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../run-case.sh" STOP_IN_TRANSACTION "review/4"
