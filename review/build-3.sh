#!/bin/sh
# Builds what the scripts of this review start beside the programs of the deploy file: the stand-ins are plain JavaScript.
set -e
cd "$(dirname "$0")"
for file in standin-3/*.js; do
	node --check "$file"
done
