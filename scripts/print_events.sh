#!/bin/sh
# Prints docs/EVENTS.md from the event tables in src/table/.
set -eu
cat <<'EOF'
# Log events

Every log line is one JSON object on standard output: `at_ms` (the instance's
time of day), `level`, `process`, `event` (the number below), `name`, then the
event's fields as texts. Numbers and names are stable. No prompt,
answer or key ever stands in a field. This page is printed by
`scripts/print_events.sh`; `make check` fails where it differs from the code.

| number | level | name | meaning |
| --- | --- | --- | --- |
EOF
cat src/table/*_events.inc | tr '\n' ' ' |
  grep -oE 'CROWSTEP_EVENT\([0-9]+, *[A-Za-z]+, *[A-Za-z]+, *"[^"]*"( *"[^"]*")*\)' |
  sed -E 's/" +"//g; s/CROWSTEP_EVENT\(([0-9]+), *([A-Za-z]+), *([A-Za-z]+), *"([^"]*)"\)/| \1 | \2 | \3 | \4 |/' |
  sort -t'|' -k2 -n
