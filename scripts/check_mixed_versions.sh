#!/usr/bin/env bash
# Plays the process tests and soak seeds on processes of two builds: each start
# of a program takes the other build than the start before, so that both serve
# in one fleet and each reads what the other one has stored.
#
# Usage: scripts/check_mixed_versions.sh OTHER [SECONDS]
#   OTHER is the build folder of the other version; this checkout is built into
#   build-mixed. Fresh soak seeds are played for SECONDS (60).
# Environment: JOBS (all processors).
set -euo pipefail
cd "$(dirname "$0")/.."
other=$(cd "$1" && pwd)
mixed=$PWD/build-mixed
programs="crowstep-gateway crowstep-entry crowstep-dispatcher"

cmake -S . -B "$mixed" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
for program in $programs; do
  rm -f "$mixed/$program" # May be the wrapper of an earlier run.
done
ninja -C "$mixed" -j "${JOBS:-$(nproc)}"

# Replaces each program by a wrapper that starts one build or the other. The
# folder $starts/PROGRAM.next exists if the next start is of the other build.
starts=$mixed/starts
rm -rf "$starts" && mkdir "$starts"
for program in $programs; do
  mv "$mixed/$program" "$mixed/$program.this"
  cat >"$mixed/$program" <<EOF
#!/bin/sh
if rmdir "$starts/$program.next" 2>/dev/null; then
  echo other >>"$starts/$program"
  exec "$other/$program" "\$@"
fi
mkdir "$starts/$program.next" 2>/dev/null
echo this >>"$starts/$program"
exec "$mixed/$program.this" "\$@"
EOF
  chmod +x "$mixed/$program"
done

ctest --test-dir "$mixed" --output-on-failure -j 2 -L 'process|soak'
"$mixed/tests/crowstep-soak" --seconds "${2:-60}" --keep "$mixed/soak"
for program in $programs; do
  echo "starts of $program: $(sort "$starts/$program" | uniq -c | tr -s ' \n' ' ')"
done
