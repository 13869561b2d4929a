#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays
# the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
standins=target/review-2/release/ospreywing-review-standins-2
node=target/release/ospreywing-platformd
[ -x "$standins" ] && [ -x "$node" ] || { echo "build first: the deploy file's build, review/build-2.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
"$standins" hopeless-gang "$node" "$folder" review/7/record.txt &
played=$!
trap 'kill "$played" 2>/dev/null' TERM INT
wait "$played"
result=$?
# After a signal to this script: the nodes end with the stand-ins.
wait "$played" 2>/dev/null
rm -rf "$folder"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
