#!/usr/bin/env bash
# Runs the whole request path in separate processes: stand-ins, three daemons in three failure domains,
# operators and callers. Each step prints the expected and the actual result. Ends every process it started.
set -uo pipefail
build=$(cd "${1:-build}" && pwd)
work=$(mktemp -d)
pids=()
failures=0

finish() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
	rm -rf "$work"
}
trap finish EXIT

# start NAME PROGRAM ARGS...: starts a program; its output goes to $work/NAME.out.
start() {
	local name=$1
	shift
	"$build/$1" "${@:2}" >"$work/$name.out" 2>"$work/$name.err" &
	pids+=($!)
	eval "pid_$name=$!"
}

# await NAME: waits for the line "listening IP:PORT" and prints the port.
await() {
	local n=0 line
	while ! line=$(grep -m1 '^listening' "$work/$1.out" 2>/dev/null); do
		n=$((n + 1))
		[ $n -gt 200 ] && { echo "demo: $1 didn't start" >&2; cat "$work/$1.err" >&2; exit 1; }
		sleep 0.05
	done
	sed -E 's/^listening [0-9.]+:([0-9]+).*/\1/' <<<"$line"
}

# check WHAT EXPECTED GOT: compares by extended regular expression.
check() {
	if grep -qE -- "$2" <<<"$3"; then
		printf 'ok    %-58s expected %-22s got %s\n' "$1" "$2" "$(head -c 60 <<<"$3" | tr '\n' ' ')"
	else
		printf 'FAIL  %-58s expected %-22s got %s\n' "$1" "$2" "$(head -c 300 <<<"$3" | tr '\n' ' ')"
		failures=$((failures + 1))
	fi
}

start kv standin_kv
start list standin_list
start rater standin_rater
for i in 1 2 3; do
	start "small$i" standin_engine --name "small$i" --serves small/1 --slots 8 --token-us 500 \
		--first-token-us 2000 --quality-permille 700 --seed "$i"
	start "large$i" standin_engine --name "large$i" --serves large/1 --serves large/2 --serves drafts/1 --slots 8 \
		--token-us 1000 --first-token-us 4000 --seed "$i"
done
start booking standin_service --name booking
kv=$(await kv) list=$(await list) rater=$(await rater) booking=$(await booking)
domains=(x haarlem zaandam hoofddorp)

instances=""
for i in 1 2 3; do
	eval "small$i=$(await "small$i") large$i=$(await "large$i")"
	instances="$instances{\"name\":\"entry$i\",\"ip\":\"127.0.0.1\",\"port\":1,\"failure_domain\":\"${domains[i]}\",\"role\":\"entry\",\"state\":\"live\"},"
	for kind in small large; do
		eval "port=\$$kind$i"
		instances="$instances{\"name\":\"$kind$i\",\"ip\":\"127.0.0.1\",\"port\":$port,\"failure_domain\":\"${domains[i]}\",\"role\":\"engine\",\"state\":\"live\"},"
	done
done
instances="$instances{\"name\":\"booking\",\"ip\":\"127.0.0.1\",\"port\":$booking,\"failure_domain\":\"haarlem\",\"role\":\"service\",\"state\":\"live\"}"
curl -s -X POST "http://127.0.0.1:$list/admin/set" -d "{\"instances\":[$instances]}" >/dev/null

operator_key=demo-operator
export WHARF_OPERATOR_KEY=$operator_key
operator_hash=$("$build/wharfctl" hash-key $operator_key)
caller_hash=$("$build/wharfctl" hash-key demo-caller)
seeds=""
for i in 1 2 3; do
	cat >"$work/entry$i.json" <<EOF
{
	// Settings of one entry instance of the demonstration.
	"instance": "entry$i", "failure_domain": "${domains[i]}", "ip": "127.0.0.1",
	"caller_port": 0, "operator_port": 0, "peer_port": 0,
	"seeds": [$seeds], "store": ["127.0.0.1:$kv"],
	"instance_list": "127.0.0.1:$list", "rater": "127.0.0.1:$rater",
	"cluster_key": "$(printf '%064d' 7)", "operator_key_hash": "$operator_hash",
	"log_file": "$work/entry$i.jsonl", "log_level": "debug", "report_period_ms": 100
}
EOF
	check "settings of entry$i" "are good" \
		"$("$build/dragonflywharfd" --settings "$work/entry$i.json" --check-settings 2>&1)"
	start "entry$i" dragonflywharfd --settings "$work/entry$i.json"
	eval "caller$i=$(await "entry$i")"
	eval "operator$i=$(sed -nE 's/.*operators ([0-9]+).*/\1/p' "$work/entry$i.out")"
	peer=$(sed -nE 's/.*peers ([0-9]+).*/\1/p' "$work/entry$i.out")
	seeds="$seeds${seeds:+, }\"127.0.0.1:$peer\""
done
ctl() { "$build/wharfctl" --server "127.0.0.1:$operator1" "$@" 2>&1; }
chat() { # chat PORT BODY [CURL ARGS...]
	curl -s -m 20 -X POST "http://127.0.0.1:$1/v1/chat/completions" -d "$2" \
		-H 'authorization: Bearer demo-caller' -H 'content-type: application/json' "${@:3}"
}
plain='{"model":"large","messages":[{"role":"user","content":"a slate roof"}],"max_tokens":16}'
streamed='{"model":"large","stream":true,"messages":[{"role":"user","content":"a dormer"}],"max_tokens":16}'
cheap='{"model":"drafts","messages":[{"role":"user","content":"ridge tiles"}],"max_tokens":16}'

check "before any configuration a call is refused, not run" 'no_configuration.*"not_run":true' \
	"$(chat "$caller1" "$plain")"

{
	echo '{"entities": ['
	for i in 1 2 3; do
		echo "{\"failure_domain\":{\"name\":\"${domains[i]}\"}},"
		for kind in small large; do
			eval "port=\$$kind$i"
			serves='"small/1"'
			[ $kind = large ] && serves='"large/1","large/2","drafts/1"'
			echo "{\"upstream\":{\"name\":\"$kind$i\",\"ip\":\"127.0.0.1\",\"port\":$port,\"failure_domain\":\"${domains[i]}\",\"serves\":[$serves],\"limit\":8,\"cold_limit\":2,\"cold_period_ms\":200}},"
		done
	done
	cat <<EOF
	{"upstream":{"name":"booking","kind":"UPSTREAM_SERVICE","ip":"127.0.0.1","port":$booking,
		"failure_domain":"haarlem","service":"booking","limit":8,"cold_limit":8}},
	{"service":{"name":"booking","idempotent_paths":["/slots"]}},
	{"model":{"name":"small","quality_target_permille":600}},
	{"model":{"name":"large","quality_target_permille":600}},
	{"model":{"name":"drafts","cascade":["small"],"quality_target_permille":600}},
	{"version":{"model":"small","name":"1","rollout_weight":1,"cost_micros_per_1k_tokens":20000}},
	{"version":{"model":"large","name":"1","rollout_weight":1,"cost_micros_per_1k_tokens":1000}},
	{"version":{"model":"large","name":"2","rollout_weight":0,"cost_micros_per_1k_tokens":1000}},
	{"version":{"model":"drafts","name":"1","rollout_weight":1,"cost_micros_per_1k_tokens":2000000}},
	{"organisation":{"name":"haarlemmerland","key_hashes":["$caller_hash"],
		"allowed":["large","drafts","small"],"allowed_services":["booking"]}}
]}
EOF
} >"$work/config.json"
check "an operator applies the configuration" "organisation/haarlemmerland: done" \
	"$(ctl apply "$work/config.json")"
revision=$(ctl --json list | sed -nE 's/.*"applied_revision": ?([0-9]+).*/\1/p')
check "it is in force on all members" "in force on all" "$(ctl wait "$revision")"
for i in 1 2 3; do
	eval "port=\$caller$i"
	for _ in $(seq 100); do chat "$port" "$plain" | grep -q choices && break; sleep 0.05; done
done

check "a plain chat call" '"choices"' "$(chat "$caller1" "$plain")"
check "a streamed chat call ends with its marker" '\[DONE\]' "$(chat "$caller2" "$streamed")"
check "an unknown bearer key" 'unauthenticated.*"not_run":true' \
	"$(curl -s -X POST "http://127.0.0.1:$caller1/v1/chat/completions" -d "$plain")"
check "malformed JSON" 'invalid_argument.*"not_run":true' "$(chat "$caller1" '{"model":')"
check "a model that does not exist" 'not_found' "$(chat "$caller1" '{"model":"none","messages":[{"role":"user"}]}')"

token=$(chat "$caller1" "$plain" -D - -o /dev/null | tr -d '\r' | sed -nE 's/^x-session-token: //p')
ctl weight large/2 100 >/dev/null
ctl weight large/1 0 >/dev/null
revision=$(ctl --json list version/ | sed -nE 's/.*"applied_revision": ?([0-9]+).*/\1/p')
ctl wait "$revision" >/dev/null
check "a new session gets the rolled-out version" 'x-served-version: large/2' \
	"$(chat "$caller2" "$plain" -D - -o /dev/null)"
check "an old session keeps its version, on another instance" 'x-served-version: large/1' \
	"$(chat "$caller3" "$plain" -D - -o /dev/null -H "x-session-token: $token")"

check "a cascade answers" '"choices"' "$(chat "$caller1" "$cheap")"
for i in $(seq 10); do
	chat "$caller1" "${cheap/ridge/ridge $i}" -D - -o /dev/null
done >"$work/cascade.txt"
check "a cheap model served some of the cascade" 'x-served-version: small/1' "$(cat "$work/cascade.txt")"

book() { # book PORT KEY
	curl -s -m 10 -X POST "http://127.0.0.1:$1/services/booking/reserve" -d '{"slot":9}' \
		-H 'authorization: Bearer demo-caller' -H 'content-type: application/json' \
		${2:+-H "idempotency-key: $2"}
}
check "a booking without an idempotency key" 'invalid_argument.*"not_run":true' "$(book "$caller1" "")"
check "a booking" 'slot|name|booking|executed' "$(book "$caller1" crew-1)"
book "$caller2" crew-1 >/dev/null
check "the same booking through another instance ran once" '"executions": ?1[^0-9]|: ?1[,}]' \
	"$(curl -s "http://127.0.0.1:$booking/admin/stats")"

(for i in $(seq 60); do chat "$caller2" "${plain/slate/slate $i}" | grep -q choices || echo lost; done) >"$work/traffic.txt" &
traffic=$!
check "a failure domain is drained under traffic" 'done' "$(ctl drain zaandam)"
sleep 0.3
before=$(curl -s "http://127.0.0.1:$large2/admin/stats")
sleep 0.3
check "the drained domain's engine gets nothing new" "^same$" \
	"$([ "$(curl -s "http://127.0.0.1:$large2/admin/stats")" = "$before" ] && echo same || echo "$before")"
check "it comes back" 'done' "$(ctl restore zaandam)"
wait $traffic
check "no request was lost meanwhile" '^none$' "$(cat "$work/traffic.txt"; [ -s "$work/traffic.txt" ] || echo none)"

kill -TERM "$pid_entry3"
wait "$pid_entry3"
check "a planned stop exits 0" '^0$' "$?"
sleep 2.5
check "the ledger holds the organisation's requests" 'haarlemmerland +large/1 +[0-9]+ requests' "$(ctl usage)"
check "status shows the members" 'entry2' "$(ctl status)"
if [ -x "$build/wharf-timeline" ]; then
	check "the time line keeps the invariants" 'invariants hold|0 violations' \
		"$("$build/wharf-timeline" --check "$work"/entry*.jsonl 2>&1 | tail -3)"
	echo "--- the time line's last events"
	"$build/wharf-timeline" "$work"/entry*.jsonl 2>/dev/null | tail -12
fi
[ -n "${DEMO_KEEP:-}" ] && cp -r "$work" "$DEMO_KEEP"
echo "demo: $failures failed"
[ $failures -eq 0 ]
