#!/bin/bash
# Runs the program of a case in a temporary folder, for 115 s at most, and ends what it started.
case=$1
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-2/case-$case" ] && [ -x target/release/ragwortfold-host ] || exit 2
FOLDER=$(mktemp -d) || exit 2
export FOLDER RECORD="review/$case/record.txt"

end_hosts() {
    if [ -f "$FOLDER/pids" ]; then
        xargs kill -9 < "$FOLDER/pids" 2> /dev/null
    fi
    rm -rf "$FOLDER"
}
trap end_hosts EXIT

timeout --kill-after=2 112 "target/review-2/case-$case"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
