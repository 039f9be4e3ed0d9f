# Functions of the scripts: they start a small deployment on loopback and end it again. Sourced by run.sh.
# Needs: case_dir (the case's folder). Sets: work (temporary folder), record, standin, and the arrays below.
set -uo pipefail
root=$(cd "$case_dir/../.." && pwd)
standin=$root/target/review/standin
daemon=$root/target/parsleyvaned
work=$(mktemp -d)
record=$work/record
zones=(zone-a zone-b zone-c)
server_pids=()
router_pids=()
other_pids=()

finish() {
    local pid
    for pid in "${router_pids[@]:-}" "${other_pids[@]:-}"; do
        [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
    done
    for pid in "${server_pids[@]:-}"; do
        [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -f "$record" ] && sort -n -s -k1,1 "$record" >"$case_dir/record.txt"
    rm -rf "$work"
}

give_up() {
    echo "cannot run: $1" >&2
    finish
    exit 2
}

note() {
    echo "$(date +%s%3N) $1" >>"$record"
}

# start_deployment SERVERS ROUTERS OPTIONS_OF_THE_SERVERS...
start_deployment() {
    local servers=$1 routers=$2
    shift 2
    [ -x "$standin" ] && [ -x "$daemon" ] || give_up "the deploy file's build or review/build.sh is missing"
    router_count=$routers
    read -r -a ports <<<"$("$standin" ports --count=$((2 + servers + 3 * routers)))"
    store=127.0.0.1:${ports[0]}
    : >"$record"
    "$standin" store --listen="$store" >/dev/null &
    other_pids+=($!)
    store_path=$store
    if [ "${with_path:-no}" = yes ]; then
        # The machines reach the store by a path that a script can cut.
        store_path=127.0.0.1:${ports[1 + servers + 3 * routers]}
        "$standin" path --listen="$store_path" --to="$store" >/dev/null &
        path_pid=$!
        other_pids+=("$path_pid")
    fi
    sleep 0.3
    write_config 1 || give_up "the store does not answer"
    local at
    for ((at = 0; at < servers; ++at)); do
        "$standin" server --store="$store" --listen="127.0.0.1:${ports[1 + at]}" --service=models --name="$at" \
            --zone="${zones[at % 3]}" --record="$record" "$@" >/dev/null &
        server_pids+=($!)
    done
    fronts=() readies=()
    local base=$((1 + servers))
    for ((at = 0; at < routers; ++at)); do
        fronts+=("127.0.0.1:${ports[base + 3 * at]}")
        readies+=("127.0.0.1:${ports[base + 3 * at + 1]}")
        write_settings "$at" "${ports[base + 3 * at + 2]}" "first-start = yes"
    done
    for ((at = 0; at < routers; ++at)); do
        start_router "$at"
    done
    sleep 3
}

# The settings file that the platform makes of deploy/parsleyvaned.ini, with the bounds of a small site.
write_settings() {
    peers[$1]=$2
    cat >"$work/router-$1.ini" <<EOF
[instance]
id = edge-$1
zone = ${zones[$1 % 3]}
front = ingress
processor-share = 0.25
$3

[zones]
zone-a = region
zone-b = region
zone-c = region

[listen]
callers = ${fronts[$1]}
operators = ${readies[$1]}
peers = 127.0.0.1:$2

[platform]
address = $store_path

[limits]
least-confidence = 60

[bounds]
change-ms = 2000
leaving-ms = 2000
evidence-ms = 5000
stable-ms = 3000
grace-s = 8
repeat-ratio = 0.9
repeat-window-s = 10
repeat-slack = 54
expose-share = 0.15
session-s = 5
EOF
}

start_router() {
    (cd "$root" && exec target/parsleyvaned --settings="$work/router-$1.ini") >>"$work/router-$1.log" 2>&1 &
    router_pids[$1]=$!
}

# All processes of the system are killed at the same moment and restarted after a short delay.
kill_all_routers() {
    local at
    for ((at = 0; at < router_count; ++at)); do
        kill -KILL "${router_pids[at]}" 2>/dev/null
    done
    note "final fault"
    sleep "$1"
    for ((at = 0; at < router_count; ++at)); do
        write_settings "$at" "${peers[at]}" ""
        start_router "$at"
    done
    note "machines back"
}

# write_config VERSION: the operator writes a configuration; the store's answer confirms it.
write_config() {
    cat >"$work/config.json" <<EOF
{"version":$1,"routes":[{"name":"r-report","host":"review.example","prefix":"/report/","kind":"streaming",
"timeout_ms":25000,"target_latency_ms":4000,"priority":1,"service":"models","max_attempts":3,"public":false,
"sticky":true,"stream_resume":true,"gap_aim_ms":2000}],
"services":[{"name":"models","health_check_path":"/health","max_connections":360}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-1"]}]}
EOF
    "$standin" operator --store="$store" --file="$work/config.json" --record="$record"
}

start_client() {
    local IFS=,
    "$standin" client --fronts="${fronts[*]}" --readies="${readies[*]}" --record="$record" "$@" &
    client_pid=$!
    other_pids+=("$client_pid")
}
