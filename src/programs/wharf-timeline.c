/**
 * @file wharf-timeline.c
 * Merges event logs into one time line, prints it, and verifies the invariants with --check.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "wharf-timeline/check.h"
#include "wharf-timeline/timeline.h"

#define FILES_MAX 4096

enum exit_code { EXIT_OK = 0, EXIT_USAGE = 1, EXIT_VIOLATION = 2, EXIT_CODE_COUNT };

static int read_logs(struct timeline *timeline, const struct arg_file *files)
{
	for (int i = 0; i < files->count; i++) {
		if (timeline_read(timeline, files->filename[i]) != DW_OK) {
			fprintf(stderr, "wharf-timeline: %s\n", dw_last_message());
			return EXIT_USAGE;
		}
	}
	timeline_sort(timeline);
	return EXIT_OK;
}

static int write_svg(const struct timeline *timeline, const struct timeline_filter *filter,
		     const char *path)
{
	FILE *out = fopen(path, "w");

	if (!out) {
		fprintf(stderr, "wharf-timeline: cannot write %s\n", path);
		return EXIT_USAGE;
	}
	timeline_print_svg(timeline, filter, out);
	fclose(out);
	return EXIT_OK;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *check =
		arg_lit0("c", "check", "verify the invariants and print violations");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON lines");
	struct arg_file *svg = arg_file0(NULL, "svg", "FILE", "write an SVG image");
	struct arg_str *request = arg_str0("r", "request", "ID", "only events of this request");
	struct arg_str *name =
		arg_str0("n", "name", "PREFIX", "only events whose name begins with PREFIX");
	struct arg_str *instance =
		arg_str0("i", "instance", "NAME", "only events of this instance");
	struct arg_file *files = arg_filen(NULL, NULL, "LOG", 0, FILES_MAX, "event logs");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, json, svg, request, name, instance, files, end };
	int errors = arg_parse(argc, argv, table);
	struct timeline timeline = { .count = 0 };
	struct timeline_filter filter = { NULL, NULL, NULL };
	int code;

	if (help->count > 0) {
		printf("Usage: wharf-timeline");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("Exit codes: 0 success, 1 usage or file error, 2 an invariant is "
		       "violated.\n");
		return EXIT_OK;
	}
	if (version->count > 0) {
		printf("wharf-timeline %s\n", DW_VERSION);
		return EXIT_OK;
	}
	if (errors > 0 || files->count == 0) {
		arg_print_errors(stderr, end, "wharf-timeline");
		fprintf(stderr, "wharf-timeline: invalid arguments or no event log; see --help\n");
		return EXIT_USAGE;
	}
	filter.request = request->count ? request->sval[0] : NULL;
	filter.name_prefix = name->count ? name->sval[0] : NULL;
	filter.instance = instance->count ? instance->sval[0] : NULL;
	code = read_logs(&timeline, files);
	if (code == EXIT_OK && svg->count > 0)
		code = write_svg(&timeline, &filter, svg->filename[0]);
	if (code == EXIT_OK && check->count > 0)
		code = timeline_check(&timeline, stdout) > 0 ? EXIT_VIOLATION : EXIT_OK;
	else if (code == EXIT_OK && json->count > 0)
		timeline_print_json(&timeline, &filter, stdout);
	else if (code == EXIT_OK && svg->count == 0)
		timeline_print_text(&timeline, &filter, stdout);
	timeline_clear(&timeline);
	return code;
}
