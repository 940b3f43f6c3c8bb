#!/bin/sh
# Installs the gateway and its libraries into target/deps, which is on Python's path.
set -eu
deps=target/deps
stamp=target/.installed
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check \
        --target "$deps" -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf "$deps/waxwingbarrow"
mkdir -p "$deps/waxwingbarrow"
for source in libs/core libs/document libs/capacity libs/routing libs/limits libs/rollout \
    libs/gateway platform; do
    cp -R "$source"/src/waxwingbarrow/* "$deps/waxwingbarrow/"
done
# A killed host serves again sooner when nothing has to be compiled.
python3 -m compileall -q "$deps"
