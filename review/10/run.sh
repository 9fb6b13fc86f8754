#!/usr/bin/env bash
# Plays the case "denied": see claim.txt. It needs the build of the deploy file and review/build-2.sh.
# It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
# TROUBLE=0 it plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/swiftloom ] || [ ! -x target/review-2/standin2 ]; then
  echo "build target/swiftloom and review/build-2.sh first"
  exit 2
fi
exec timeout 110 target/review-2/standin2 denied "$here/record.txt"
