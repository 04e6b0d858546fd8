#!/bin/sh
# Fails if two events have one number, or if docs/EVENTS.md does not match the
# event tables.
set -eu
doubled=$(sed -n 's/^| \([0-9]*\) |.*/\1/p' docs/EVENTS.md | sort | uniq -d)
[ -z "$doubled" ] || {
  echo "more than one event has the number" $doubled
  exit 1
}
sh scripts/print_events.sh | diff - docs/EVENTS.md >/dev/null || {
  echo "docs/EVENTS.md differs from src/table: sh scripts/print_events.sh >docs/EVENTS.md"
  exit 1
}
echo "events: catalogue matches"
