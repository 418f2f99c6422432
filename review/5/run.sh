#!/bin/sh
# Plays the case crash-again: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. review/build.sh and the build of the deploy file come before it.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-driver ] || [ ! -x target/medlarshunt ]; then
  echo "build first: the deploy file and review/build.sh"
  exit 2
fi
exec target/review-driver crash-again target/medlarshunt review/5/record.txt
