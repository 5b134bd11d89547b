# Fits straight lines through the JSON lines of capacity.sh and evaluates them at three sizes.
function field(name,    at) {
	if (!match($0, "\"" name "\":\"?[^,\"}]*")) return ""
	at = substr($0, RSTART, RLENGTH)
	sub(/^[^:]*:"?/, "", at)
	return at
}
# Least squares of y over x for one series.
function add(key, x, y) {
	n[key]++; sx[key] += x; sy[key] += y; sxx[key] += x * x; sxy[key] += x * y
}
function slope(key,    d) {
	d = n[key] * sxx[key] - sx[key] * sx[key]
	return d == 0 ? 0 : (n[key] * sxy[key] - sx[key] * sy[key]) / d
}
function base(key) { return n[key] ? (sy[key] - slope(key) * sx[key]) / n[key] : 0 }
function fitted(name, key, unit, x) {
	printf "%-46s %12.4f %-10s + %12.5f a %s  (%d points)\n", name, base(key), unit, slope(key), x, n[key]
}
function row(name, unit, a, b, c) { printf "%-46s %-12s %14.3f %14.3f %14.3f\n", name, unit, a, b, c }
function mean(key) { return n[key] ? sy[key] / n[key] : 0 }
# One figure at a size. For figures that don't depend on the number of daemons the mean is used, and the
# state at rest has 12 engines and 10 organisations.
function cpu(engines, requests, changes) {
	return mean("daemons cpu") + slope("engines cpu") * (engines - 12) + slope("requests cpu") * requests + slope("changes cpu") * changes
}
function rss(daemons, engines, organisations) {
	return base("daemons rss") + slope("daemons rss") * daemons + slope("engines rss") * (engines - 12) + slope("organisations rss") * (organisations - 10)
}
function sent(requests, changes) {
	return mean("daemons sent") + slope("requests sent") * requests + slope("changes sent") * changes
}
{
	series = field("series"); daemons = field("daemons"); engines = field("engines")
	changes = field("changes_per_s"); requests = field("done_per_s") / daemons
	cpu_percent = field("cpu_percent"); rss_mb = field("rss_mb"); bytes = field("sent_bytes_per_s")
	report_bytes = field("report_bytes")
	item_bytes = field("list_bytes") / (daemons + engines + 1)
}
series == "daemons" {
	add("daemons cpu", daemons, cpu_percent); add("daemons rss", daemons, rss_mb)
	add("daemons sent", daemons, bytes); add("daemons messages", daemons, field("sent_messages_per_s"))
	add("daemons reads", daemons, field("store_reads_per_s") * daemons)
	add("daemons watches", daemons, field("store_watches_per_s") * daemons)
}
series == "daemons" && daemons == 6 {
	add("changes sent", 0, bytes); add("changes cpu", 0, cpu_percent)
	add("requests sent", 0, bytes); add("requests cpu", 0, cpu_percent)
}
series == "changes" || (series == "changes_by_size" && daemons == 6) {
	add("changes sent", changes, bytes); add("changes cpu", changes, cpu_percent)
}
series == "changes_by_size" { add("size sent", daemons, (bytes - 150) / changes) }
series ~ /^changes/ {
	printf "in force on %2d daemons at %2d changes/s: p50 %s ms, p95 %s ms, longest %s ms, %d changes, not in force %d\n", daemons, changes, field("force_p50_ms"), field("force_p95_ms"), field("force_max_ms"), field("in_force"), field("not_in_force")
}
series == "requests" {
	add("requests sent", requests, bytes); add("requests cpu", requests, cpu_percent)
	add("requests writes", requests, field("store_writes_per_s"))
}
series == "engines" || (series == "daemons" && daemons == 3) {
	add("engines cpu", engines, cpu_percent); add("engines rss", engines, rss_mb)
}
series == "organisations" || (series == "daemons" && daemons == 3) {
	add("organisations rss", field("organisations"), rss_mb)
}
END {
	print ""
	print "slopes, of one daemon unless said"
	fitted("processor time at rest", "daemons cpu", "% of core", "daemon")
	fitted("memory at rest", "daemons rss", "MB", "daemon")
	fitted("bytes to peers at rest", "daemons sent", "B/s", "daemon")
	fitted("messages to peers at rest", "daemons messages", "/s", "daemon")
	fitted("store reads at rest, all daemons together", "daemons reads", "/s", "daemon")
	fitted("store watches begun, all daemons together", "daemons watches", "/s", "daemon")
	fitted("processor time by engines (2 reports/s each)", "engines cpu", "% of core", "engine")
	fitted("memory by engines", "engines rss", "MB", "engine")
	fitted("memory by organisations", "organisations rss", "MB", "organisation")
	fitted("bytes to peers by changes", "changes sent", "B/s", "change/s")
	fitted("processor time by changes", "changes cpu", "% of core", "change/s")
	fitted("bytes to peers a change, by daemons", "size sent", "B", "daemon")
	fitted("bytes to peers by requests", "requests sent", "B/s", "request/s")
	fitted("processor time by requests", "requests cpu", "% of core", "request/s")
	fitted("store writes by requests", "requests writes", "/s", "request/s")
	printf "one load report: %d bytes both ways; one line of the instance list: %.0f bytes\n", report_bytes, item_bytes
	print ""
	print "worked out for today's code (control only; extrapolated beyond 48 daemons and 800 engines)"
	printf "%-46s %-12s %14s %14s %14s\n", "", "", "9 / 16", "8 / 12", "2100 / 12000"
	day = 13000 / 86400
	row("processor time of a daemon, control", "% of core", cpu(16, 0, day), cpu(12, 0, day), cpu(12000, 0, day))
	row("memory of a daemon", "MB", rss(9, 16, 100), rss(8, 12, 100), rss(2100, 12000, 1000))
	row("bytes to peers at rest and with changes", "B/s", sent(0, day), sent(0, day), sent(0, day))
	row("the same with 34 requests/s a daemon", "B/s", sent(34.3, day), sent(34.3, day), sent(34.3, day))
	row("load reports fetched by a daemon", "/s", 32, 24, 24000)
	row("bytes of load reports, a daemon", "B/s", 32 * report_bytes, 24 * report_bytes, 24000 * report_bytes)
	row("load reports answered by an engine", "/s", 18, 16, 4200)
	row("bytes of the instance list, a daemon", "B/s", 25 * item_bytes, 20 * item_bytes, 14100 * item_bytes)
	row("store reads, all daemons", "/s", base("daemons reads") + slope("daemons reads") * 9, base("daemons reads") + slope("daemons reads") * 8, base("daemons reads") + slope("daemons reads") * 2100)
	row("store writes of usage, all daemons (1 each 2 s)", "/s", 4.5, 4, 1050)
	row("waiting watches (2 a failure domain)", "", 8, 6, 54)
}
