#!/bin/sh
# Builds the programs of cases 6 to 10 with rustc and the standard library alone, without cargo and the network.
# To be run after the build of the deploy file. They go to target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/main.rs" ]; then
        rustc --edition 2021 -O -o "target/review-2/$case" "review/$case/main.rs"
    fi
done
