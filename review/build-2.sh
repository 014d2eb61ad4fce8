#!/bin/sh
# Builds the stand-ins of the second review into target/review-2, with the standard library alone.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
cd "$root/review/standins-2"
for source in *.rs; do
    name=${source%.rs}
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -o "$out/$name" "$source"
done
