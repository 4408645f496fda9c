#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out what it is about. Needs the builds of the deploy file and of
# review/build.sh.
cd "$(dirname "$0")/../.."
for program in target/release/ferry-gateway target/review/standin; do
    if [[ ! -x $program ]]; then
        echo "$program is missing"
        exit 2
    fi
done
exec target/review/standin restarted review/5
