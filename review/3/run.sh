#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/ragwortfold-host ] || [ ! -x review/bin/entry ]; then
	echo "build first: the build command of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 review/bin/entry cold review/3/record.txt
status=$?
case $status in 0 | 1) exit $status ;; esac
exit 2
