#!/bin/sh
# Builds the stand-ins of the second review. They need Python alone.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/standins_2.py
