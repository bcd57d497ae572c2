#!/usr/bin/env bash
# Builds what the cases 11 to 14 start beside the system's own programs: one program for each case, which holds the
# stand-ins of the platform, the replicas and the clients (review/kit3).
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 11 12 13 14; do
  [ -d "review/$n" ] && go build -buildvcs=false -tags review -o "target/review/case$n" "./review/$n"
done
