#!/bin/sh
# One of eight engines fails a part of its requests after their work, with 503.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -f target/quilldyke.jar ] || { echo "build first"; exit 2; }
exec java -cp target/review-2 GreyEngine "$PWD" "$PWD/review/4/record.txt"
