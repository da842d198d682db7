#!/usr/bin/env bash
# The scripts of review/6 to review/10 start stand-ins that need no build: they are plain JavaScript and use nothing but Node.js. This checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in standin-2/*.js [6-9]/run.js 10/run.js; do
	node --check "$file"
done
