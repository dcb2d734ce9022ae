# Functions that start, check and stop the processes of a small fleet on loopback.
#
# The caller sets `bin` (directory of the binaries) and `dir` (temporary directory).
# shellcheck shell=bash disable=SC2154

names=() pids=() router_flags=() operator_flags=() operators=()
revision=0

# name, kind, data centre and pool of each target
targets=("llm-1 engine dc1 llm" "llm-2 engine dc2 llm"
    "desk-1 service dc1 desk" "desk-2 service dc2 desk")
routers=("router-1 dc1" "router-2 dc2")

next_port=$((20000 + RANDOM % 10000))

# Sets `port` to a free loopback port. The random start makes collisions between demos unlikely.
pick_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
        next_port=$((next_port + 1))
    done
    port=$next_port
    next_port=$((next_port + 1))
}

# start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
    names+=("$name")
    pids+=($!)
}

# Waits for the line `listening ADDR` of a stand-in and sets `address`.
await_address() {
    for _ in {1..100}; do
        address=$(awk '/^listening /{print $2}' "$dir/$1.out" 2>/dev/null || true)
        [[ -n $address ]] && return 0
        sleep 0.05
    done
    echo "$1 did not start listening" >&2
    return 1
}

# http METHOD ADDR PATH [BODY]: prints the response, fails unless the status is 2xx.
# Runs in a subshell because a failed redirection of `exec` exits the shell.
http() (
    body=${4-}
    exec 3<>"/dev/tcp/${2%:*}/${2##*:}"
    printf '%s %s HTTP/1.1\r\nhost: %s\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' \
        "$1" "$3" "$2" "${#body}" "$body" >&3
    response=$(tr -d '\0' <&3)
    exec 3>&-
    printf '%s\n' "$response"
    [[ $response == "HTTP/1.1 2"* ]]
)

start_standins() {
    local name kind centre pool separator=
    start config "$bin/knapweed-standin-config"
    await_address config
    config=$address
    : >"$dir/targets.json"
    for target in "${targets[@]}"; do
        read -r name kind centre pool <<<"$target"
        case $kind in
            engine) start "standin-$name" "$bin/knapweed-standin-engine" --cold 2 --warm 8 --step-micros 4000 ;;
            service) start "standin-$name" "$bin/knapweed-standin-service" --name "$name" --limit 64 ;;
        esac
        await_address "standin-$name"
        printf -v "standin_${name/-/_}" '%s' "$address"
        printf '%s{"name":"%s","data_centre":"%s","kind":"%s","address":"%s"}' \
            "${separator:-[}" "$name" "$centre" "$kind" "$address" >>"$dir/targets.json"
        separator=,
    done
    echo "]" >>"$dir/targets.json"
}

# Writes the rules and the settings files of all daemons.
write_rules() {
    local name kind centre pool standin data control operator vms= mix
    {
        echo "data-centre dc1  # asked by: operations"
        echo "data-centre dc2  # asked by: operations"
        echo "pool llm kind model cold 2 max 8  # asked by: operations"
        echo "pool desk kind service cold 8 max 32  # asked by: operations"
    } >"$dir/body.kw"
    for target in "${targets[@]}"; do
        read -r name kind centre pool <<<"$target"
        standin=standin_${name/-/_}
        pick_port && data=127.0.0.1:$port
        pick_port && control=127.0.0.1:$port
        pick_port && operator=127.0.0.1:$port
        echo "target $name pool $pool data-centre $centre data $data control $control  # asked by: operations" \
            >>"$dir/body.kw"
        settings "$name" "$centre" "$data" "$control" "$operator" "target: http://${!standin}"
        vms+="${vms:+,}{\"name\":\"$name\",\"role\":\"agent\",\"data_centre\":\"$centre\",\"control\":\"$control\",\"state\":\"live\"}"
    done
    for router in "${routers[@]}"; do
        read -r name centre <<<"$router"
        pick_port && data=127.0.0.1:$port
        pick_port && control=127.0.0.1:$port
        pick_port && operator=127.0.0.1:$port
        settings "$name" "$centre" "$data" "$control" "$operator" ""
        vms+=",{\"name\":\"$name\",\"role\":\"router\",\"data_centre\":\"$centre\",\"control\":\"$control\",\"state\":\"live\"}"
        router_flags+=(--router "$data")
    done
    {
        for mix in halvorsen skogssparbarhetsverket; do
            "$bin/knapweed-load" --team-rules --mix "$mix"
        done
        echo "route chat POST /v1/chat/completions pool llm idempotent cost 40  # asked by: operations"
        echo "route book POST /v1/bookings pool desk once cost 1  # asked by: order desk"
        echo "route find POST /v1/findings pool desk once cost 1  # asked by: findings"
        echo "route stock GET /v1/stock/* pool desk idempotent cost 1  # asked by: order desk"
        echo "route certificate GET /v1/certificates/* pool desk idempotent cost 1  # asked by: registry"
    } >>"$dir/body.kw"
    http PUT "$config" /test/values/vms "[$vms]" >/dev/null
}

# settings NAME DATA-CENTRE LISTEN CONTROL OPERATORS EXTRA-LINE
settings() {
    cat >"$dir/$1.yaml" <<YAML
name: $1
data_centre: $2
listen: $3
control: $4
operators: $5
service:
  - http://$config
$6
YAML
    operators+=("$5")
    operator_flags+=(--operators "$5")
}

# document REVISION [EXTRA-RULE]: prints a whole rules document.
document() {
    echo "revision $1  # asked by: operations"
    cat "$dir/body.kw"
    [[ -z ${2-} ]] || echo "$2  # asked by: operations"
    echo "end  # asked by: operations"
}

publish_rules() {
    revision=$1
    http PUT "$config" /test/values/rules "$(document "$1")" >/dev/null
}

start_daemons() {
    local name
    for target in "${targets[@]}"; do
        name=${target%% *}
        start "$name" "$bin/knapweed-agent" --settings "$dir/$name.yaml"
    done
    for router in "${routers[@]}"; do
        name=${router%% *}
        start "$name" "$bin/knapweed-router" --settings "$dir/$name.yaml"
    done
}

wait_ready() {
    local operator tries
    for operator in "${operators[@]}"; do
        for tries in {1..150}; do
            http GET "$operator" /ready >"$dir/ready.out" 2>/dev/null && break
            sleep 0.1
        done
        if ((tries == 150)); then
            echo "$operator is not ready: $(tail -n 1 "$dir/ready.out")" >&2
            return 1
        fi
    done
}

# Writes the events of a load: dc2 is drained after 25% of the load and undrained after 85%.
write_events() {
    local out=$((seconds * 250)) back=$((seconds * 850)) drained returned faults=
    drained=$(document $((revision + 1)) "drain data-centre dc2" | json_text)
    returned=$(document $((revision + 2)) | json_text)
    revision=$((revision + 2))
    if [[ -n ${crash-} ]]; then
        faults=$(fault $((seconds * 150)) "llm-1 crashes" "$standin_llm_1" '{"kind":"crash"}' 1)
        faults+=$(fault $((seconds * 200)) "desk-1 drops three answers" "$standin_desk_1" \
            '{"kind":"die-after","times":3}' 0)
    fi
    cat >"$dir/events.json" <<JSON
[$faults{"at_millis":$out,"note":"dc2 drained","method":"PUT","address":"$config","path":"/test/values/rules","body":$drained,"drains":"dc2"},
 {"at_millis":$back,"note":"dc2 undrained","method":"PUT","address":"$config","path":"/test/values/rules","body":$returned,"returns":"dc2"}]
JSON
}

# fault AT-MILLIS NOTE ADDR BODY DEATHS: prints a fault event for a stand-in, followed by a comma.
fault() {
    printf '{"at_millis":%d,"note":"%s","method":"POST","address":"%s","path":"/test/faults","body":%s,"deaths":%d},' \
        "$1" "$2" "$3" "$(json_text <<<"$4")" "$5"
}

# Encodes standard input as a JSON string.
json_text() {
    awk 'BEGIN { printf "\"" } { gsub(/\\/, "\\\\"); gsub(/"/, "\\\""); printf "%s\\n", $0 } END { printf "\"" }'
}

# Stops all processes by id, daemons first; fails if one does not exit cleanly.
stop_all() {
    local at failed=0
    for ((at = ${#pids[@]} - 1; at >= 0; at--)); do
        stop "${names[at]}" "${pids[at]}" || failed=1
    done
    pids=() names=()
    return "$failed"
}

# stop NAME PID
stop() {
    local tries code=0
    kill -TERM "$2" 2>/dev/null || true
    for tries in {1..100}; do
        kill -0 "$2" 2>/dev/null || break
        sleep 0.1
    done
    if ((tries == 100)); then
        kill -KILL "$2" 2>/dev/null || true
    fi
    wait "$2" || code=$?
    if ((code != 0)); then
        echo "$1 exited with code $code" >&2
        tail -n 3 "$dir/$1.log" >&2
        return 1
    fi
}
