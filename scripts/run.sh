#!/usr/bin/env bash
# Starts stand-ins and three entry instances as separate processes, publishes the sample service files, sends a
# streaming model request and a non-idempotent booking, prints the answers and the status, and stops everything.
# Exits 0 only if every step gave the expected result. PORT_BASE moves the ports that it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT_BASE:-17200}
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop EXIT
fail() { echo "FAILED: $*" >&2; tail -n 5 "$dir"/*.log >&2; exit 1; }

start() { # name command...
  local name=$1; shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}
await() { # url
  for _ in $(seq 100); do curl -fs -o /dev/null "$1" && return; sleep 0.1; done
  fail "$1 does not answer with success"
}

store=http://127.0.0.1:$base platform=http://127.0.0.1:$((base + 1))
start objects bin/trefoillug-standin objects --listen "127.0.0.1:$base"
start cloud bin/trefoillug-standin cloud --listen "127.0.0.1:$((base + 1))"
await "$store/counts"; await "$platform/instances"
port=$((base + 10))
endpoint() { # kind service version failure-domain
  start "endpoint-$port" bin/trefoillug-standin "$1" --listen "127.0.0.1:$port" --id "e-$port" --platform "$platform" \
    --service "$2" --version "$3" --failure-domain "$4"
  port=$((port + 1))
}
for domain in a b; do
  endpoint engine quotes v1 "$domain"; endpoint service orders v1 "$domain"
  endpoint engine labels v1 "$domain"; endpoint service print-orders v1 "$domain"
done
entries=
for i in 1 2 3; do
  peer=127.0.0.1:$((base + 40 + i))
  entries=${entries:+$entries,}$peer
  start "entry-$i" bin/trefoillug entry --id "entry-$i" --failure-domain "$(echo abc | cut -c$i)" \
    --listen "127.0.0.1:$((base + 30 + i))" --peer-listen "$peer" --peers "127.0.0.1:$((base + 41))" \
    --store "$store" --platform "$platform" --balancer-delay 100ms
done
for i in 1 2 3; do await "http://127.0.0.1:$((base + 40 + i))/healthz"; done

echo "== publish"
bin/trefoillug publish --store "$store" --entries "$entries" examples/zupan/*.yaml examples/jadran/*.yaml || fail publish
for i in 1 2 3; do await "http://127.0.0.1:$((base + 30 + i))/readyz"; done

caller=http://127.0.0.1:$((base + 31)) other=http://127.0.0.1:$((base + 32))
echo "== streaming model request"
curl -fsN -D "$dir/head" "$caller/v1/chat/completions" -H 'X-Service: quotes' -H 'X-Workspace: pickup-notes' \
  -d '{"model":"quotes","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Quote 40 aprons a week."}]}' \
  >"$dir/answer" || fail "model request"
cat "$dir/answer"
grep -q 'data: \[DONE\]' "$dir/answer" || fail "the stream did not end with [DONE]"
grep -i '^x-\(endpoint\|version\)' "$dir/head" || fail "the answer does not name its endpoint and version"

echo "== booking, and its repeat at another instance"
book() { curl -fsS -D "$dir/head" "$1/services/orders/pickups" -H 'X-Workspace: counter' -H 'Idempotency-Key: booking-1' -d '{"pickup":"hotel"}'; }
first=$(book "$caller") || fail booking
grep -i '^x-\(endpoint\|version\)' "$dir/head" || fail "the answer does not name its endpoint and version"
second=$(book "$other") || fail "repeated booking"
echo "$first"
[ "$first" = "$second" ] || fail "the repeat got another answer: $second"
runs=0
for p in $((base + 11)) $((base + 15)); do
  n=$(curl -fs "http://127.0.0.1:$p/counts" | sed -n 's/.*"runs":\([0-9]*\).*/\1/p'); runs=$((runs + n))
done
[ "$runs" = 1 ] || fail "the booking ran $runs times"

echo "== status"
bin/trefoillug status --entry "127.0.0.1:$((base + 41))" || fail status

echo "== planned stop of the instances, then the burn report from what they recorded"
for pid in "${pids[@]: -3}"; do kill "$pid"; done
for pid in "${pids[@]: -3}"; do wait "$pid" || fail "an instance did not stop cleanly"; done
pids=("${pids[@]:0:${#pids[@]}-3}")
bin/trefoillug report burn --store "$store" | tee "$dir/burn" || fail "report burn"
grep -q '^quotes *pickup-notes *1 *0 ' "$dir/burn" || fail "the report does not show the served request"
echo "== done"
