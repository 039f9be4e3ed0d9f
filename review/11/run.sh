#!/usr/bin/env bash
# Two instances, each on a machine of 260 MB; clients send requests within max_body_bytes of the configuration.
# Exits 1 if processes end for their memory as the rule counts it, 0 if not, 2 if the case could not run.
# TROUBLE=0 sends as many requests at the same times, with small bodies.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-3
here=review/11
[ -x target/parsleyvaned ] && [ -x "$rig/store" ] || { echo "build first: fleetbench build, review/build-3.sh"; exit 2; }
trouble="${TROUBLE:-1}"
memory_kb=260000 # limits.memory_mb
streams=40       # requests at work at one machine at a time
body=$([ "$trouble" = 0 ] && echo 12000 || echo 4000000) # max_body_bytes is 4194304
work="$(mktemp -d)"
record="$here/record.txt"
: > "$record"
started=()
cleanup() {
    for pid in "${started[@]}"; do kill -KILL "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap cleanup EXIT
base=$((20000 + RANDOM % 10000))
store="127.0.0.1:$base"
"$rig/store" --listen="$store" --record="$record" & started+=($!)
sleep 0.3
cat > "$work/config.json" <<JSON
{"version":7,"routes":[{"name":"r-1","host":"llm.example","prefix":"/report/","kind":"streaming","timeout_ms":25000,
"target_latency_ms":4000,"priority":1,"service":"pool","max_attempts":3,"public":false,"sticky":false,
"stream_resume":true,"gap_aim_ms":2000}],"services":[{"name":"pool","health_check_path":"/health",
"max_connections":290,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t-1","api_keys":["key-1"],"priority":1}]}
JSON
"$rig/put" --store="$store" --table=op --key=config --file="$work/config.json" || exit 2
for n in 1 2 3; do
    "$rig/server" --listen="127.0.0.1:$((base + 10 + n))" --store="$store" --service=pool --id="i-$n" --zone=zone-a \
        --slots=48 --work-ms=20 --events=76 --gap-ms=40 --record="$record" & started+=($!)
done
settings() {
    cat > "$work/$1.ini" <<INI
[instance]
id = edge-$1
zone = zone-a
front = ingress
processor-share = 0.25
first-start = yes

[zones]
zone-a = region-a

[listen]
callers = 127.0.0.1:$((base + 20 + $1))
operators = 127.0.0.1:$((base + 30 + $1))
peers = 127.0.0.1:$((base + 40 + $1))

[platform]
address = $store
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout

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
repeat-slack = 52
expose-share = 0.15
session-s = 5
INI
}
declare -A pid ends peak
start() {
    target/parsleyvaned --settings="$work/$1.ini" > "$work/$1.log" 2>&1 & pid[$1]=$!
    started+=($!)
}
for n in 1 2; do settings "$n"; start "$n"; ends[$n]=0; peak[$n]=0; done
sleep 4
# The platform's part: a process over the limit is killed and started again after a short delay.
watch() {
    local until=$(($(date +%s%3N) + $1)) n rss
    while [ "$(date +%s%3N)" -lt "$until" ]; do
        for n in 1 2; do
            rss=$(awk '/^VmRSS/ { print $2 }' "/proc/${pid[$n]}/status" 2> /dev/null)
            if [ -z "$rss" ]; then echo "instance $n ended by itself"; exit 2; fi
            [ "$rss" -gt "${peak[$n]}" ] && peak[$n]=$rss
            if [ "$rss" -gt "$memory_kb" ]; then
                kill -KILL "${pid[$n]}"; wait "${pid[$n]}" 2> /dev/null
                ends[$n]=$((ends[$n] + 1))
                echo "$(date +%s%3N) instance $n killed at $rss kB" >> "$record"
                sleep 0.5
                start "$n"
            fi
        done
        sleep 0.03
    done
}
for round in 1 2 3; do
    callers=()
    for n in 1 2; do
        "$rig/caller" --to="127.0.0.1:$((base + 20 + n))" --host=llm.example --path=/report/x --key=key-1 \
            --body-bytes="$body" --count="$streams" --gap-ms=60 --prefix="$round$n" --record="$record" \
            > "$work/caller-$round$n" & callers+=($!)
        started+=($!)
    done
    watch 9000
    wait "${callers[@]}"
    for n in 1 2; do
        echo "round $round instance $n: $(cat "$work/caller-$round$n"), most memory so far ${peak[$n]} kB, ends ${ends[$n]}" \
            | tee -a "$record"
    done
    watch 3000
done
if [ "${ends[1]}" -ge 3 ] && [ "${ends[2]}" -ge 3 ]; then
    echo "broken: the processes of both machines ended three times"
    exit 1
fi
echo "held: ends ${ends[1]} and ${ends[2]}"
exit 0
