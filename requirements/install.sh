#!/bin/sh
# Creates the development environment: the locked dependencies, and the packages in editable mode.
# The caller must hold a lock that excludes concurrent runs; the Makefile uses flock.
#
# Usage: install.sh PYTHON ENVIRONMENT STAMP LOCK_FILE PACKAGE...
set -eu
python=$1 environment=$2 stamp=$3 lock=$4
shift 4
inputs=$lock
editable=
for package in "$@"; do
  inputs="$inputs $package/pyproject.toml"
  editable="$editable -e ./$package"
done
# Another run may have completed the installation while this one waited for the lock.
if [ -e "$stamp" ] && [ -z "$(find $inputs -newer "$stamp")" ]; then
  exit 0
fi
rm -rf "$environment"
"$python" -m venv "$environment"
"$environment/bin/pip" install --quiet --require-hashes -r "$lock"
"$environment/bin/pip" install --quiet --no-deps --no-build-isolation $editable
touch "$stamp"
