#!/usr/bin/env bash
# Measures control costs of real daemons on loopback at growing sizes, fits their slopes and extrapolates
# to the sizes of docs/CAPACITY.md. Prints one JSON line per measurement, then the fitted table.
# Usage: scripts/capacity.sh [BUILD] [--json] [--quick]; --json omits the table.
set -uo pipefail
build=$(cd "${1:-build}" && pwd)
shift || true
json=0 sizes="3 6 12 24 48" window_s=8 settle_s=8 rest_ms=38000
for option in "$@"; do
	[ "$option" = --json ] && json=1
	[ "$option" = --quick ] && sizes="3 6 12" window_s=3 settle_s=2 rest_ms=0
done
here=$(dirname "$0")
# shellcheck source=scripts/processes.sh
. "$here/processes.sh"
operator_hash=$("$build/wharfctl" hash-key $operator_key)
caller_hash=$("$build/wharfctl" hash-key $caller_key)
domains=(north middle south)
lines="$work/lines.jsonl"

# entities ENGINES ORGANISATIONS PORT...: the configuration; engines share the given ports.
entities() {
	local engines=$1 organisations=$2 i ports=("${@:3}")
	echo '{"entities":['
	for i in "${domains[@]}"; do echo "{\"failure_domain\":{\"name\":\"$i\"}},"; done
	for ((i = 0; i < engines; i++)); do
		echo "{\"upstream\":{\"name\":\"engine$i\",\"ip\":\"127.0.0.1\",\"port\":${ports[i % ${#ports[@]}]},\"failure_domain\":\"${domains[i % 3]}\",\"serves\":[\"large/1\"],\"limit\":32,\"cold_limit\":8,\"cold_period_ms\":500}},"
	done
	echo '{"model":{"name":"large","quality_target_permille":600}},'
	echo '{"version":{"model":"large","name":"1","rollout_weight":1,"cost_micros_per_1k_tokens":1000}},'
	for ((i = 1; i < organisations; i++)); do
		echo "{\"organisation\":{\"name\":\"organisation$i\",\"key_hashes\":[\"$(printf '%064x' "$i")\"],\"allowed\":[\"large\"]}},"
	done
	echo "{\"organisation\":{\"name\":\"caller\",\"key_hashes\":[\"$caller_hash\"],\"allowed\":[\"large\"]}}]}"
}

ctl() { "$build/wharfctl" --server "127.0.0.1:${operators[0]}" "$@"; }

in_force() { # waits until all daemons have what the first one has
	local revision
	revision=$(ctl --json list none/ | sed -nE 's/.*"applied_revision": ?([0-9]+).*/\1/p')
	ctl wait "$revision" >/dev/null || echo "capacity: not in force on all" >&2
}

# start_cluster DAEMONS ENGINES ORGANISATIONS
start_cluster() {
	local n=$1 i seeds="" names=() ports=()
	callers=() operators=() peers=()
	rm -f "$work"/*.out "$work"/*.jsonl.* "$work"/d*.jsonl
	started_us=$(date +%s%6N)
	start kv standin_kv
	start list standin_list
	for i in 0 1 2 3; do
		start "upstream$i" standin_engine --name "upstream$i" --serves large/1 --slots 4096 \
			--token-us 200 --first-token-us 1000
	done
	kv=$(await kv) list=$(await list)
	for i in 0 1 2 3; do ports+=("$(await "upstream$i")"); done
	curl -s -X POST "http://127.0.0.1:$list/admin/set" -d "{\"instances\":[$(
		for ((i = 0; i < n; i++)); do
			echo "{\"name\":\"d$i\",\"ip\":\"127.0.0.1\",\"port\":1,\"failure_domain\":\"${domains[i % 3]}\",\"role\":\"entry\",\"state\":\"live\"},"
		done
		for ((i = 0; i < $2; i++)); do
			echo "{\"name\":\"engine$i\",\"ip\":\"127.0.0.1\",\"port\":${ports[i % 4]},\"failure_domain\":\"${domains[i % 3]}\",\"role\":\"engine\",\"state\":\"live\"},"
		done
	){\"name\":\"other\",\"ip\":\"127.0.0.1\",\"port\":1,\"failure_domain\":\"north\",\"role\":\"service\",\"state\":\"live\"}]}" >/dev/null
	report_bytes=$(curl -s -o /dev/null "http://127.0.0.1:${ports[0]}/load" \
		-w '%{size_request} %{size_header} %{size_download}' | awk '{ print $1 + $2 + $3 }')
	list_bytes=$(curl -s "http://127.0.0.1:$list/instances" | wc -c)
	for ((i = 0; i < n; i++)); do
		names+=("d$i")
		write_settings "d$i" "${domains[i % 3]}" "$seeds" "$kv" "$list"
		start "d$i" dragonflywharfd --settings "$work/d$i.json"
		if [ "$i" -lt 3 ]; then
			await "d$i" >/dev/null
			seeds="$seeds${seeds:+, }\"127.0.0.1:$(sed -nE 's/.*peers ([0-9]+).*/\1/p' "$work/d$i.out")\""
		fi
	done
	for i in "${names[@]}"; do
		callers+=("$(await "$i")")
		operators+=("$(sed -nE 's/.*operators ([0-9]+).*/\1/p' "$work/$i.out")")
	done
	metrics_urls=("${operators[@]/#/http:\/\/127.0.0.1:}")
	metrics_urls=("${metrics_urls[@]/%//metrics}")
	entities "$2" "$3" "${ports[@]}" >"$work/config.json"
	ctl apply "$work/config.json" >"$work/apply.txt" || tail -3 "$work/apply.txt" >&2
	in_force
	sleep "$settle_s"
}

# snapshot FILE: the sums over all daemons of each metric, and the largest memory.
snapshot() {
	curl -s "${metrics_urls[@]}" | awk -v now="$(date +%s.%N)" '
		/^#/ { next }
		{ sum[$1] += $2 }
		$1 == "process_resident_memory_bytes" && $2 > top { top = $2 }
		END { print "now", now; print "rss_max", top; for (k in sum) print k, sum[k] }' >"$1"
}

# force_times: milliseconds from the first event of each change since $force_from (us) until every
# daemon has it or a later one, as "count unfinished p50 p95 max".
force_times() {
	cat "$work"/d*.jsonl | awk -v daemons="${#operators[@]}" -v from="$force_from" '
		function text(name) {
			if (!match($0, "\"" name "\":\"?[^,\"}]*")) return ""
			return substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
		}
		/"name":"config.(applied|changed)"/ {
			t = text("ts_us") + 0
			r = text(/config.applied/ ? "mod_revision" : "revision") + 0
			if (t < from || r == 0) next
			if (!(r in first) || t < first[r]) first[r] = t
			if (!/config.applied/) next
			who = text("instance")
			sub(/^"/, "", who)
			if (!(who in count)) names[++known] = who
			count[who]++
			at[who, count[who]] = t
			revision[who, count[who]] = r
		}
		END {
			for (r in first) {
				last = 0
				have = 0
				for (d = 1; d <= known; d++) {
					who = names[d]
					for (i = 1; i <= count[who] && revision[who, i] < r + 0; i++);
					if (i > count[who]) continue
					have++
					if (at[who, i] > last) last = at[who, i]
				}
				if (have >= daemons) print (last - first[r]) / 1000
				else missing++
			}
			print "missing", missing + 0
		}' | sort -n | awk '$1 == "missing" { missing = $2; next } { v[++n] = $1 }
		END { printf "%d %d %.1f %.1f %.1f", n, missing, v[int((n + 1) / 2)], v[int(n * 0.95 + 0.999)], v[n] }'
}

# pace MS: sleeps until MS milliseconds after $force_from.
pace() {
	local left_us=$((force_from + $1 * 1000 - $(date +%s%6N)))
	[ $left_us -gt 0 ] && sleep "$(printf '%d.%06d' $((left_us / 1000000)) $((left_us % 1000000)))"
}

# measure LABEL CHANGES_PER_S REQUESTS_PER_S ENGINES ORGANISATIONS: one window, one JSON line.
measure() {
	local force="0 0 0 0 0" load_pid="" i
	force_from=$(date +%s%6N)
	snapshot "$work/before"
	if [ "$3" -gt 0 ]; then
		local targets=()
		for i in "${callers[@]:0:16}"; do targets+=(--target "127.0.0.1:$i"); done
		"$build/wharf-load" "${targets[@]}" --key $caller_key --rate "$3" --concurrency 512 \
			--requests $(($3 * window_s)) >"$work/load.json" &
		load_pid=$!
	fi
	if [ "$2" -gt 0 ]; then
		for ((i = 1; i <= $2 * window_s; i++)); do
			ctl weight large/1 $((i % 50 + 1)) >/dev/null || echo "capacity: a change failed" >&2
			pace "$((i * 1000 / $2))"
		done
	else
		sleep "$window_s"
	fi
	[ -n "$load_pid" ] && wait "$load_pid"
	snapshot "$work/after"
	[ "$2" -gt 0 ] && sleep 2 && force=$(force_times)
	awk -v label="$1" -v n="${#operators[@]}" -v changes="$2" -v requests="$3" -v engines="$4" \
		-v organisations="$5" -v force="$force" -v load="$(load_average)" -v list="$list_bytes" \
		-v report="$report_bytes" '
		FNR == NR { a[$1] = $2; next } { b[$1] = $2 }
		function rate(k) { return (b[k] - a[k]) / (b["now"] - a["now"]) / n }
		function store(v) { return rate("dragonflywharf_store_calls_total{verb=\"" v "\"}") }
		END {
			split(force, f, " ")
			p = "dragonflywharf_peer_"
			printf "{\"series\":\"%s\",\"daemons\":%d,\"engines\":%d,\"organisations\":%d", label, n, engines, organisations
			printf ",\"changes_per_s\":%s,\"requests_per_s\":%d,\"seconds\":%.2f", changes, requests, b["now"] - a["now"]
			printf ",\"cpu_percent\":%.3f", 100 * rate("process_cpu_seconds_total")
			printf ",\"rss_mb\":%.2f,\"rss_max_mb\":%.2f", b["process_resident_memory_bytes"] / n / 1048576, b["rss_max"] / 1048576
			printf ",\"sent_bytes_per_s\":%.1f,\"received_bytes_per_s\":%.1f", rate(p "sent_bytes_total"), rate(p "received_bytes_total")
			printf ",\"sent_messages_per_s\":%.2f,\"dropped_per_s\":%.3f", rate(p "sent_messages_total"), rate(p "dropped_messages_total")
			printf ",\"store_reads_per_s\":%.3f,\"store_writes_per_s\":%.3f,\"store_watches_per_s\":%.3f", store("range"), store("put"), store("watch")
			printf ",\"done_per_s\":%.2f", rate("dragonflywharf_requests_done_total") * n
			printf ",\"in_force\":%d,\"not_in_force\":%d,\"force_p50_ms\":%s,\"force_p95_ms\":%s,\"force_max_ms\":%s", f[1], f[2], f[3], f[4], f[5]
			printf ",\"list_bytes\":%d,\"report_bytes\":%d,\"load_average\":%s}\n", list, report, load
		}' "$work/before" "$work/after" | tee -a "$lines"
}

for engines in 100 400 800; do
	start_cluster 3 "$engines" 10
	measure engines 0 0 "$engines" 10
	end_processes
done
for organisations in 500 2000; do
	start_cluster 3 12 "$organisations"
	measure organisations 0 0 12 "$organisations"
	end_processes
done
for n in $sizes; do
	start_cluster "$n" 12 10
	[ "$n" -ge 6 ] && measure changes_by_size 2 0 12 10
	if [ "$n" = 6 ]; then
		for rate in 5 20; do measure changes "$rate" 0 12 10; done
		for rate in 60 240 600; do measure requests 0 "$rate" 12 10; done
	fi
	# A new member requests lists of members up to its 32nd second; the cluster is at rest after that.
	force_from=$started_us
	pace "$rest_ms"
	measure daemons 0 0 12 10
	end_processes
done
[ "$json" = 1 ] || awk -f "$here/capacity_fit.awk" "$lines"
