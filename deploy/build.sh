#!/bin/sh
# Installs the locked dependencies and the figcrank packages for entry hosts into target/deps.
set -eu
lock=requirements/platform.lock
mkdir -p target
if [ ! -e target/.libraries ] || [ "$lock" -nt target/.libraries ]; then
  python3 -m pip install -q -U --require-hashes --no-deps --target target/deps -r "$lock"
  touch target/.libraries
fi
rm -rf target/deps/figcrank
for package in state protocol coordination transport; do
  cp -R "packages/figcrank-$package/src/figcrank" target/deps/
done
cp -R platform/src/figcrank target/deps/
find target/deps/figcrank -name __pycache__ -prune -exec rm -rf {} +
