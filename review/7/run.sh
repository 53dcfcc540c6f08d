#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/notchhinge ] && [ -x target/review-2/reviewstandin ] || exit 2
exec target/review-2/reviewstandin revived target/notchhinge review/7/record.txt
