# Functions that start and stop the stand-ins and hosts of a small fleet on loopback; sourced by scripts/demo and by hand.
# Uses: BUILD (build folder), WORK (folder for settings and logs). Every process is started and ended by its id.

PIDS=()
declare -A HOST_PID HOST_CALLER HOST_OPERATOR

OPERATOR_CREDENTIAL=demo-operator-credential
PEER_CREDENTIAL=demo-peer-credential

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill "$pid" 2>/dev/null
    done
    # A host that serves a planned stop needs up to 7 s; the rest ends at once.
    for _ in $(seq 1 100); do
        local alive=0
        for pid in "${PIDS[@]}"; do
            kill -0 "$pid" 2>/dev/null && alive=1
        done
        [ "$alive" -eq 0 ] && break
        sleep 0.1
    done
    for pid in "${PIDS[@]}"; do
        kill -9 "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    PIDS=()
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
    local deadline=$(($(date +%s) + $1))
    shift
    until "$@"; do
        if [ "$(date +%s)" -ge "$deadline" ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

# field NAME FILE: the value of key=value in a file, empty if it is not there yet.
field() {
    sed -nE "s/.*[ ]$1=([^ ]+).*/\1/p" "$2" 2>/dev/null | head -n 1
}

has_field() {
    [ -n "$(field "$1" "$2")" ]
}

# start_standin NAME PROGRAM ARGUMENTS...: sets ADDRESS.
start_standin() {
    local name=$1
    shift
    "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
    PIDS+=($!)
    wait_for 10 has_field address "$WORK/$name.out" || return 1
    ADDRESS=$(field address "$WORK/$name.out")
}

platform_settings() {
    printf '{"tableAddress": "%s", "objectAddress": "%s", "hostListAddress": "%s"}' "$PLATFORM" "$PLATFORM" "$PLATFORM"
}

# start_host ID DOMAIN: starts a host and waits for its ports.
start_host() {
    local id=$1 domain=$2
    cat >"$WORK/$id.json" <<SETTINGS
{
    "id": "$id",
    "failureDomain": "$domain",
    "callerAddress": "127.0.0.1:0",
    "peerAddress": "127.0.0.1:0",
    "operatorAddress": "127.0.0.1:0",
    "peerCredential": "$PEER_CREDENTIAL",
    "operatorCredential": "$OPERATOR_CREDENTIAL",
    "platform": $(platform_settings),
    "shardCount": ${SHARDS:-16},
    "logLevel": "${LOG_LEVEL:-info}",
    "spanOutput": "${SPAN_OUTPUT:-}",
    "allowLinkFaults": true
}
SETTINGS
    "$BUILD/apps/rhubarbtiller/rhubarbtiller" --settings="$WORK/$id.json" >"$WORK/$id.out" 2>"$WORK/$id.log" &
    HOST_PID[$id]=$!
    PIDS+=($!)
    wait_for 10 has_field operator "$WORK/$id.log" || return 1
    HOST_CALLER[$id]=$(field caller "$WORK/$id.log")
    HOST_OPERATOR[$id]=$(field operator "$WORK/$id.log")
}

host_state() {
    curl -s -m 2 -H "Authorization: Bearer $OPERATOR_CREDENTIAL" "http://${HOST_OPERATOR[$1]}/state"
}

# is_serving ID: the host is in the roster and its knowledge is current.
is_serving() {
    [ "$(host_state "$1" | jq -r '.listed and .phase == "serving" and .freshForMs > 0' 2>/dev/null)" = true ]
}

# all_shards_owned: each shard has exactly one owner over all hosts.
all_shards_owned() {
    local id
    for id in "${!HOST_PID[@]}"; do
        host_state "$id" | jq '.shards[] | select(.owned) | .shard' 2>/dev/null
    done | sort -n | uniq -c | awk -v wanted="${SHARDS:-16}" '$1 == 1 {n++} END {exit n == wanted ? 0 : 1}'
}

write_operator_settings() {
    cat >"$WORK/ctl.json" <<SETTINGS
{"operatorCredential": "$OPERATOR_CREDENTIAL", "author": "${1:-demo}", "platform": $(platform_settings)}
SETTINGS
}

ctl() {
    "$BUILD/apps/rhubarbtillerctl/rhubarbtillerctl" --settings="$WORK/ctl.json" "$@"
}

# addresses KEY: the addresses that a caller with this key should use, one a line, asked from any host.
addresses() {
    local id
    for id in "${!HOST_CALLER[@]}"; do
        curl -s -m 2 -H "X-Api-Key: $1" "http://${HOST_CALLER[$id]}/.well-known/rhubarbtiller/addresses" | jq -re '.addresses[].address' && return 0
    done
    return 1
}
