/**
 * @file wharfctl.c
 * Command-line client for operators: reads and changes the configuration, and shows the state.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <sodium.h>

#include "wharfctl/command.h"

#define WORDS_MAX 8
#define SERVERS_MAX 8

static void print_help(void **table)
{
	printf("Usage: wharfctl");
	arg_print_syntax(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-22s %s\n");
	printf("Commands:\n");
	command_print_list(stdout);
	printf("Exit codes: 0 done, 1 usage, 2 refused, 3 conflict, 4 outcome unknown,\n"
	       "5 unreachable, 6 no such entity.\n"
	       "Exit codes of check: 0 no errors or warnings, 1 warnings only, 2 errors.\n");
}

static int run(const struct arg_str *servers, const struct arg_str *key,
	       const struct arg_str *words, const struct arg_str *against, bool json,
	       bool allow_lower)
{
	struct command_context context = {
		.json = json,
		.allow_lower = allow_lower,
		.against = against->count > 0 ? against->sval[0] : NULL,
		.argc = words->count - 1,
	};
	const char *arguments[WORDS_MAX + 1] = { NULL };
	struct dw_endpoint_list endpoints = { .count = 0 };
	const char *secret = key->count > 0 ? key->sval[0] : getenv("WHARF_OPERATOR_KEY");

	for (int i = 0; i < servers->count; i++) {
		if (dw_endpoint_parse(servers->sval[i], &endpoints.items[i]) != DW_OK) {
			fprintf(stderr, "wharfctl: --server: %s\n", dw_last_message());
			return WHARFCTL_USAGE;
		}
		endpoints.count++;
	}
	for (int i = 1; i < words->count; i++)
		arguments[i - 1] = words->sval[i];
	context.argv = arguments;
	operator_client_init(&context.client, &endpoints, secret ? secret : "");
	return command_run(&context, words->sval[0]);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON instead of text");
	struct arg_lit *allow_lower =
		arg_lit0(NULL, "allow-lower",
			 "let \"apply\" lower the limits of an upstream; without it, exit code 2");
	struct arg_str *servers =
		arg_strn("s", "server", "IP:PORT", 0, SERVERS_MAX,
			 "operator address of an instance; repeated: tried in order");
	struct arg_str *key = arg_str0("k", "key", "KEY",
				       "operator key (default: the variable WHARF_OPERATOR_KEY)");
	struct arg_str *against =
		arg_str0(NULL, "against", "FILE",
			 "configuration in force, with which \"check\" compares its file");
	struct arg_str *words = arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX,
					 "command and its arguments, see below");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, json, allow_lower, servers, key, against, words, end };
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		print_help(table);
		return WHARFCTL_DONE;
	}
	if (version->count > 0) {
		printf("wharfctl %s\n", DW_VERSION);
		return WHARFCTL_DONE;
	}
	if (errors > 0 || words->count == 0 || sodium_init() < 0) {
		arg_print_errors(stderr, end, "wharfctl");
		fprintf(stderr, "wharfctl: invalid arguments or no command; see --help\n");
		return command_usage_exit(words->count > 0 ? words->sval[0] : NULL);
	}
	return run(servers, key, words, against, json->count > 0, allow_lower->count > 0);
}
