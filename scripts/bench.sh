#!/usr/bin/env bash
# Compares one daemon with a bare relay on the same libraries and with the stand-in itself, in one run of
# alternating rounds, with ratios and absolute figures. Prints one JSON line per figure, then a summary.
# Usage: scripts/bench.sh [BUILD] [ROUNDS]
set -uo pipefail
build=$(cd "${1:-build}" && pwd)
rounds=${2:-5}
# shellcheck source=scripts/processes.sh
. "$(dirname "$0")/processes.sh"
operator_hash=$("$build/wharfctl" hash-key $operator_key)
caller_hash=$("$build/wharfctl" hash-key $caller_key)
max_requests=12000
half_requests=3000
streams=1000

start kv standin_kv
start list standin_list
start fast standin_engine --name fast --serves large/1 --slots 1024 --token-us 1 --first-token-us 1
start slow standin_engine --name slow --serves slow/1 --slots 1024 --token-us 50000 --first-token-us 1
kv=$(await kv) list=$(await list) fast=$(await fast) slow=$(await slow)
start relay bench_relay "127.0.0.1:$fast"
relay=$(await relay)
curl -s -X POST "http://127.0.0.1:$list/admin/set" -d '{"instances":[
	{"name":"d0","ip":"127.0.0.1","port":1,"failure_domain":"north","role":"entry","state":"live"},
	{"name":"d1","ip":"127.0.0.1","port":1,"failure_domain":"south","role":"entry","state":"live"},
	{"name":"fast","ip":"127.0.0.1","port":1,"failure_domain":"north","role":"engine","state":"live"},
	{"name":"slow","ip":"127.0.0.1","port":1,"failure_domain":"north","role":"engine","state":"live"}]}' >/dev/null
write_settings d0 north "" "$kv" "$list"
start d0 dragonflywharfd --settings "$work/d0.json"
daemon=$(await d0)
operator=$(sed -nE 's/.*operators ([0-9]+).*/\1/p' "$work/d0.out")
write_settings d1 south "\"127.0.0.1:$(sed -nE 's/.*peers ([0-9]+).*/\1/p' "$work/d0.out")\"" "$kv" "$list"
start d1 dragonflywharfd --settings "$work/d1.json"
await d1 >/dev/null
ctl() { "$build/wharfctl" --server "127.0.0.1:$operator" "$@"; }
cat >"$work/config.json" <<CONFIG
{"entities":[{"failure_domain":{"name":"north"}},{"failure_domain":{"name":"south"}},
{"upstream":{"name":"fast","ip":"127.0.0.1","port":$fast,"failure_domain":"north","serves":["large/1"],"limit":1024,"cold_limit":1024,"cold_period_ms":100}},
{"upstream":{"name":"slow","ip":"127.0.0.1","port":$slow,"failure_domain":"north","serves":["slow/1"],"limit":1024,"cold_limit":1024,"cold_period_ms":100}},
{"model":{"name":"large"}},{"model":{"name":"slow"}},
{"version":{"model":"large","name":"1","rollout_weight":1,"cost_micros_per_1k_tokens":1000}},
{"version":{"model":"slow","name":"1","rollout_weight":1,"cost_micros_per_1k_tokens":1000}},
{"organisation":{"name":"caller","key_hashes":["$caller_hash"],"allowed":["large","slow"]}}]}
CONFIG
ctl apply "$work/config.json" >/dev/null || { echo "bench: no configuration" >&2; exit 1; }
ctl wait "$(ctl --json list none/ | sed -nE 's/.*"applied_revision": ?([0-9]+).*/\1/p')" >/dev/null
sleep 3

field() { sed -nE "s/.*\"$1\":([0-9.]+).*/\1/p" <<<"$2"; }
metric() { curl -s "http://127.0.0.1:$operator/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
# ticks PID: processor time used, in clock ticks.
ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }
port_of() { case $1 in direct) echo "$fast" ;; relay) echo "$relay" ;; daemon) echo "$daemon" ;; esac; }
pid_of() { case $1 in direct) echo "$pid_fast" ;; relay) echo "$pid_relay" ;; daemon) echo "$pid_d0" ;; esac; }

# run WHAT KIND ARGS...: one load; a JSON line with its figures.
run() {
	local before after answer cpu done_count
	before=$(ticks "$(pid_of "$1")")
	answer=$("$build/wharf-load" --target "127.0.0.1:$(port_of "$1")" --key $caller_key --model large/1 "${@:3}")
	after=$(ticks "$(pid_of "$1")")
	done_count=$(field done "$answer")
	cpu=$(awk -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" -v n="$done_count" \
		'BEGIN { print (n > 0 ? t / hz * 1e6 / n : 0) }')
	echo "{\"kind\":\"$2\",\"what\":\"$1\",\"done\":$done_count,\"failed\":$(field failed "$answer"),\"per_s\":$(field per_s "$answer"),\"cpu_us_per_request\":$cpu,\"first_byte_p50_us\":$(field first_byte_p50_us "$answer"),\"first_byte_p95_us\":$(field first_byte_p95_us "$answer"),\"first_byte_p99_us\":$(field first_byte_p99_us "$answer"),\"total_p50_us\":$(field total_p50_us "$answer"),\"total_p95_us\":$(field total_p95_us "$answer"),\"total_p99_us\":$(field total_p99_us "$answer"),\"load_average\":$(load_average)}" |
		tee -a "$work/lines.jsonl"
}

echo "{\"kind\":\"memory_at_rest\",\"rss_bytes\":$(metric process_resident_memory_bytes),\"load_average\":$(load_average)}" | tee -a "$work/lines.jsonl"
run daemon warm_up --requests 2000 >/dev/null
for ((round = 0; round < rounds; round++)); do
	for what in direct relay daemon; do
		run $what full_load --requests $max_requests --concurrency 64 --tokens 1
		run $what full_streamed --requests $half_requests --concurrency 64 --tokens 4 --stream
	done
done
# median KIND WHAT FIELD: over the rounds.
median() {
	grep "\"kind\":\"$1\",\"what\":\"$2\"" "$work/lines.jsonl" | sed -nE "s/.*\"$3\":([0-9.]+).*/\1/p" |
		sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}
half=$(median full_load daemon per_s | awk '{ print int($1 / 2) }')
half_streamed=$(median full_streamed daemon per_s | awk '{ print int($1 / 2) }')
echo "{\"kind\":\"half_load\",\"plain_per_s\":$half,\"streamed_per_s\":$half_streamed}"
for ((round = 0; round < rounds; round++)); do
	for what in direct relay daemon; do
		run $what plain_half --requests $half_requests --rate "$half" --concurrency 256 --tokens 1
		run $what streamed_half --requests $half_requests --rate "$half_streamed" --concurrency 256 --tokens 4 --stream
	done
done
"$build/wharf-load" --target "127.0.0.1:$daemon" --key $caller_key --model slow --stream --tokens 100 \
	--requests $streams --concurrency $streams >"$work/streams.json" &
load_pid=$!
sleep 3
echo "{\"kind\":\"memory_open_streams\",\"open\":$(ss -tnH state established "( sport = :$daemon )" 2>/dev/null | wc -l),\"rss_bytes\":$(metric process_resident_memory_bytes),\"load_average\":$(load_average)}" | tee -a "$work/lines.jsonl"
wait $load_pid
echo "{\"kind\":\"streams\",\"done\":$(field done "$(cat "$work/streams.json")"),\"failed\":$(field failed "$(cat "$work/streams.json")")}"

echo
echo "medians of $rounds rounds, load average $(load_average)"
for f in per_s cpu_us_per_request; do
	r=$(median full_load relay $f) d=$(median full_load daemon $f)
	printf 'full load     %-20s relay %10s  daemon %10s  ratio %s\n' $f "$r" "$d" "$(awk "BEGIN { printf \"%.3f\", $d / $r }")"
done
printf 'requests a second of one core  daemon / relay: %s (target 0.60)\n' \
	"$(awk "BEGIN { printf \"%.3f\", $(median full_load relay cpu_us_per_request) / $(median full_load daemon cpu_us_per_request) }")"
for kind in plain_half streamed_half; do
	for p in p50 p95 p99; do
		f=first_byte_${p}_us
		s=$(median $kind direct $f) r=$(median $kind relay $f) d=$(median $kind daemon $f)
		printf '%-13s %-20s direct %6s  relay %6s  daemon %6s  added %6s  added over relay %6s\n' \
			$kind $f "$s" "$r" "$d" $((d - s)) $((d - r))
	done
done
