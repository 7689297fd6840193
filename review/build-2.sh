#!/bin/sh
# The stand-ins of cases 4 and 5 are plain programs of Node.js and need no build; this checks that each can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.js review/4/case.js review/5/case.js; do
	node --check "$file" || exit 1
done
