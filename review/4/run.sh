#!/usr/bin/env bash
# Runs the case; exit code 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
