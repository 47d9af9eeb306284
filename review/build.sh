#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript modules without dependencies: there is nothing to compile, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]*/case.mjs; do
	node --check "$file"
done
