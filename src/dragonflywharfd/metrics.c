#include "dragonflywharfd/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "port/store.h"

#define PREFIX "dragonflywharf_"

static void print_counter(FILE *out, const char *name, const char *help, uint64_t value)
{
	fprintf(out, "# HELP " PREFIX "%s_total %s.\n", name, help);
	fprintf(out, "# TYPE " PREFIX "%s_total counter\n", name);
	fprintf(out, PREFIX "%s_total %" PRIu64 "\n", name, value);
}

static void print_peer_metrics(FILE *out, const struct dw_peer_mesh_stats *stats)
{
	print_counter(out, "peer_sent_bytes", "Bytes sent to other daemons", stats->sent_bytes);
	print_counter(out, "peer_received_bytes", "Bytes received from other daemons",
		      stats->received_bytes);
	print_counter(out, "peer_sent_messages", "Messages sent to other daemons",
		      stats->sent_messages);
	print_counter(out, "peer_received_messages", "Messages received from other daemons",
		      stats->received_messages);
	print_counter(out, "peer_dropped_messages", "Messages to other daemons dropped",
		      stats->dropped_messages);
}

static void print_store_metrics(FILE *out, const struct dw_store *store)
{
	static const char *const verbs[DW_STORE_VERB_COUNT] = {
		[DW_STORE_RANGE] = "range",
		[DW_STORE_PUT] = "put",
		[DW_STORE_LEASE_GRANT] = "lease_grant",
		[DW_STORE_LEASE_KEEP_ALIVE] = "lease_keep_alive",
		[DW_STORE_WATCH] = "watch",
	};

	fprintf(out, "# HELP " PREFIX "store_calls_total Calls to the key-value service.\n"
		     "# TYPE " PREFIX "store_calls_total counter\n");
	for (int verb = 0; verb < DW_STORE_VERB_COUNT; verb++)
		fprintf(out, PREFIX "store_calls_total{verb=\"%s\"} %" PRIu64 "\n", verbs[verb],
			store->calls[verb]);
}

static uint64_t resident_bytes(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	char line[64] = "";
	char *end = line;

	if (!file)
		return 0;
	if (!fgets(line, sizeof(line), file))
		line[0] = '\0';
	fclose(file);
	/* The first field is the size of the address space, the second one the resident pages. */
	strtoull(end, &end, 10);
	return strtoull(end, NULL, 10) * (uint64_t)sysconf(_SC_PAGESIZE);
}

static double to_seconds(struct timeval time)
{
	return (double)time.tv_sec + (double)time.tv_usec / (double)DW_US_PER_S;
}

/* The standard names of process metrics in Prometheus, without this project's prefix. */
static void print_process_metrics(FILE *out)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	fprintf(out,
		"# HELP process_cpu_seconds_total User and system processor time.\n"
		"# TYPE process_cpu_seconds_total counter\n"
		"process_cpu_seconds_total %.6f\n",
		to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime));
	fprintf(out,
		"# HELP process_resident_memory_bytes Resident memory.\n"
		"# TYPE process_resident_memory_bytes gauge\n"
		"process_resident_memory_bytes %" PRIu64 "\n",
		resident_bytes());
}

char *metrics_text(struct daemon *daemon, size_t *len)
{
	char *counters = dw_counters_format(&daemon->counters, len);
	char *text = NULL;
	FILE *out = open_memstream(&text, len);

	if (out) {
		fputs(counters ? counters : "", out);
		print_peer_metrics(out, dw_peer_mesh_stats(daemon->mesh));
		print_store_metrics(out, daemon->store);
		print_process_metrics(out);
		fclose(out);
	}
	free(counters);
	return text;
}
