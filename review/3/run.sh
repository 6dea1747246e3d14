#!/bin/sh
# Exit status 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0 leaves out the disruption. What was
# sent, answered and run is written to record.txt in this folder.
exec python3 -B "$(dirname "$0")/play.py"
