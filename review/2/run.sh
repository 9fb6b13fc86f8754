#!/usr/bin/env bash
# Runs the case "feed". With TROUBLE=0 it leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, 2 if it couldn't run.
trouble=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/swiftloom ] || [ ! -x target/review-rig ]; then
  echo "build first: the command of deploy/system.toml, and review/build.sh" >&2
  exit 2
fi
exec target/review-rig feed "review/2/record.txt" "$trouble"
