#!/bin/sh
# Builds the programs of the review's scripts into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/testdata/*/; do
	name=$(basename "$folder")
	# stand is the package that the programs share.
	if [ "$name" != stand ]; then
		go build -o "review/bin/$name" "./review/testdata/$name"
	fi
done
