# Starts and ends stand-ins and daemons on loopback; sourced by tools/demo and
# tools/test_processes. Needs $root, the root of the repository.

base=${AUBURNHAVEN_BASE_PORT:-21000} # a multiple of 100
zones=(malmo lund ystad)
operator_key=operator-key-of-the-demo
work=$(mktemp -d)
pids=()
failed=()

# Ends every process started here, by its identifier, and removes the files.
end_world() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for _ in $(seq 50); do
    any_alive || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  [ -n "${KEEP_WORK:-}" ] || rm -rf "$work"
}

any_alive() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null && return 0
  done
  return 1
}

# Runs a step and notes whether it failed: step NAME COMMAND...
step() {
  local name=$1
  shift
  if "$@"; then
    echo "ok      $name"
  else
    echo "FAILED  $name"
    failed+=("$name")
  fi
}

# Tries a command until it succeeds: eventually SECONDS COMMAND...
eventually() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

caller_port() { echo $((base + 401 + 10 * $1)); }
operator_port() { echo $((base + 404 + 10 * $1)); }
caller_url() { echo "http://127.0.0.1:$(caller_port "$1")"; }
control() { curl -sf -m 5 "http://127.0.0.1:$1/control" -d "$2" >/dev/null; }

# Prints the HTTP status of a request: status_of CURL-ARGUMENTS...
status_of() { curl -s -m 10 -o /dev/null -w '%{http_code}' "$@" || true; }
answers() {
  local wanted=$1
  shift
  [ "$(status_of "$@")" = "$wanted" ]
}

start_standins() {
  "$root/build/auburnhaven-standins" --base-port "$base" \
    --zones malmo,lund,ystad --vms-per-domain 10 --load-ms 300 "$@" \
    >"$work/standins.log" 2>&1 &
  pids+=($!)
  eventually 10 grep -q '^ready' "$work/standins.log"
}

# Writes the settings of daemon INDEX, one in each zone.
write_settings() {
  local index=$1 other_zones="" other
  for other in 0 1 2; do
    [ "$other" = "$index" ] || other_zones+="
[[other_zones]]
zone = \"${zones[$other]}\"
peers = [\"127.0.0.1:$((base + 402 + 10 * other))\"]"
  done
  cat >"$work/daemon-$index.toml" <<SETTINGS
daemon = "entry-${zones[$index]}"
zone = "${zones[$index]}"
region = "south"
stores = ["127.0.0.1:$((base + 2 + index))"]
vm_list = "127.0.0.1:$((base + 1))"
peer_key = "peer-key-of-the-demo"
operator_key = "$operator_key"
balancer_lag_ms = ${balancer_lag_ms:-500}
log_level = "info"
[listeners]
callers = "127.0.0.1:$((base + 401 + 10 * index))"
peers = "127.0.0.1:$((base + 402 + 10 * index))"
operators = "127.0.0.1:$((base + 404 + 10 * index))"
[limits]
body_bytes = 65536
header_timeout_ms = 2000
$other_zones
SETTINGS
}

# Starts daemon INDEX and notes its process in daemon_pids.
declare -A daemon_pids
start_daemon() {
  write_settings "$1"
  "$root/build/auburnhaven" serve --settings "$work/daemon-$1.toml" \
    >>"$work/daemon-$1.log" 2>&1 &
  daemon_pids[$1]=$!
  pids+=($!)
  eventually 10 answers 200 "$(caller_url "$1")/healthz"
}

# Calls an operators' command on daemon INDEX: operate INDEX COMMAND...
operate() {
  local index=$1
  shift
  "$root/build/auburnhaven" "$@" --operator "127.0.0.1:$(operator_port "$index")" \
    --operator-key-file "$work/operator.key"
}

# Writes the example configuration with the ports of this run.
write_configuration() {
  echo "$operator_key" >"$work/operator.key"
  "$root/build/example_krokvagg" |
    sed "s/127\.0\.0\.1:210/127.0.0.1:$((base / 100))/" >"$work/krokvagg.toml"
}

all_copies_serve() { operate "$1" status | grep -q 'copies 3 of 3'; }
all_zones_serve() { all_copies_serve 0 && all_copies_serve 1 && all_copies_serve 2; }
# Tells whether daemon INDEX has a generation in force: at_generation INDEX NUMBER
at_generation() { operate "$1" status | grep -q "^configuration generation $2\$"; }

# Sends a chat request: chat INDEX PROMPT TOKENS STREAM [CURL-ARGUMENTS...]
chat() {
  local index=$1 prompt=$2 tokens=$3 stream=$4
  shift 4
  curl -sS -N -f -m 60 "$(caller_url "$index")/v1/chat/completions" \
    -H 'Authorization: Bearer demo-key-of-shop-0' \
    -H 'Content-Type: application/json' "$@" \
    -d "{\"model\":\"shop-assistant\",\"max_tokens\":$tokens,\"stream\":$stream,
         \"messages\":[{\"role\":\"user\",\"content\":\"$prompt\"}]}"
}

# Calls a service operation: call INDEX OPERATION KEY
call() {
  curl -sS -f -m 20 "$(caller_url "$1")/v1/services/orders/$2" \
    -H 'Authorization: Bearer demo-key-of-shop-0' \
    -H "Idempotency-Key: $3" -d '{"order":17}'
}

# Prints how often a key ran on all instances of the service.
runs_of() {
  curl -sS -m 5 "http://127.0.0.1:$((base + 20))/runs" |
    grep -o "\"key\":\"$1\",\"path\":\"[^\"]*\",\"runs\":[0-9]*" |
    grep -o '[0-9]*$' || echo 0
}

# Starts streams on a daemon: start_load INDEX COUNT TOKENS
load_pids=()
start_load() {
  local number
  for number in $(seq "$2"); do
    chat "$1" "load $1 $number" "$3" true >"$work/load-$1-$number" 2>&1 &
    load_pids+=($!)
  done
}

# Waits for all streams; each must have ended whole.
load_is_whole() {
  local pid file bad=0
  for pid in "${load_pids[@]}"; do
    wait "$pid" || bad=$((bad + 1))
  done
  for file in "$work"/load-*; do
    grep -q 'data: \[DONE\]' "$file" || bad=$((bad + 1))
  done
  [ "$bad" = 0 ] || echo "$bad of ${#load_pids[@]} streams or their ends were lost"
  [ "$bad" = 0 ]
}

# Stops a daemon with SIGTERM; it must exit with 0: stops_cleanly INDEX
stops_cleanly() {
  local status=0
  wait "${daemon_pids[$1]}" || status=$?
  [ "$status" = 0 ] || echo "daemon $1 exited with $status"
  [ "$status" = 0 ]
}
