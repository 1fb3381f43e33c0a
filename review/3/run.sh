#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption. Build first: the deploy file's build, then review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
[ -f "$root/target/quilldyke.jar" ] && [ -f "$root/target/review/RelayKill.class" ] || { echo "not built"; exit 2; }
work="$(mktemp -d)" || exit 2
java -Xmx64m -XX:+UseSerialGC -cp "$root/target/review" RelayKill "$root" "$work" "$here/record.txt" "${TROUBLE:-1}"
result=$?
cat "$work"/Engine-*.log 2>/dev/null | grep -v ' other-\| first-' | sed 's/^/engine: /' >> "$here/record.txt"
rm -rf "$work"
case $result in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
