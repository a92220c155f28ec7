#!/bin/sh
# Builds the stand-ins that the scripts start, with the compiler alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for program in stray entry; do
	rustc --edition 2021 -O -A dead_code -o "bin/$program" "standin/$program.rs"
done
