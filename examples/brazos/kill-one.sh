#!/usr/bin/env bash
# Runs the brazos site as separate processes on loopback, streams an answer with curl, kills the
# instance that relays it with SIGKILL, and resumes at another one. Exit status 0 if the answer is
# whole. Usage: kill-one.sh [INSTANCE-NUMBER-TO-KILL]
set -euo pipefail
cd "$(dirname "$0")/../.."
victim=${1:-2}
other=$((victim % 10 + 1))
work=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT
sed "s#data/brazos#$work/data#" examples/brazos/site.json > "$work/site.json"
bin/quilldyke check-settings "$work/site.json"
export QUILLDYKE_JAVA_OPTIONS="-Xmx160m -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
for i in $(seq 1 10); do
  bin/quilldyke run --settings "$work/site.json" --instance "brazos-entry-$i" \
      > "$work/entry-$i.log" 2>&1 &
  pids+=($!)
done
announce=$(for i in $(seq 1 10); do printf '127.0.1.%d:8080,' "$i"; done)
for i in 1 2; do
  bin/quilldyke stand-in engine --id "lm-examiner-$i" --cell brazos-central --service lm-examiner \
      --listen "127.0.3.$i:9000" --announce "${announce%,}" --token-ms 20 \
      > "$work/engine-$i.log" 2>&1 &
  pids+=($!)
done
ask="--at 127.0.1.$other:8080 --token brazos-operator"
until bin/quilldyke plan organisation hall --caller-token hall-token $ask --number 1 \
    --operator me > "$work/plan" 2>&1; do sleep 1; done
bin/quilldyke confirm 1 $ask > /dev/null
bin/quilldyke plan model lm-examiner --service lm-examiner --weights w1 $ask --number 2 \
    --operator me > /dev/null
bin/quilldyke confirm 2 $ask > /dev/null
for i in "$victim" "$other"; do
  until curl -fs "http://127.0.1.$i:8081/readyz" > /dev/null; do sleep 0.2; done
done
until [[ $(bin/quilldyke targets $ask | grep -c '"id"') == 2 ]]; do sleep 0.5; done
body='{"model":"lm-examiner","prompt":"Who owns lot 4?","max_tokens":150,"stream":true}'
curl -sN "http://127.0.1.$victim:8080/v1/completions" -H 'Authorization: Bearer hall-token' \
    -d "$body" > "$work/first" &
client=$!
sleep 1.5
echo "kill -9 brazos-entry-$victim"
kill -9 "${pids[$((victim - 1))]}"
wait "$client" || true
# A line that was cut off is not an event.
last=$(grep '^id: ' "$work/first" | sed '$d' | tail -1 | cut -c5-)
echo "resume after $last at brazos-entry-$other"
curl -sN "http://127.0.1.$other:8080/v1/streams" -H 'Authorization: Bearer hall-token' \
    -H "Last-Event-ID: $last" > "$work/rest"
sed "/^id: ${last//\//\\/}$/q" "$work/first" > "$work/kept"
positions=$(grep -h '^id: ' "$work/kept" "$work/rest" | sed 's#.*/##')
[[ $positions == "$(seq 0 150)" ]] || { echo "chunks lost or doubled"; exit 1; }
grep -q 'DONE' "$work/rest" || { echo "no end"; exit 1; }
echo "whole: 151 chunks, once each and in order"
