#!/usr/bin/env bash
# Plays the case, see claim.txt. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../standin-2/play.sh" equal_turns "$(dirname "$0")"
