#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into build/review. The packages of deploy/system.toml are enough.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cmake -S "$root/review" -B "$root/build/review" -DCMAKE_BUILD_TYPE=Release
cmake --build "$root/build/review" -j4
