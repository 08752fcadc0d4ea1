#!/usr/bin/env bash
# Builds the stand-ins of the second review, from the repository's root or any
# other folder. They need no packages beyond those of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand_in_2 -B target/review_2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
cmake --build target/review_2 -j4
