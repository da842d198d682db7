#!/bin/sh
# The stand-ins are plain JavaScript without dependencies, so that they need no build: this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in standin/*.js [1-5]/*.js; do
	node --check "$file" || exit 1
done
