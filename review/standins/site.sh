# Sourced by the cases' run.sh: starts a small deployment on loopback and ends it again.
# shellcheck shell=bash disable=SC2034
# Sets: record, folder (temporary), trouble; fills gateways and backends (process ids) and ports (of the gateways).

here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
record=$here/record.txt
standins=$root/review/bin/standins
trouble=${TROUBLE:-1}
started=()
gateways=()
ports=()
backends=()
only_first=()

cannot_run() {
  echo "cannot run: $1" >&2
  exit 2
}

end_all() {
  local process
  exec 2>/dev/null  # the shell names each process that it finds killed
  for process in "${started[@]}"; do
    kill -CONT "$process" 2>/dev/null
    kill -KILL "$process" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$folder"
}

say() {
  printf '%9.1f %s\n' "$(( ($(monotonic_ns) - t0) / 1000000 ))" "$1" >>"$record"
}

# The stand-ins' clock.
monotonic_ns() { "$standins" now; }

# start_standin NAME OPTIONS...: starts one that listens, and sets `port`.
start_standin() {
  local name=$1
  shift
  "$standins" "$@" --t0 "$t0" --record "$record" --port-file "$folder/$name.port" &
  started+=("$!")
  local tries
  for tries in $(seq 100); do
    [ -s "$folder/$name.port" ] && break
    sleep 0.05
  done
  [ -s "$folder/$name.port" ] || cannot_run "$name does not listen (tried $tries times)"
  port=$(cat "$folder/$name.port")
}

# begin: the temporary folder and the record.
begin() {
  [ -x "$root/build/lemonchute" ] || cannot_run "build/lemonchute is missing: build as in deploy/balancer.toml"
  [ -x "$standins" ] || cannot_run "the stand-ins are missing: run review/build.sh"
  folder=$(mktemp -d)
  trap end_all EXIT
  t0=$(monotonic_ns)
  : >"$record"
  say "begin, TROUBLE=$trouble"
}

# write_config NUMBER COUNT: the configuration of one gateway, in the form of the page on deployment.
write_config() {
  local number=$1 count=$2 peers='' other
  for other in $(seq 0 $((count - 1))); do
    peers+="${peers:+,}\"127.0.0.1:${peer_ports[$other]}\""
  done
  cat >"$folder/config-$number.json" <<END
{"name":"n$number","listen":"127.0.0.1:${ports[$number]}","discovery":"127.0.0.1:$discovery_port",
 "seed":"$(printf '%016x' $((RANDOM * 32768 + RANDOM + 1)))",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "peer_listen":"127.0.0.1:${peer_ports[$number]}","peers":[$peers],"peers_all":"127.0.0.1:${peer_ports[$count]}",
 "counter":"127.0.0.1:$counter_port",
 "known":{"index":1,"snapshot":true,"endpoints":$(cat "$folder/list.json")},
 "settings":{"me":$number,"peers-total":$count,"zone":0,"zones":["hall-a"],"kinds":["std"],"layers":["view"],"tier":0,
  "workload":"gate","weights":"none","resolution-s":0.004,"discovery":"pushed",
  "client-habits":{"marks-retry":true},
  "load-info":{"how":"probe","columns":["depth","concurrent","tps"]},
  "limits":{"cancel":true,"parallel-tries":true,"probes":true,"may-tell":true,"retry-after":true,"max-retry-after-s":2.0,
   "try-limit":3,"conn-idle-s":30.0,"connect-timeout-s":0.25,"max-open":20000,"streams-per-conn":32,
   "cpu-us-per-request":0.0,"cpu-us-per-s":500000},
  "invariants":{"ask-within-s":10.0,"cold-from":0.24,"drain-grace-s":1.0,"grace-to-answer-s":0.016,"tip-after-s":1.5,
   "tip-multiple":2.5,"warm-after-s":18.0},
  "objective-mix":{"whole":0.6,"worst-class":0.0,"worst-tenant":0.3,"worst-window":0.1},
  "prices":{"connection":0.0,"cross-zone":0.005,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.0,
   "origin":0.0,"peer":0.02,"probe":0.01,"waste":0.08},
  "specifics":{"counter-price":0.02,"counter-timeout-s":0.03,"may-count":true,"meter-period-s":0.0,
   "peer-in-per-s":60.0,"trued-up":true,"units-top":6},
  "request-classes":[
   {"name":"view","effect":"free","aim-s":1.2,"hard-limit-s":3.0,"window-s":5.0,"importance":1.0,"late-share":0.0,
    "dedup-scope":"all","streamed":false},
   {"name":"post","effect":"single_shot","aim-s":1.2,"hard-limit-s":3.0,"window-s":5.0,"importance":1.0,
    "late-share":0.0,"dedup-scope":"all","streamed":false}],
  "tiers-of-service":[
   {"name":"standard","units-per-s":40.0,"store-size":80.0,"never-over-rate":0.0,"ceiling-burst":0.0,"cap-slack":0.0,
    "excess-worth":0.0,"over-cost":0.6,"value-factor":1.0,"parallel":0}]}}
END
}

# start_site GATEWAYS BACKENDS BACKEND_OPTIONS...: discovery, the counter, the backends and the gateways.
# The options in the array `only_first` go to the first backend alone.
start_site() {
  local gateway_count=$1 backend_count=$2 number entries='' run free
  shift 2
  for number in $(seq "$backend_count"); do
    local more=()
    [ "$number" -eq 1 ] && more=("${only_first[@]}")
    start_standin "s-$number" backend --name "s-$number" "$@" "${more[@]}"
    backends+=("${started[-1]}")
    entries+="${entries:+,}{\"name\":\"s-$number\",\"address\":\"127.0.0.1:$port\",\"zone\":\"hall-a\",\"type\":\"std\","
    entries+="\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}"
  done
  echo "[$entries]" >"$folder/list.json"
  start_standin discovery discovery --list "$folder/list.json"
  discovery_port=$port
  start_standin counter counter
  counter_port=$port
  mapfile -t free < <("$standins" ports $((2 * gateway_count + 1)))
  ports=("${free[@]:0:gateway_count}")
  peer_ports=("${free[@]:gateway_count}")
  run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
  for number in $(seq 0 $((gateway_count - 1))); do
    write_config "$number" "$gateway_count"
    mkdir "$folder/tmp-$number"
    (cd "$root" && LB_NAME="n$number" LB_LISTEN="127.0.0.1:${ports[number]}" LB_DISCOVERY="127.0.0.1:$discovery_port" \
      LB_CONFIG="$folder/config-$number.json" TMPDIR="$folder/tmp-$number" exec /bin/sh -c "$run") \
      >"$folder/gateway-$number.log" 2>&1 &
    gateways+=("$!")
    started+=("$!")
  done
  for number in $(seq 0 $((gateway_count - 1))); do
    await_ready "${ports[$number]}" || cannot_run "gateway n$number is not ready: $(cat "$folder/gateway-$number.log")"
  done
  say "ready: $gateway_count gateways, $backend_count backends"
}

# await_ready PORT: the front's question, for 10 s.
await_ready() {
  local line
  for _ in $(seq 100); do
    if { exec 9<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null; then
      printf 'GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n' >&9
      line=
      read -r -t 2 line <&9
      exec 9>&-
      [[ $line == *" 200 "* ]] && return 0
    fi
    sleep 0.1
  done
  return 1
}

# clients WHAT OPTIONS...: runs the clients to their end; their exit status.
clients() {
  "$standins" "$1" --t0 "$t0" --record "$record" --gateways "${ports[*]}" --spread "${#ports[@]}" "${@:2}"
}

# count_ended: sets `ended`, how many gateways have ended by themselves, and writes each of them into the record.
count_ended() {
  local number
  ended=0
  for number in "${!gateways[@]}"; do
    kill -0 "${gateways[$number]}" 2>/dev/null && continue
    wait "${gateways[$number]}"
    say "gateway n$number has ended by itself, exit status $?; its last line: $(tail -n 1 "$folder/gateway-$number.log")"
    ended=$((ended + 1))
  done
}
