#!/usr/bin/env bash
# Starts a platform, three database groups and nine hosts as local processes on loopback addresses,
# and sends SIGTERM to each of them on Ctrl-C.
#
# Usage: examples/fleet.sh BIN_DIRECTORY [LOG_DIRECTORY]
set -euo pipefail

bin=$(cd "$1" && pwd)
examples=$(cd "$(dirname "$0")" && pwd)
logs=${2:-$(mktemp -d)}
mkdir -p "$logs"
pids=()

stop() {
  trap - INT TERM EXIT
  # Stops in reverse order of start: hosts shut down while their backend servers are still available.
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    kill -TERM "${pids[index]}" 2>/dev/null || true
  done
  wait
}

start() {
  local name=$1
  shift
  # Background processes ignore SIGINT from the terminal; stop sends them SIGTERM.
  "$@" >"$logs/$name.out" 2>"$logs/$name.err" </dev/null &
  pids+=($!)
}

trap stop INT TERM EXIT

start platform "$bin/python" -m figcrank.standins.platform --listen 127.0.0.1:9000 \
  --sample --seed "$examples/seed.json"

for group in 1 2 3; do
  for number in 1 2 3; do
    letters=(- a b c)
    peers=()
    for other in 1 2 3; do
      if [ "$other" != "$number" ]; then
        peers+=(--peer "roster-$group-${letters[other]}=127.0.0.1:90$group$other")
      fi
    done
    server="roster-$group-${letters[number]}"
    start "$server" "$bin/python" -m figcrank.standins.group --name "roster-$group" \
      --server "$server" --listen "127.0.0.1:90$group$number" --connections 35 \
      --primary "roster-$group-a" "${peers[@]}"
  done
done

for number in 1 2 3 4 5 6 7 8 9; do
  start "host-$number" "$bin/figcrankd" --config "$examples/host-$number.json5"
done

for number in 1 2 3 4 5 6 7 8 9; do
  until [ -s "$logs/host-$number.out" ]; do
    if ! kill -0 "${pids[9 + number]}" 2>/dev/null; then
      echo "host-$number exited before it was ready; see $logs/host-$number.err" >&2
      exit 1
    fi
    sleep 0.1
  done
  cat "$logs/host-$number.out"
done
echo "The fleet is ready. Logs are in $logs. Press Ctrl-C to stop it."
wait
