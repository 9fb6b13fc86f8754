#!/usr/bin/env bash
# Measures what one instance spends on control, as a process of its own: its
# processor time and memory over 20 s without load, among ENGINES engines and
# PEERS other instances, with the report interval REPORT and the interval READ of
# reads from the platform.
# usage: instance_cost.sh ENGINES PEERS REPORT READ
set -euo pipefail
cd "$(dirname "$0")/.."
engines=$1 peers=$2 report=$3 read_interval=$4
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait; rm -rf "$dir"' EXIT
go build -o "$dir/swiftloom" ./cmd/swiftloom
port=$((20000 + $$ % 5000))
platform=127.0.0.1:$port
"$dir/swiftloom" standin platform --listen "$platform" >/dev/null & pids+=($!)
for i in $(seq "$engines"); do
  "$dir/swiftloom" standin engine --id "engine-$i" --group engines --failure-domain a --platform "$platform" --model m >/dev/null & pids+=($!)
done
for i in $(seq 0 "$peers"); do
  http=$((port + 1 + 2 * i)) peer=$((port + 2 + 2 * i))
  cat >"$dir/$i.ini" <<INI
[instance]
id = entry-$i
failure_domain = a
http_address = 127.0.0.1:$http
peer_address = 127.0.0.1:$peer
log_level = error
[platform]
addresses = $platform
[deployment]
name = site
peer_key = p
operator_key = o
[timing]
report_interval = $report
members_interval = $read_interval
catalogue_interval = $read_interval
gossip_interval = 450ms
INI
  "$dir/swiftloom" serve --settings "$dir/$i.ini" & pids+=($!)
  [ "$i" = 0 ] && measured=$!
done
sleep 5
ticks() { awk '{print $14 + $15}' "/proc/$measured/stat"; }
before=$(ticks)
sleep 20
after=$(ticks)
rss=$(awk '/VmRSS/ {print $2}' "/proc/$measured/status")
hz=$(getconf CLK_TCK)
awk -v t=$((after - before)) -v hz="$hz" -v rss="$rss" -v e="$engines" -v p="$peers" \
  'BEGIN {printf "engines %d, peers %d: %.2f%% of a core, %.1f MiB resident\n", e, p, 100 * t / hz / 20, rss / 1024}'
