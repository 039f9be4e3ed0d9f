#!/usr/bin/env bash
# RECOVER: all model servers restart together, once; later all processes of the system are killed and restarted.
case_dir=$(cd "$(dirname "$0")" && pwd)
source "$case_dir/../standins/lib.sh"
trouble=${TROUBLE:-1}
peers=()
start_deployment 6 3 --first-event-ms=300 --events=20 --event-gap-ms=10 --back-ms=3000
start_client --per-second=13 --seconds=52
sleep 13.5
if [ "$trouble" != 0 ]; then
    note "all model servers crash; they are back after 3 s"
    for pid in "${server_pids[@]}"; do
        kill -USR1 "$pid"
    done
fi
sleep 8
write_config 2 || give_up "the configuration was not confirmed"
if [ "$trouble" != 0 ]; then
    kill_all_routers 1
else
    note "final fault"
    note "machines back"
fi
wait "$client_pid"
"$standin" judge-recover --record="$record" --recover-ms=12000
verdict=$?
finish
exit "$verdict"
