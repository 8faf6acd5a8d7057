#!/bin/sh
# Runs a case on the stand-ins: run-case.sh CASE FOLDER. FOLDER, below the repository, gets the record of the run.
# Needs the build of deploy/system.toml; builds the stand-ins if they are missing. Called by each case's run.sh.
cd "$(dirname "$0")/.." || exit 2
jar=cardamomlane-standin/target/cardamomlane-standin.jar
test -f target/lane/cardamomlane-platform.jar || { echo "could not run: the line build of deploy/system.toml has not run"; exit 2; }
test -f "$jar" || mvn -B -ntp -q package -DskipTests -Dspotless.check.skip -Ddetekt.skip -pl cardamomlane-standin -am || exit 2
trouble=""
[ "$TROUBLE" = 0 ] && trouble=--without-trouble
exec java -Xmx256m -cp "$jar:cardamomlane-standin/target/lib/*" dev.cardamomlane.standin.MainKt \
  case "$1" --record "$2/record.txt" $trouble
