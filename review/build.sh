#!/usr/bin/env bash
# Checks the stand-ins and cases, which are plain Node.js modules: there is nothing to compile. Installs nothing.
set -eu
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/*.mjs; do node --check "$module"; done
