/**
 * @file wharf-load.c
 * Load generator for chat requests; prints its measurements as a JSON object. It accepts loopback
 * targets only.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "base/clock.h"
#include "wharf-load/load.h"

#define TARGETS_MAX 16
#define REQUESTS_MAX 2000000
#define BODY_BYTES 1024
#define LOOPBACK "127."
#define P50 500
#define P95 950
#define P99 990

enum exit_code { EXIT_OK = 0, EXIT_USAGE = 1, EXIT_INCOMPLETE = 2, EXIT_CODE_COUNT };

static void print_percentiles(const char *name, uint32_t *values, uint64_t count)
{
	printf(",\"%s_p50_us\":%u,\"%s_p95_us\":%u,\"%s_p99_us\":%u", name,
	       load_percentile(values, count, P50), name, load_percentile(values, count, P95), name,
	       load_percentile(values, count, P99));
}

static void print_result(const struct load_result *result)
{
	double seconds = (double)result->duration_us / (double)DW_US_PER_S;

	printf("{\"done\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"duration_us\":%" PRIu64
	       ",\"per_s\":%.1f,\"body_bytes\":%" PRIu64,
	       result->completed, result->failed, result->duration_us,
	       seconds > 0 ? (double)result->completed / seconds : 0.0, result->body_bytes);
	print_percentiles("first_byte", result->first_byte_us, result->completed);
	print_percentiles("total", result->total_us, result->completed);
	printf(",\"by_status\":{");
	for (int i = 0, printed = 0; i < LOAD_HTTP_STATUS_COUNT; i++) {
		if (result->by_status[i] > 0)
			printf("%s\"%d\":%" PRIu64, printed++ ? "," : "", i, result->by_status[i]);
	}
	printf("}}\n");
}

static bool parse_targets(const struct arg_str *targets, struct dw_endpoint_list *out)
{
	for (int i = 0; i < targets->count; i++) {
		if (dw_endpoint_parse(targets->sval[i], &out->items[i]) != DW_OK ||
		    strncmp(out->items[i].ip, LOOPBACK, strlen(LOOPBACK)) != 0) {
			fprintf(stderr, "wharf-load: --target: expected IP:PORT with an address in "
					"127.0.0.0/8\n");
			return false;
		}
		out->count++;
	}
	return out->count > 0;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_str *targets =
		arg_strn("t", "target", "IP:PORT", 0, TARGETS_MAX, "repeated: used round robin");
	struct arg_str *key = arg_str0("k", "key", "KEY", "bearer key");
	struct arg_str *model = arg_str0("m", "model", "NAME", "requested model (large)");
	struct arg_str *path = arg_str0("p", "path", "PATH", "request path (/v1/chat/completions)");
	struct arg_lit *stream = arg_lit0("s", "stream", "request streamed responses");
	struct arg_int *tokens = arg_int0(NULL, "tokens", "N", "tokens of a response (8)");
	struct arg_int *requests = arg_int0("n", "requests", "N", "number of requests (1000)");
	struct arg_int *concurrency = arg_int0("c", "concurrency", "N", "maximum in flight (16)");
	struct arg_int *rate =
		arg_int0("r", "rate", "N",
			 "requests started per second (default: start one when another ends)");
	struct arg_int *timeout = arg_int0(NULL, "timeout-ms", "N", "timeout of a request (30000)");
	struct arg_end *end = arg_end(8);
	void *table[] = { help,	  version,  targets,	 key,  model,	path, stream,
			  tokens, requests, concurrency, rate, timeout, end };
	struct load_options options = { .key = "", .path = "/v1/chat/completions" };
	const struct load_result *result;
	char body[BODY_BYTES];
	uv_loop_t loop;
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("Usage: wharf-load");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("Exit codes: 0 all requests completed, 1 usage, 2 some did not.\n");
		return EXIT_OK;
	}
	if (version->count > 0) {
		printf("wharf-load %s\n", DW_VERSION);
		return EXIT_OK;
	}
	options.requests = requests->count ? (uint64_t)requests->ival[0] : 1000;
	options.concurrency = concurrency->count ? (uint32_t)concurrency->ival[0] : 16;
	options.timeout_us = (timeout->count ? (uint64_t)timeout->ival[0] : 30000) * DW_US_PER_MS;
	if (rate->count && rate->ival[0] > 0)
		options.interval_us = DW_US_PER_S / (uint64_t)rate->ival[0];
	if (errors > 0 || !parse_targets(targets, &options.targets) ||
	    options.requests > REQUESTS_MAX || options.concurrency == 0) {
		arg_print_errors(stderr, end, "wharf-load");
		fprintf(stderr,
			"wharf-load: invalid arguments, no valid --target, too many --requests or "
			"--concurrency 0; see --help\n");
		return EXIT_USAGE;
	}
	if (key->count)
		options.key = key->sval[0];
	if (path->count)
		options.path = path->sval[0];
	snprintf(body, sizeof(body),
		 "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{\"role\":"
		 "\"user\",\"content\":\"request %%u\"}]}",
		 model->count ? model->sval[0] : "large", stream->count ? "true" : "false",
		 tokens->count ? tokens->ival[0] : 8);
	options.body = body;
	uv_loop_init(&loop);
	result = load_run(&loop, &options);
	print_result(result);
	return result->completed == options.requests ? EXIT_OK : EXIT_INCOMPLETE;
}
