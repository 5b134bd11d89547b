/**
 * @file wharf-replay.c
 * Replays a trace under the decision library and under baseline strategies, and compares them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "wharf-replay/expectation.h"
#include "wharf-replay/report.h"
#include "wharf-replay/run.h"

#define DEFAULT_SEED 1
#define DEFAULT_LOAD_PERMILLE 700
#define DEFAULT_SECONDS 900

enum exit_code { EXIT_OK = 0, EXIT_BOUND_NOT_KEPT = 1, EXIT_USAGE = 2, EXIT_BAD_INPUT = 3 };

struct arguments {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *generate;
	struct arg_str *scenario;
	struct arg_int *seed;
	struct arg_int *load;
	struct arg_int *seconds;
	struct arg_file *expect;
	struct arg_lit *json;
	struct arg_file *plot;
	struct arg_file *trace;
	struct arg_end *end;
};

static struct arguments arguments_new(void)
{
	struct arguments args = {
		.help = arg_lit0("h", "help", "print this help and exit"),
		.version = arg_lit0(NULL, "version", "print the version and exit"),
		.generate = arg_str0(NULL, "generate", "haarlemmerland|atlas",
				     "write a seeded trace to standard output"),
		.scenario = arg_str0(NULL, "scenario", "steady|bad-version|domain|cold",
				     "scenario of the generated trace (steady)"),
		.seed = arg_int0(NULL, "seed", "N", "seed of the generator and the replay (1)"),
		.load = arg_int0(NULL, "load", "PERMILLE",
				 "load of the generated trace, in permille of the large model's "
				 "capacity (700)"),
		.seconds = arg_int0(NULL, "seconds", "N", "duration of the generated trace (900)"),
		.expect = arg_file0(NULL, "expect", "FILE",
				    "generate and replay a trace, and check the results against "
				    "the bounds in FILE"),
		.json = arg_lit0(NULL, "json", "print the results as JSON"),
		.plot = arg_file0(NULL, "plot", "FILE.svg", "plot the results"),
		.trace =
			arg_file0(NULL, NULL, "TRACE", "trace to replay (JSON lines); - for stdin"),
		.end = arg_end(8),
	};

	return args;
}

static void print_help(void *const *table)
{
	printf("Usage: wharf-replay");
	arg_print_syntax(stdout, (void **)table, "\n");
	printf("Replays a trace under the decision library and under baseline strategies, and "
	       "compares them.\n");
	arg_print_glossary(stdout, (void **)table, "  %-34s %s\n");
	printf("Exit codes: 0 success, all bounds kept; 1 a bound of --expect not kept;\n"
	       "2 usage; 3 input cannot be read, or output cannot be written.\n");
}

static void replay_trace(const struct trace *trace, uint64_t seed, struct replay *out)
{
	size_t first = 0;

	out->trace = trace;
	for (int i = 0; i < STRATEGY_COUNT; i++) {
		out->results[i] = calloc(trace->request_count, sizeof(*out->results[i]));
		if (!out->results[i])
			abort();
		run_trace(trace, &strategies[i], seed, out->results[i], &out->metrics[i]);
	}
	out->differences = run_compare_with_naive(trace, out->results[STRATEGY_POLICY],
						  &out->metrics[STRATEGY_POLICY], &first);
	if (out->differences)
		fprintf(stderr,
			"%zu results of the policy differ from the naive reference, first: request "
			"%zu\n",
			out->differences, first);
}

static void replay_free(struct replay *replay)
{
	for (int i = 0; i < STRATEGY_COUNT; i++)
		free(replay->results[i]);
}

static int write_plot(const struct replay *replay, const char *path)
{
	FILE *file = fopen(path, "w");

	if (!file) {
		fprintf(stderr, "wharf-replay: cannot write %s\n", path);
		return EXIT_BAD_INPUT;
	}
	report_plot(replay, file);
	return fclose(file) ? EXIT_BAD_INPUT : EXIT_OK;
}

static int print_results(const struct arguments *args, const struct replay *replay,
			 const struct expectation *expectation)
{
	struct json_object *report = report_json(replay);
	int not_kept = 0;

	if (args->json->count)
		printf("%s\n", json_object_to_json_string_ext(report, JSON_C_TO_STRING_PRETTY));
	else
		report_table(replay, stdout);
	if (expectation)
		not_kept =
			expectation_check(expectation, report, args->json->count ? stderr : stdout);
	json_object_put(report);
	if (args->plot->count && write_plot(replay, args->plot->filename[0]))
		return EXIT_BAD_INPUT;
	return not_kept ? EXIT_BOUND_NOT_KEPT : EXIT_OK;
}

static int report_failure(void)
{
	fprintf(stderr, "wharf-replay: %s\n", dw_last_message());
	return EXIT_BAD_INPUT;
}

static int run_expectation(const struct arguments *args)
{
	struct expectation expectation;
	struct replay replay = { 0 };
	struct trace trace;
	int code;

	if (expectation_read(&expectation, args->expect->filename[0]) ||
	    workload_generate(&expectation.options, &trace)) {
		expectation_free(&expectation);
		return report_failure();
	}
	replay_trace(&trace, expectation.replay_seed, &replay);
	code = print_results(args, &replay, &expectation);
	replay_free(&replay);
	trace_free(&trace);
	expectation_free(&expectation);
	return code;
}

static int run_generator(const struct arguments *args)
{
	struct workload_options options = {
		.name = args->generate->sval[0],
		.scenario = workload_scenario_of(args->scenario->sval[0]),
		.seed = (uint64_t)args->seed->ival[0],
		.load_permille = (uint32_t)args->load->ival[0],
		.seconds = (uint32_t)args->seconds->ival[0],
	};
	struct trace trace;

	if (options.scenario == WORKLOAD_SCENARIO_COUNT || args->load->ival[0] <= 0 ||
	    args->seconds->ival[0] <= 0) {
		fprintf(stderr, "wharf-replay: unknown scenario, or --load or --seconds is "
				"not positive\n");
		return EXIT_USAGE;
	}
	if (workload_generate(&options, &trace))
		return report_failure();
	trace_write(&trace, stdout);
	trace_free(&trace);
	return EXIT_OK;
}

static int run_file(const struct arguments *args)
{
	const char *path = args->trace->filename[0];
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	struct replay replay = { 0 };
	struct trace trace;
	enum dw_status status;
	int code;

	if (!file) {
		fprintf(stderr, "wharf-replay: cannot read %s\n", path);
		return EXIT_BAD_INPUT;
	}
	status = trace_read(&trace, file);
	fclose(file);
	if (status) {
		trace_free(&trace);
		return report_failure();
	}
	replay_trace(&trace, (uint64_t)args->seed->ival[0], &replay);
	code = print_results(args, &replay, NULL);
	replay_free(&replay);
	trace_free(&trace);
	return code;
}

static int run(const struct arguments *args, void *const *table)
{
	if (args->help->count) {
		print_help(table);
		return EXIT_OK;
	}
	if (args->version->count) {
		printf("wharf-replay %s\n", DW_VERSION);
		return EXIT_OK;
	}
	if (args->expect->count)
		return run_expectation(args);
	if (args->generate->count)
		return run_generator(args);
	if (args->trace->count)
		return run_file(args);
	fprintf(stderr,
		"wharf-replay: one of TRACE, --generate and --expect is required; see --help\n");
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	struct arguments args = arguments_new();
	void *table[] = { args.help, args.version, args.generate, args.scenario,
			  args.seed, args.load,	   args.seconds,  args.expect,
			  args.json, args.plot,	   args.trace,	  args.end };
	const size_t count = sizeof(table) / sizeof(table[0]);
	int code;

	if (arg_nullcheck(table))
		return EXIT_USAGE;
	args.scenario->sval[0] = "steady";
	args.seed->ival[0] = DEFAULT_SEED;
	args.load->ival[0] = DEFAULT_LOAD_PERMILLE;
	args.seconds->ival[0] = DEFAULT_SECONDS;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, args.end, "wharf-replay");
		code = EXIT_USAGE;
	} else {
		code = run(&args, table);
	}
	arg_freetable(table, count);
	return code;
}
