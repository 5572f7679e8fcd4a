#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into build/second-review, after the build of deploy/system.toml.
# Needs the packages of that file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B build/second-review -DCMAKE_BUILD_TYPE=Release
cmake --build build/second-review -j8
