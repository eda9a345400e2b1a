#!/usr/bin/env bash
# Demonstrates the main use case on the loopback interface: a platform, backend servers, ten proxies
# and callers run as separate processes. A bundle signed by two operators is rolled out, a backend
# server is drained, and a proxy is stopped as planned. Exits with 0 only if all guarantees held.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=bin
RUN=$(mktemp -d)
EXAMPLE=examples/trinacria.json
PLATFORM=127.0.0.1:20000
REGIONS=(palermo palermo palermo palermo catania catania catania agrigento agrigento agrigento)
PIDS=()
export GYPSUMQUAY_PROXIES=127.0.0.1:20201,127.0.0.1:20202,127.0.0.1:20205
CTL=$BIN/gypsumquayctl
SPAN=${DEMO_SPAN:-24s}

say() { printf '%s  %s\n' "$(date +%H:%M:%S)" "$*"; }

cleanup() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$RUN"
}
trap cleanup EXIT

start() {
  local log=$1
  shift
  "$@" >"$RUN/$log.out" 2>"$RUN/$log.log" &
  PIDS+=($!)
}

say "creating keys for two operators"
$CTL keys new anna --out "$RUN/anna.key" >/dev/null
$CTL keys new bruno --out "$RUN/bruno.key" >/dev/null
KEYS=$($CTL --json keys list "$RUN/anna.key" "$RUN/bruno.key")

say "starting platform, backend servers of three regions, ten proxies"
start platform $BIN/gypsumquay-fake platform --listen $PLATFORM
port=20010
for region in palermo catania agrigento; do
  start "backend-$region" $BIN/gypsumquay-fake backend --bundle $EXAMPLE --region $region --control 127.0.0.1:$port
  port=$((port + 1))
done
sleep 0.3
PROXY_PIDS=()
for i in "${!REGIONS[@]}"; do
  n=$((i + 1))
  domain=${REGIONS[$i]}-$([ $((i % 2)) = 0 ] && echo a || echo b)
  curl -s -X POST "http://$PLATFORM/control/machines/proxy-$n/live"
  cat >"$RUN/proxy-$n.json" <<JSON
{"name": "proxy-$n", "region": "${REGIONS[$i]}", "failure-domain": "$domain",
 "listen": {"callers": "127.0.0.1:$((20100 + n))", "peers": "127.0.0.1:$((20300 + n))", "operators": "127.0.0.1:$((20200 + n))"},
 "platform": ["$PLATFORM"], "seed-peers": ["127.0.0.1:20301", "127.0.0.1:20302"], "trusted-operators": $KEYS}
JSON
  start "proxy-$n" $BIN/gypsumquayd "$RUN/proxy-$n.json"
  PROXY_PIDS+=($!)
done
sleep 1.5

say "rolling out a bundle: proposed by anna, approved by bruno"
DIGEST=$($CTL --json bundle propose $EXAMPLE --key "$RUN/anna.key" | sed -n 's/.*"digest": "\(.*\)",/\1/p')
$CTL bundle approve "$DIGEST" --key "$RUN/bruno.key" >/dev/null
FORCE1=$($CTL bundle rollout "$DIGEST")
say "$FORCE1"
say "waiting for the quota slots to settle"
sleep 9
$CTL status

say "starting callers: 600 requests per second, one in ten a bid, for $SPAN"
$BIN/gypsumquay-fake caller --seeds 127.0.0.1:20101 127.0.0.1:20105 127.0.0.1:20108 --rate 600 --span "$SPAN" \
  --browse notice-board specifications shortlists --book bid-ledger --book-permille 100 >"$RUN/report.json" 2>"$RUN/callers.log" &
CALLER=$!
sleep 4

say "draining backend server bid-ledger-2: planned by anna, approved by bruno"
DIGEST=$($CTL --json drain plan ledger-maintenance --kind backend-server --target bid-ledger-2 --key "$RUN/anna.key" | sed -n 's/.*"digest": "\(.*\)",/\1/p')
$CTL bundle approve "$DIGEST" --key "$RUN/bruno.key" >/dev/null
FORCE2=$($CTL bundle rollout "$DIGEST")
DRAINED_AT=$(date +%s.%N)
say "$FORCE2"
sleep 3

say "stopping proxy-2 as planned; it has issued tokens that are in use"
STOP_AT=$(date +%s.%N)
kill -TERM "${PROXY_PIDS[1]}"
wait "${PROXY_PIDS[1]}" || { say "proxy-2 did not stop cleanly"; exit 1; }
STOPPED=$(awk -v a="$STOP_AT" -v b="$(date +%s.%N)" 'BEGIN {printf "%.1f", b - a}')
say "proxy-2 stopped after $STOPPED s"
wait $CALLER
say "callers have finished"
sleep 0.5

for p in 20010 20011 20012; do curl -s "http://127.0.0.1:$p/stats"; done >"$RUN/stats.json"
python3 - "$RUN/report.json" "$RUN/stats.json" "$FORCE1" "$FORCE2" "$STOPPED" "$DRAINED_AT" <<'PY'
import datetime, json, sys
report = json.load(open(sys.argv[1]))
decoder, text, servers = json.JSONDecoder(), open(sys.argv[2]).read(), []
while text.strip():
    part, end = decoder.raw_decode(text.lstrip())
    servers += part
    text = text.lstrip()[end:]
runs = {}
for s in servers:
    for key, n in s["runs"].items():
        runs[key] = runs.get(key, 0) + n
twice = [k for k, n in runs.items() if n > 1]
drained = next(s for s in servers if s["name"] == "bid-ledger-2")
last = datetime.datetime.fromisoformat(drained["last-new-work"]).timestamp()
print("requests by outcome     ", report["outcomes"])
print("reasons                 ", report["reasons"])
print("bids booked / run       ", report["booked"], "/", len(runs))
print("bids run twice          ", len(twice))
print("bookings never settled  ", report["bookings-never-settled"])
print("requests cut            ", report["cut"])
print("wrong / truncated       ", report["wrong-answers"], "/", report["truncated"])
print("sheds by backend servers", sum(s["shed"] for s in servers))
print("in force                ", sys.argv[3].split("after ")[-1], "and", sys.argv[4].split("after ")[-1])
print("drain: last new work    ", "%.2f s after the roll-out" % (last - float(sys.argv[6])))
print("planned stop            ", sys.argv[5], "s")
print("latency p50/p99/p99.9   ", report["p50-ms"], report["p99-ms"], report["p99.9-ms"], "ms")
bad = len(twice) or report["cut"] or report["wrong-answers"] or report["truncated"] or report["bookings-never-settled"]
bad = bad or last - float(sys.argv[6]) > 2 or report["outcomes"].get("done", 0) < 1000 or len(runs) < report["booked"]
print("promises", "BROKEN" if bad else "held")
sys.exit(1 if bad else 0)
PY
