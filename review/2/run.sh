#!/usr/bin/env bash
# Case 2, see claim.txt. TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../play.sh" 2 budget
