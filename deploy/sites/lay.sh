#!/bin/sh
# Lays the bench's companions beside these site files, from where the bench stands next to this repository. They are not
# ours, so git ignores them.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit/sites}
for name in real.json wire.json unlock.txt; do
    cp "$kit/$name" "$here/$name"
    chmod u+w "$here/$name"
done
