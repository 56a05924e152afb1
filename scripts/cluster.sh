#!/usr/bin/env bash
# Runs a cluster on loopback addresses: a stand-in platform, 24 stand-in targets
# in 3 racks (one process for each rack) and 7 entry processes. Submits work,
# shows the state, takes one entry out with SIGTERM and ends every process that
# it started. QUETZAL_BASE_PORT (7500) is the first of about 100 ports.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ENTRIES=7 RACKS=3 TARGETS_PER_RACK=8
readonly BASE_PORT="${QUETZAL_BASE_PORT:-7500}"
readonly PLATFORM="127.0.0.1:$BASE_PORT"
readonly READY_TIMEOUT_S=60 STOP_TIMEOUT_S=30
readonly DOMAINS=(domain-a domain-b domain-c)

dir="$(mktemp -d)"
entry_pids=()
other_pids=()

callers() { echo "127.0.0.1:$((BASE_PORT + 10 * $1))"; }
operators() { echo "127.0.0.1:$((BASE_PORT + 10 * $1 + 1))"; }
peers() { echo "127.0.0.1:$((BASE_PORT + 10 * $1 + 2))"; }
domain() { echo "${DOMAINS[$((($1 - 1) % ${#DOMAINS[@]}))]}"; }

fail() {
  echo "error: $1" >&2
  exit 1
}

# Tells whether a process is a running child of this shell. Unlike `kill -0`, it
# can't mistake another process with a reused id for it.
is_running() {
  local running
  running="$(jobs -pr)"
  [[ $'\n'"$running"$'\n' == *$'\n'"$1"$'\n'* ]]
}

# Ends the given children: SIGTERM, then SIGKILL for those that do not end.
stop_processes() {
  local pid end=$((SECONDS + STOP_TIMEOUT_S))
  for pid in "$@"; do
    if is_running "$pid"; then kill -TERM "$pid"; fi
  done
  for pid in "$@"; do
    while is_running "$pid" && ((SECONDS < end)); do
      sleep 0.1
    done
    if is_running "$pid"; then
      kill -KILL "$pid"
      echo "process $pid had to be killed" >&2
    fi
    wait "$pid" 2>/dev/null || true
  done
}

clean_up() {
  local code=$?
  trap - EXIT INT TERM
  # Entries stop gracefully only while targets and platform still answer.
  stop_processes "${entry_pids[@]}"
  stop_processes "${other_pids[@]}"
  if ((code == 0)); then
    rm -r "$dir"
  else
    echo "logs are kept in $dir" >&2
  fi
  exit "$code"
}
trap clean_up EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Waits until a file has a number of lines: wait_lines FILE COUNT PID.
wait_lines() {
  local end=$((SECONDS + READY_TIMEOUT_S))
  # The process may not have opened the file yet.
  touch "$1"
  while (($(wc -l <"$1") < $2)); do
    is_running "$3" || fail "a process ended early: $(tail -n 3 "$1.log")"
    ((SECONDS < end)) || fail "no sign of readiness in $1"
    sleep 0.1
  done
}

start_targets() {
  local rack pid
  for ((rack = 1; rack <= RACKS; rack++)); do
    .venv/bin/quetzal-standin-target --target-id "t$rack" \
      --failure-domain "$(domain "$rack")" --rack "rack-$rack" \
      --store "$PLATFORM" --count "$TARGETS_PER_RACK" \
      >"$dir/rack-$rack" 2>"$dir/rack-$rack.log" &
    other_pids+=("$!")
  done
  for ((rack = 1; rack <= RACKS; rack++)); do
    pid="${other_pids[$((rack - 1))]}"
    wait_lines "$dir/rack-$rack" "$TARGETS_PER_RACK" "$pid"
  done
}

list_vms() {
  local rack index address entry comma=""
  printf '{"vms": ['
  for ((rack = 1; rack <= RACKS; rack++)); do
    index=0
    while read -r address; do
      print_vm "t$rack-$index" target "$address" "$(domain "$rack")" "rack-$rack"
      index=$((index + 1))
    done <"$dir/rack-$rack"
  done
  for ((entry = 1; entry <= ENTRIES; entry++)); do
    print_vm "e$entry" entry "$(peers "$entry")" "$(domain "$entry")" rack-0
  done
  printf ']}\n'
}

# Uses `comma` of its caller, which is empty before the first VM.
print_vm() {
  printf '%s{"vm": "%s", "role": "%s", "address": "%s", ' "$comma" "$1" "$2" "$3"
  printf '"failure_domain": "%s", "rack": "%s", "state": "live"}' "$4" "$5"
  comma=$',\n'
}

start_platform() {
  list_vms >"$dir/vms.json"
  .venv/bin/quetzal-standin-platform "$PLATFORM" --vms "$dir/vms.json" \
    >"$dir/platform" 2>"$dir/platform.log" &
  other_pids+=("$!")
  wait_lines "$dir/platform" 1 "$!"
}

start_entries() {
  local entry
  cat >"$dir/base.json" <<EOF
{"process": {"region": "local", "platform_address": "$PLATFORM",
  "operator_key": "$QUETZAL_OPERATOR_KEY", "times": {"drain_delay_s": 1}}}
EOF
  for ((entry = 1; entry <= ENTRIES; entry++)); do
    cat >"$dir/e$entry.json" <<EOF
{"process": {"entry_id": "e$entry", "failure_domain": "$(domain "$entry")",
  "callers_address": "$(callers "$entry")",
  "operators_address": "$(operators "$entry")",
  "peers_address": "$(peers "$entry")"}}
EOF
    .venv/bin/quetzal-entry "$dir/base.json" "$dir/e$entry.json" \
      >"$dir/e$entry" 2>"$dir/e$entry.log" &
    entry_pids+=("$!")
  done
  for ((entry = 1; entry <= ENTRIES; entry++)); do
    wait_lines "$dir/e$entry" 1 "${entry_pids[$((entry - 1))]}"
  done
}

# Prints how many targets the first N entries control together.
count_controlled() {
  local entry total=0 found
  for ((entry = 1; entry <= $1; entry++)); do
    found="$(.venv/bin/quetzalctl state --entry "$(operators "$entry")" |
      grep -cE '^ *"t[0-9]+-[0-9]+",?$' || true)"
    total=$((total + found))
  done
  echo "$total"
}

wait_controlled() {
  local end=$((SECONDS + READY_TIMEOUT_S))
  while (($(count_controlled "$1") < RACKS * TARGETS_PER_RACK)); do
    ((SECONDS < end)) || fail "the targets are not all controlled"
    sleep 0.5
  done
  echo "$1 entries control $((RACKS * TARGETS_PER_RACK)) targets after $SECONDS s"
}

configure() {
  .venv/bin/quetzalctl team set demo --share 1 --max-running 100
  QUETZAL_KEY="$(.venv/bin/quetzalctl key create demo --name demo-key)"
  export QUETZAL_KEY
  .venv/bin/quetzalctl queue set proofs --team demo --kind latency
  .venv/bin/quetzalctl queue set renders --team demo --kind batch
}

[ -x .venv/bin/quetzal-entry ] || fail "run scripts/setup.sh first"
QUETZAL_OPERATOR_KEY="$(head -c 24 /dev/urandom | base64)"
QUETZAL_OPERATORS="$(operators 1)"
QUETZAL_ENTRY="$(callers 1)"
export QUETZAL_OPERATOR_KEY QUETZAL_OPERATORS QUETZAL_ENTRY

echo "== start a platform, 24 targets and 7 entries"
start_targets
start_platform
start_entries
wait_controlled "$ENTRIES"

echo "== create a team, a key and queues"
configure

echo "== submit a request to each entry and wait for the answers"
for ((entry = 1; entry <= ENTRIES; entry++)); do
  .venv/bin/quetzal submit proofs --payload "answer $entry" --wait \
    --entry "$(callers "$entry")"
done

echo "== state as entry e1 sees it"
.venv/bin/quetzalctl state

echo "== take entry e$ENTRIES out while a request that it accepted runs"
.venv/bin/quetzal submit renders --kind batch --id render-1 \
  --payload '{"run_ms": 5000, "output": "rendered"}' \
  --entry "$(callers "$ENTRIES")"
leaving="${entry_pids[-1]}"
kill -TERM "$leaving"
code=0
wait "$leaving" || code=$?
unset 'entry_pids[-1]'
echo "entry e$ENTRIES ended with exit code $code"
((code == 0)) || fail "the entry did not stop gracefully"
.venv/bin/quetzal wait render-1 --timeout-s 60
wait_controlled "$((ENTRIES - 1))"

echo "== end the processes that this script started"
