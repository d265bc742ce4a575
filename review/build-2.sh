#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs g++ only.
set -eu
ROOT=$(cd "$(dirname "$0")/.." && pwd)
SOURCES="$ROOT/review/stand_ins_2"
OUT="$ROOT/target/review-2"
mkdir -p "$OUT"
for name in deployment replicated_service; do
    g++ -std=c++20 -O1 -c -o "$OUT/$name.o" "$SOURCES/$name.cpp"
done
for name in foreign_database older_relay leaving_reader doubtful_begin leaving_primary; do
    g++ -std=c++20 -O1 -o "$OUT/$name" "$SOURCES/$name.cpp" "$OUT/deployment.o" "$OUT/replicated_service.o" -pthread
done
