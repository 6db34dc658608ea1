#!/bin/sh
# A heartbeat that the store carries out late, after the replica has reported draining. TROUBLE=0: none is late.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
program=target/review/release/late_heartbeat
[ -x "$program" ] && [ -x target/release/bergamotfork-platform ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" "$case_dir" "$folder"
result=$?
rm -r "$folder"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
