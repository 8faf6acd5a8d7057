#!/bin/sh
# A primary is released, and the process that hands it over is killed just after its promote was accepted.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../run-case.sh" RELEASE_AND_KILL "review/2"
