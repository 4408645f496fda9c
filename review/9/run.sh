#!/bin/sh
# Runs the case; docs are in claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/release/ferry-gateway ] || [ ! -x target/review-2/standin ]; then
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
target/review-2/standin crashes "$work"
code=$?
cp "$work/record.txt" "$folder/record.txt" || code=2
exit "$code"
