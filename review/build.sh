#!/bin/bash
# Builds the stand-ins of the cases into bin/, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin
for case in review/[0-9]; do
	go build -o "bin/review-${case##*/}" "./$case" || exit 2
done
