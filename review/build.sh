#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/N/run.sh start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review --target review_case -j8
