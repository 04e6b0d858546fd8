#!/bin/sh
# Fails when clang-format would change a source file; generated code is left out.
set -eu
git ls-files '*.cpp' '*.h' | grep -v '_generated\.h$' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
