#!/usr/bin/env bash
# Measures the cost of the control plane in one instance without load: its CPU
# time over 20 s and its resident memory at the end. The instance runs as a
# separate process with ENGINES engines and PEERS other instances. REPORT is the
# shortest interval at which an instance requests load reports from engines, and
# READ the interval between reads of members and of the catalogue from the
# platform. Both are Go durations, for example 500ms.
# usage: instance_cost.sh ENGINES PEERS REPORT READ
set -euo pipefail
cd "$(dirname "$0")/.."
engines=$1 peers=$2 report_interval=$3 read_interval=$4
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
report_interval = $report_interval
members_interval = $read_interval
catalogue_interval = $read_interval
gossip_interval = 450ms
INI
  "$dir/swiftloom" serve --settings "$dir/$i.ini" & pids+=($!)
  [ "$i" = 0 ] && measured_pid=$!
done
# Wait until the processes have found each other before measuring.
sleep 5
# cpu_ticks prints the user and system time of the measured instance in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$measured_pid/stat"; }
ticks_before=$(cpu_ticks)
sleep 20
ticks_after=$(cpu_ticks)
rss_kib=$(awk '/VmRSS/ {print $2}' "/proc/$measured_pid/status")
ticks_per_second=$(getconf CLK_TCK)
awk -v t=$((ticks_after - ticks_before)) -v hz="$ticks_per_second" -v rss_kib="$rss_kib" -v e="$engines" -v p="$peers" \
  'BEGIN {printf "%d engines, %d peers: %.2f%% of a CPU core, %.1f MiB resident memory\n", e, p, 100 * t / hz / 20, rss_kib / 1024}'
