#!/usr/bin/env bash
# Case 3, see claim.txt. TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../play.sh" 3 status
