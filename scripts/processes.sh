# Sourced by the measurement scripts: runs real processes on loopback and ends them with the script.
# shellcheck shell=bash
work=$(mktemp -d)
pids=()

end_processes() {
	[ ${#pids[@]} -gt 0 ] && kill "${pids[@]}" 2>/dev/null
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
	pids=()
}
trap 'end_processes; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM

# start NAME PROGRAM ARGS...: starts a program of the build; its output goes to $work/NAME.out.
start() {
	"$build/$2" "${@:3}" >"$work/$1.out" 2>"$work/$1.err" &
	pids+=($!)
	eval "pid_${1//[^a-z0-9]/_}=$!"
}

# await NAME: waits for the line "listening IP:PORT" and prints the port.
await() {
	local n=0 line
	while ! line=$(grep -m1 '^listening' "$work/$1.out" 2>/dev/null); do
		n=$((n + 1))
		[ $n -gt 400 ] && { echo "$1 didn't start" >&2; cat "$work/$1.err" >&2; exit 1; }
		sleep 0.05
	done
	sed -E 's/^listening [0-9.]+:([0-9]+).*/\1/' <<<"$line"
}

operator_key=measure-operator
caller_key=measure-caller
export WHARF_OPERATOR_KEY=$operator_key

# write_settings NAME DOMAIN SEEDS KV LIST: writes the settings of one daemon; the others are defaults.
write_settings() {
	cat >"$work/$1.json" <<SETTINGS
{ "instance": "$1", "failure_domain": "$2", "ip": "127.0.0.1", "caller_port": 0,
  "operator_port": 0, "peer_port": 0, "seeds": [$3], "store": ["127.0.0.1:$4"],
  "instance_list": "127.0.0.1:$5", "cluster_key": "$(printf '%064d' 7)",
  "operator_key_hash": "$operator_hash", "log_file": "$work/$1.jsonl",
  "stop_timeout_ms": 3000 }
SETTINGS
}

load_average() { cut -d' ' -f1 /proc/loadavg; }
