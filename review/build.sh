#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review.
set -eu
ROOT=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$ROOT/target/review"
g++ -std=c++20 -O1 -pthread -o "$ROOT/target/review/database_group" "$ROOT/review/stand_ins/database_group.cpp"
