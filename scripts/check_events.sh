#!/bin/sh
# Fails if docs/EVENTS.md does not match the event tables.
set -eu
sh scripts/print_events.sh | diff - docs/EVENTS.md >/dev/null || {
  echo "docs/EVENTS.md differs from src/table: sh scripts/print_events.sh >docs/EVENTS.md"
  exit 1
}
echo "events: catalogue matches"
