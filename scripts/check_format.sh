#!/bin/sh
# Fails if clang-format would change a source file, generated code excluded.
set -eu
git ls-files '*.cpp' '*.h' | grep -v '_generated\.h$' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
