#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the
# disruption out. Writes record.txt beside this file. See claim.txt.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
