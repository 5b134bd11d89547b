#include "wharf-replay/report.h"

#define US_PER_MS 1e3
#define US_PER_S 1e6

static double ratio(double a, double b)
{
	return b > 0.0 ? a / b : 0.0;
}

static void add_double(struct json_object *object, const char *key, double value)
{
	json_object_object_add(object, key, json_object_new_double(value));
}

static void add_int(struct json_object *object, const char *key, int64_t value)
{
	json_object_object_add(object, key, json_object_new_int64(value));
}

static struct json_object *percentiles_json(const struct percentiles *percentiles)
{
	struct json_object *object = json_object_new_object();

	add_int(object, "count", percentiles->count);
	add_double(object, "p50_ms", (double)percentiles->p50_us / US_PER_MS);
	add_double(object, "p95_ms", (double)percentiles->p95_us / US_PER_MS);
	add_double(object, "p99_ms", (double)percentiles->p99_us / US_PER_MS);
	return object;
}

static struct json_object *metrics_json(const struct trace *trace, const struct metrics *metrics)
{
	struct json_object *object = json_object_new_object();
	struct json_object *latency = json_object_new_object();

	add_double(object, "cost_per_met_micros", metrics->cost_per_met_micros);
	add_double(object, "met_share", metrics->met_share);
	add_double(object, "small_met_share", metrics->small_met_share);
	for (int i = OUTCOME_ANSWERED; i < OUTCOME_COUNT; i++)
		add_int(object, outcome_name((enum outcome)i), metrics->outcomes[i]);
	add_int(object, "late", metrics->late);
	add_int(object, "exposed", metrics->exposed);
	add_int(object, "held_at_ms", (int64_t)(metrics->held_at_us / 1000));
	add_int(object, "engine_falls", metrics->engine_crashes);
	add_int(object, "retries", metrics->retries);
	json_object_object_add(latency, "models", percentiles_json(&metrics->all));
	for (uint32_t i = 0; i < trace->class_count; i++)
		json_object_object_add(latency, trace->classes[i],
				       percentiles_json(&metrics->classes[i]));
	json_object_object_add(object, "latency", latency);
	return object;
}

static uint32_t count_unanswered(const struct metrics *metrics)
{
	uint32_t count = 0;

	for (int i = OUTCOME_REFUSED_LATE; i < OUTCOME_COUNT; i++)
		count += metrics->outcomes[i];
	return count;
}

/* Ratio of the policy's p95 to that of the faster one of the two round-robin baselines. */
static double p95_to_quickest(const struct replay *replay, int class)
{
	const struct result *policy = replay->results[STRATEGY_POLICY];
	double to_always_best = metrics_p95_ratio(replay->trace, policy,
						  replay->results[STRATEGY_ALWAYS_BEST], class);
	double to_cheapest_first = metrics_p95_ratio(
		replay->trace, policy, replay->results[STRATEGY_CHEAPEST_FIRST], class);

	return to_always_best > to_cheapest_first ? to_always_best : to_cheapest_first;
}

static double worst_class_p95_ratio(const struct replay *replay)
{
	double worst = 0.0;

	for (uint32_t i = 0; i < replay->trace->class_count; i++) {
		double class_ratio = p95_to_quickest(replay, (int)i);

		worst = class_ratio > worst ? class_ratio : worst;
	}
	return worst;
}

/* The policy compared with the baselines; most bounds of the expectation files are on these. */
static struct json_object *ratios_json(const struct replay *replay)
{
	const struct metrics *policy = &replay->metrics[STRATEGY_POLICY];
	const struct metrics *best = &replay->metrics[STRATEGY_ALWAYS_BEST];
	const struct metrics *own_evidence = &replay->metrics[STRATEGY_OWN_EVIDENCE];
	struct json_object *object = json_object_new_object();

	add_double(object, "cost_to_always_best",
		   metrics_cost_ratio(replay->trace, replay->results[STRATEGY_POLICY],
				      replay->results[STRATEGY_ALWAYS_BEST]));
	add_double(object, "met_share_minus_always_best", policy->met_share - best->met_share);
	add_double(object, "p95_to_quickest", p95_to_quickest(replay, -1));
	add_double(object, "worst_class_p95_to_quickest", worst_class_p95_ratio(replay));
	add_double(object, "exposed_own_evidence_to_policy",
		   ratio(own_evidence->exposed, policy->exposed ? policy->exposed : 1));
	add_double(object, "exposed_always_best_to_policy",
		   ratio(best->exposed, policy->exposed ? policy->exposed : 1));
	add_int(object, "policy_refusals", count_unanswered(policy));
	add_int(object, "differences_from_naive", (int64_t)replay->differences);
	return object;
}

struct json_object *report_json(const struct replay *replay)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "trace", json_object_new_string(replay->trace->name));
	add_int(object, "requests", (int64_t)replay->trace->request_count);
	for (int i = 0; i < STRATEGY_COUNT; i++)
		json_object_object_add(object, strategies[i].name,
				       metrics_json(replay->trace, &replay->metrics[i]));
	json_object_object_add(object, "ratios", ratios_json(replay));
	return object;
}

typedef double (*metric_value)(const struct metrics *metrics);

static double cost_of(const struct metrics *metrics)
{
	return metrics->cost_per_met_micros;
}

static double met_of(const struct metrics *metrics)
{
	return metrics->met_share * 100.0;
}

static double small_met_of(const struct metrics *metrics)
{
	return metrics->small_met_share * 100.0;
}

static double late_of(const struct metrics *metrics)
{
	return metrics->late;
}

static double exposed_of(const struct metrics *metrics)
{
	return metrics->exposed;
}

static double held_of(const struct metrics *metrics)
{
	return (double)metrics->held_at_us / US_PER_S;
}

static double engine_crashes_of(const struct metrics *metrics)
{
	return metrics->engine_crashes;
}

static double retries_of(const struct metrics *metrics)
{
	return metrics->retries;
}

static const struct {
	const char *label;
	metric_value value;
} rows[] = {
	{ "cost per met answer, micros", cost_of },	 { "met the target, %", met_of },
	{ "  of small organisations, %", small_met_of }, { "answered after deadline", late_of },
	{ "bad answers released", exposed_of },		 { "first version held at, s", held_of },
	{ "engine crashes", engine_crashes_of },	 { "retries", retries_of },
};

static void print_latency(const struct replay *replay, FILE *file, const char *name, int class)
{
	fprintf(file, "%-28s", name);
	for (int i = 0; i < STRATEGY_COUNT; i++) {
		const struct metrics *metrics = &replay->metrics[i];
		const struct percentiles *p = class < 0 ? &metrics->all : &metrics->classes[class];

		fprintf(file, "  %5.2f/%6.2f/%6.2f", (double)p->p50_us / US_PER_S,
			(double)p->p95_us / US_PER_S, (double)p->p99_us / US_PER_S);
	}
	fprintf(file, "\n");
}

void report_table(const struct replay *replay, FILE *file)
{
	struct json_object *ratios = ratios_json(replay);

	fprintf(file, "%-28s", replay->trace->name);
	for (int i = 0; i < STRATEGY_COUNT; i++)
		fprintf(file, "  %19s", strategies[i].name);
	fprintf(file, "\n");
	for (size_t row = 0; row < sizeof(rows) / sizeof(rows[0]); row++) {
		fprintf(file, "%-28s", rows[row].label);
		for (int i = 0; i < STRATEGY_COUNT; i++)
			fprintf(file, "  %19.1f", rows[row].value(&replay->metrics[i]));
		fprintf(file, "\n");
	}
	for (int outcome = OUTCOME_ANSWERED; outcome < OUTCOME_COUNT; outcome++) {
		fprintf(file, "%-28s", outcome_name((enum outcome)outcome));
		for (int i = 0; i < STRATEGY_COUNT; i++)
			fprintf(file, "  %19u", replay->metrics[i].outcomes[outcome]);
		fprintf(file, "\n");
	}
	fprintf(file, "latency p50/p95/p99, s\n");
	print_latency(replay, file, "  all model requests", -1);
	for (uint32_t i = 0; i < replay->trace->class_count; i++)
		print_latency(replay, file, replay->trace->classes[i], (int)i);
	json_object_object_foreach(ratios, key, value)
	{
		fprintf(file, "%-34s %10.3f\n", key, json_object_get_double(value));
	}
	json_object_put(ratios);
}
