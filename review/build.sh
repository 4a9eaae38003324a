#!/usr/bin/env bash
# Builds the cases and their stand-ins from standins/ into target/. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:all -d target standins/review/*.java
