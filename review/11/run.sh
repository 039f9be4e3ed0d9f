#!/usr/bin/env bash
# Clients upload bodies under `Transfer-Encoding: chunked, chunked`; half of the bodies are the text of an HTTP request.
# Exits 1 if a server runs a request that stood in a body, or gets another body, 0 if not, 2 if the case could not run.
# TROUBLE=0 sends the same bodies with `Transfer-Encoding: chunked`.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
here=review/11
. review/standins-3/lib.sh
start_store
for n in 1 2 3; do start_server "$n"; done
for n in 1 2; do settings "$n"; start_instance "$n"; done
sleep 3
trouble="${TROUBLE:-1}"
coding=$([ "$trouble" = 0 ] && echo "chunked" || echo "chunked, chunked")
chunked() { printf '%x\r\n' "$(stat -c %s "$1")"; cat "$1"; printf '\r\n0\r\n\r\n'; }
# send NAME FILE: a request whose body has been coded already
send() {
    {
        printf 'POST /look/x HTTP/1.1\r\nHost: app.example\r\nX-Parsleyvane-Attempt-Id: %s\r\n' "$1"
        printf 'X-Parsleyvane-Deadline-Ms: 1500\r\nX-Parsleyvane-Credential: key-1\r\n'
        printf 'Transfer-Encoding: %s\r\n\r\n' "$coding"
        cat "$2"
    } > "$work/bytes"
    "$rig/raw" --to="$(callers $((1 + k % 2)))" --file="$work/bytes" --name="$1" --wait-ms=800 --record="$record"
}
for k in 1 2 3 4 5; do
    # A body of 100 bytes, coded as the head says.
    printf '%0100d' "$k" > "$work/plain"
    chunked "$work/plain" > "$work/once"
    chunked "$work/once" > "$work/twice"
    send "coded-$k" "$([ "$trouble" = 0 ] && echo "$work/once" || echo "$work/twice")"
    # A body with the text of a request.
    {
        printf 'POST /deposit/x HTTP/1.1\r\nHost: app.example\r\nX-Parsleyvane-Attempt-Id: inner-%s\r\n' "$k"
        printf 'X-Parsleyvane-Deadline-Ms: 1500\r\nX-Parsleyvane-Credential: key-1\r\nContent-Length: 0\r\n\r\n'
    } > "$work/text"
    chunked "$work/text" > "$work/once"
    send "outer-$k" "$([ "$trouble" = 0 ] && echo "$work/once" || echo "$work/text")"
done
outer=$(grep -c " run outer-" "$record")
inner=$(grep -c " run inner-" "$record")
coded=$(grep -c " run coded-" "$record")
changed=$(grep " run coded-" "$record" | grep -vc "bytes=100 ")
echo "5 bodies with a request in them: servers ran $outer of these requests, and $inner that stood in a body" \
    | tee -a "$record"
echo "5 bodies of 100 bytes: servers ran $coded of these requests, $changed of them with another body" | tee -a "$record"
if [ "$inner" -gt 0 ] || [ "$changed" -gt 0 ]; then echo "broken"; exit 1; fi
[ "$trouble" = 0 ] && [ "$((outer + coded))" -ne 10 ] && { echo "the control did not run"; exit 2; }
echo "held"
exit 0
