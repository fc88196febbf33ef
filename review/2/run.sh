#!/bin/sh
# Exits with 1 if an acknowledged commit is missing at a promoted member, 0 if none is, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 case.py
