#include "wharf-replay/expectation.h"

#include <string.h>

static uint64_t number_of(struct json_object *object, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value) ? json_object_get_uint64(value) : 0;
}

static const char *text_of(struct json_object *object, const char *key)
{
	struct json_object *value;

	return json_object_object_get_ex(object, key, &value) ? json_object_get_string(value) : "";
}

enum dw_status expectation_read(struct expectation *expectation, const char *path)
{
	struct json_object *bounds;

	memset(expectation, 0, sizeof(*expectation));
	expectation->file = json_object_from_file(path);
	if (!expectation->file ||
	    !json_object_object_get_ex(expectation->file, "bounds", &bounds) ||
	    !json_object_is_type(bounds, json_type_array))
		return dw_fail(DW_INVALID_ARGUMENT,
			       "%s: cannot read the file, or it has no \"bounds\"", path);
	snprintf(expectation->workload, sizeof(expectation->workload), "%s",
		 text_of(expectation->file, "workload"));
	expectation->options = (struct workload_options){
		.name = expectation->workload,
		.scenario = workload_scenario_of(text_of(expectation->file, "scenario")),
		.seed = number_of(expectation->file, "seed"),
		.load_permille = (uint32_t)number_of(expectation->file, "load_permille"),
		.seconds = (uint32_t)number_of(expectation->file, "seconds"),
	};
	expectation->replay_seed = number_of(expectation->file, "replay_seed");
	if (expectation->options.scenario == WORKLOAD_SCENARIO_COUNT ||
	    !expectation->options.load_permille || !expectation->options.seconds)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "%s: unknown scenario, or load_permille or seconds is 0", path);
	return DW_OK;
}

/* Looks up a number of the report by its path, such as "ratios.p95_to_quickest". */
static bool find_figure(struct json_object *report, const char *path, double *out)
{
	char parts[128];
	char *rest = parts;
	char *part;

	snprintf(parts, sizeof(parts), "%s", path);
	while ((part = strsep(&rest, "."))) {
		if (!json_object_object_get_ex(report, part, &report))
			return false;
	}
	*out = json_object_get_double(report);
	return true;
}

static bool check_bound(struct json_object *bound, struct json_object *report, FILE *out)
{
	const char *path = text_of(bound, "figure");
	struct json_object *limit;
	double value = 0.0;
	bool holds = find_figure(report, path, &value);

	fprintf(out, "  %-46s %12.3f", path, value);
	if (json_object_object_get_ex(bound, "at_most", &limit)) {
		holds = holds && value <= json_object_get_double(limit);
		fprintf(out, " <= %s", json_object_get_string(limit));
	}
	if (json_object_object_get_ex(bound, "at_least", &limit)) {
		holds = holds && value >= json_object_get_double(limit);
		fprintf(out, " >= %s", json_object_get_string(limit));
	}
	fprintf(out, "  %s\n", holds ? "kept" : "NOT KEPT");
	return holds;
}

int expectation_check(const struct expectation *expectation, struct json_object *report, FILE *out)
{
	struct json_object *bounds = json_object_object_get(expectation->file, "bounds");
	int not_kept = 0;

	for (size_t i = 0; i < json_object_array_length(bounds); i++)
		not_kept += !check_bound(json_object_array_get_idx(bounds, i), report, out);
	return not_kept;
}

void expectation_free(struct expectation *expectation)
{
	json_object_put(expectation->file);
	expectation->file = NULL;
}
