#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [0-9]*/*.js; do
	node --check "$file"
done
