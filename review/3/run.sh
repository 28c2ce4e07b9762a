#!/bin/sh
cd "$(dirname "$0")" && exec timeout 110 node run.mjs
