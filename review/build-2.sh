#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The gateway itself is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/standins-2/target
javac -Xlint:all -d review/standins-2/target review/standins-2/review2/*.java
