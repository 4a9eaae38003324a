#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../target/review/LateBeat.class ] || [ ! -f ../../platform/target/laburnummoor-platform.jar ]; then
  echo "build first: the build of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
java -Xmx1g -Drepository=../.. -cp ../target review.LateBeat record.txt
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
