# Shared by the scripts of review/11 to review/15: a small deployment on loopback addresses. Sourced with $here set to the
# case's folder.
rig=target/review-3
if [ ! -x target/parsleyvaned ] || [ ! -x "$rig/store" ]; then
    echo "build first: fleetbench build, review/build-3.sh"
    exit 2
fi
work="$(mktemp -d)"
record="$here/record.txt"
: > "$record"
started=()
declare -A pid
cleanup() {
    for process in "${started[@]}"; do kill -KILL "$process" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap cleanup EXIT
base=$((20000 + RANDOM % 10000))
store="127.0.0.1:$base"

# The platform's store, with the configuration that the operator wrote: two routes to the service `app`.
start_store() {
    "$rig/store" --listen="$store" --record="$record" & started+=($!)
    sleep 0.3
    cat > "$work/config.json" <<JSON
{"version":7,"routes":[{"name":"r-1","host":"app.example","prefix":"/look/","kind":"idempotent","timeout_ms":800,
"target_latency_ms":150,"priority":2,"service":"app","max_attempts":2,"public":false,"sticky":false},
{"name":"r-2","host":"app.example","prefix":"/deposit/","kind":"non_idempotent","timeout_ms":800,
"target_latency_ms":150,"priority":2,"service":"app","max_attempts":1,"public":false,"sticky":false}],
"services":[{"name":"app","health_check_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t-1","api_keys":["key-1"],"priority":1}]}
JSON
    "$rig/put" --store="$store" --table=op --key=config --file="$work/config.json" || exit 2
}

# start_server NUMBER [FLAG...]
start_server() {
    local n=$1
    shift
    "$rig/server" --listen="127.0.0.1:$((base + 10 + n))" --store="$store" --service=app --id="i-$n" --zone=zone-a \
        --slots=6 --work-ms=30 --record="$record" "$@" & started+=($!)
    pid[server-$n]=$!
}

# settings NUMBER [DRAIN_MS]: what deploy/parsleyvaned.ini gives for an instance of this deployment.
settings() {
    cat > "$work/$1.new" <<INI
[instance]
id = edge-zone-a-$1
zone = zone-a
front = ingress
processor-share = 0.25

[zones]
zone-a = region-a

[listen]
callers = $(callers "$1")
operators = 127.0.0.1:$((base + 30 + $1))
peers = 127.0.0.1:$((base + 40 + $1))

[platform]
address = $store
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout

[limits]
least-confidence = 60

[bounds]
change-ms = 2000
leaving-ms = ${2:-2000}
evidence-ms = 5000
stable-ms = 3000
grace-s = 8
repeat-ratio = 0.9
repeat-window-s = 10
repeat-slack = 52
expose-share = 0.15
session-s = 5
INI
    mv "$work/$1.new" "$work/$1.ini"
}

# callers NUMBER: the address at which an instance takes requests.
callers() {
    echo "127.0.0.1:$((base + 20 + $1))"
}

start_instance() {
    target/parsleyvaned --settings="$work/$1.ini" > "$work/$1.log" 2>&1 & started+=($!)
    pid[instance-$1]=$!
}

# ask INSTANCE PREFIX [FLAG...]: requests of a client; prints how many got a whole answer.
ask() {
    local n=$1 prefix=$2
    shift 2
    "$rig/caller" --to="$(callers "$n")" --host=app.example --key=key-1 --prefix="$prefix" --record="$record" "$@"
}
