#include "wharf-replay/workload.h"

#include <stdlib.h>
#include <string.h>

#include "wharf-replay/random.h"

#define US_PER_S 1000000
#define PERMILLE 1000
#define SESSIONS_PER_CLASS 64 /* open at once, in a class with sessions */
#define SESSION_TURNS 8
#define BAD_PERMILLE 600
#define PASS_SCORE 900
#define FAIL_SCORE 400

enum { SMALL, MEDIUM, LARGE, SERVICE, MODEL_COUNT };

struct class_profile {
	const char *name;
	uint32_t share_permille; /* of the requests */
	bool service;
	bool sessions;
	uint32_t prompt_tokens;
	uint32_t prefix_tokens; /* shared within an organisation; in a session, its first prefix */
	uint32_t tokens; /* median */
	double spread; /* of tokens: standard deviation of the logarithm */
	uint32_t deadline_s;
	uint32_t priority;
	uint32_t pass_permille[LARGE + 1]; /* of a good version, before pass_adjustment_permille */
};

struct workload_profile {
	const char *name;
	const char *domains[TRACE_DOMAINS_MAX];
	uint32_t engines[MODEL_COUNT]; /* number that serve each model */
	uint64_t link_us;
	uint64_t client_us;
	struct class_profile classes[TRACE_CLASSES_MAX];
};

static const struct trace_model models[MODEL_COUNT] = {
	[SMALL] = { "small", false, 400, 6000, 60 },
	[MEDIUM] = { "medium", false, 1500, 12000, 120 },
	[LARGE] = { "large", false, 6000, 24000, 250 },
	[SERVICE] = { "service", true, 0, 150000, 0 },
};

static const uint32_t slots[MODEL_COUNT] = {
	[SMALL] = 16, [MEDIUM] = 12, [LARGE] = 8, [SERVICE] = 8
};

static const struct workload_profile profiles[] = {
	{ "haarlemmerland",
	  { "haarlem", "zaandam", "hoofddorp", "alkmaar" },
	  { [SMALL] = 3, [MEDIUM] = 3, [LARGE] = 6, [SERVICE] = 4 },
	  3000,
	  3000,
	  { { "quotation", 200, false, false, 3000, 2000, 500, 0.4, 90, 1, { 350, 600, 970 } },
	    { "contractor", 250, false, false, 1200, 800, 250, 0.5, 45, 1, { 750, 880, 970 } },
	    { "resident", 400, false, true, 400, 200, 120, 0.5, 30, 0, { 930, 960, 980 } },
	    { "booking", 150, true, false, 0, 0, 1, 0.2, 10, 0, { 0 } } } },
	{ "atlas",
	  { "maroc-north-a", "maroc-north-b", "maroc-north-c" },
	  { [SMALL] = 2, [MEDIUM] = 2, [LARGE] = 5, [SERVICE] = 3 },
	  7000,
	  1000,
	  { { "review", 120, false, false, 9000, 6000, 900, 0.4, 180, 1, { 200, 500, 970 } },
	    { "quote", 250, false, false, 1500, 1000, 300, 0.5, 60, 1, { 700, 850, 970 } },
	    { "floor", 480, false, true, 300, 150, 90, 0.5, 30, 0, { 940, 970, 985 } },
	    { "order", 150, true, false, 0, 0, 1, 0.2, 10, 0, { 0 } } } },
};

struct session {
	uint64_t id;
	uint32_t organisation;
	uint32_t turns;
	uint32_t prefix_tokens;
};

struct generator {
	const struct workload_profile *profile;
	const struct workload_options *options;
	struct trace *trace;
	struct random_source random;
	struct session sessions[TRACE_CLASSES_MAX][SESSIONS_PER_CLASS];
};

enum workload_scenario workload_scenario_of(const char *name)
{
	static const char *const names[WORKLOAD_SCENARIO_COUNT] = {
		[WORKLOAD_STEADY] = "steady",
		[WORKLOAD_BAD_VERSION] = "bad-version",
		[WORKLOAD_DOMAIN] = "domain",
		[WORKLOAD_COLD] = "cold",
	};
	int scenario = 0;

	while (scenario < WORKLOAD_SCENARIO_COUNT && strcmp(name, names[scenario]) != 0)
		scenario++;
	return (enum workload_scenario)scenario;
}

static const struct workload_profile *find_profile(const char *name)
{
	for (size_t i = 0; i < sizeof(profiles) / sizeof(profiles[0]); i++) {
		if (!strcmp(name, profiles[i].name))
			return &profiles[i];
	}
	return NULL;
}

static void add_version(struct trace *trace, uint32_t model, const char *name, uint32_t weight)
{
	struct trace_version *version = &trace->versions[trace->version_count++];

	snprintf(version->name, sizeof(version->name), "%s", name);
	version->model = model;
	version->rollout_weight = weight;
}

static void add_engine(struct trace *trace, uint32_t model, uint32_t number)
{
	struct trace_engine *engine = &trace->engines[trace->engine_count];

	snprintf(engine->name, sizeof(engine->name), "%.16s-%u", models[model].name, number);
	engine->failure_domain = trace->engine_count++ % trace->domain_count;
	engine->model = model;
	engine->slots = slots[model];
	engine->cold_slots = slots[model] / 4;
	engine->fall_over = slots[model] * 4;
	engine->cache_tokens = 60000;
}

static void add_organisations(struct trace *trace)
{
	trace->organisation_count = 10;
	for (uint32_t i = 0; i < trace->organisation_count; i++) {
		struct trace_organisation *organisation = &trace->organisations[i];

		snprintf(organisation->name, sizeof(organisation->name), "organisation-%u", i);
		organisation->weight = i < 3 ? 2 : 1;
		/* The last one may not use the large model. */
		organisation->allowed_models = (1U << MODEL_COUNT) - 1;
		if (i == trace->organisation_count - 1)
			organisation->allowed_models &= ~(1U << LARGE);
	}
}

static void add_fleet(const struct workload_profile *profile, struct trace *trace)
{
	snprintf(trace->name, sizeof(trace->name), "%s", profile->name);
	trace->instances = 9;
	trace->quality_target_permille = 800;
	trace->link_us = profile->link_us;
	trace->client_us = profile->client_us;
	trace->model_count = MODEL_COUNT;
	memcpy(trace->models, models, sizeof(models));
	while (trace->domain_count < TRACE_DOMAINS_MAX && profile->domains[trace->domain_count]) {
		snprintf(trace->domains[trace->domain_count], TRACE_NAME_BYTES, "%s",
			 profile->domains[trace->domain_count]);
		trace->domain_count++;
	}
	for (; profile->classes[trace->class_count].name; trace->class_count++)
		snprintf(trace->classes[trace->class_count], TRACE_NAME_BYTES, "%s",
			 profile->classes[trace->class_count].name);
	for (uint32_t model = 0; model < MODEL_COUNT; model++) {
		for (uint32_t i = 0; i < profile->engines[model]; i++)
			add_engine(trace, model, i);
	}
	add_version(trace, SMALL, "small/1", 1);
	add_version(trace, MEDIUM, "medium/1", 1);
	add_version(trace, LARGE, "large/1", 3);
	add_version(trace, LARGE, "large/2", 1);
	add_version(trace, SERVICE, "service/1", 1);
	add_organisations(trace);
}

/* The load is skewed: 3 of 10 organisations send 80% of the requests. */
static uint32_t draw_organisation(struct generator *generator)
{
	if (random_below(&generator->random, 100) < 80)
		return random_below(&generator->random, 3);
	return 3 + random_below(&generator->random, generator->trace->organisation_count - 3);
}

/* Organisations differ in how difficult their requests are for the cheaper models. */
static uint32_t pass_permille(const struct class_profile *class, uint32_t organisation, int model)
{
	static const int32_t pass_adjustment_permille[] = {
		0, -150, 60, 0, -250, 40, 0, 80, -100, 0
	};
	int32_t pass = (int32_t) class->pass_permille[model];

	if (model != LARGE)
		pass += pass_adjustment_permille[organisation % 10];
	if (pass < 20)
		pass = 20;
	return (uint32_t)(pass > 985 ? 985 : pass);
}

/* The small and the medium model share a draw, so that the medium model passes mostly where the
 * small one does; the large model has a draw of its own. */
static void draw_scores(struct generator *generator, const struct class_profile *class,
			struct trace_request *request)
{
	uint32_t draw = random_below(&generator->random, PERMILLE);

	for (int model = SMALL; model <= LARGE; model++) {
		if (model == LARGE)
			draw = random_below(&generator->random, PERMILLE);
		request->score_permille[model] =
			draw < pass_permille(class, request->organisation, model) ? PASS_SCORE
										  : FAIL_SCORE;
	}
	request->score_permille[SERVICE] = PERMILLE;
}

static void join_session(struct generator *generator, const struct class_profile *class,
			 struct trace_request *request)
{
	struct session *session =
		&generator->sessions[request->class]
				    [random_below(&generator->random, SESSIONS_PER_CLASS)];

	if (!session->id || session->turns == SESSION_TURNS) {
		session->id = random_next(&generator->random) | 1;
		session->organisation = request->organisation;
		session->turns = 0;
		session->prefix_tokens = class->prefix_tokens;
	}
	session->turns++;
	request->session = session->id;
	request->prefix = session->id;
	request->organisation = session->organisation;
	request->prefix_tokens = session->prefix_tokens;
	request->prompt_tokens =
		session->prefix_tokens + class->prompt_tokens - class->prefix_tokens;
	session->prefix_tokens = request->prompt_tokens + request->tokens;
}

static const struct class_profile *draw_class(struct generator *generator, uint32_t *index)
{
	uint32_t draw = random_below(&generator->random, PERMILLE);

	for (*index = 0; *index + 1 < generator->trace->class_count; ++*index) {
		const struct class_profile *class = &generator->profile->classes[*index];

		if (draw < class->share_permille)
			return class;
		draw -= class->share_permille;
	}
	return &generator->profile->classes[*index];
}

static void add_request(struct generator *generator, uint64_t at_us)
{
	struct trace_request request = { .at_us = at_us };
	const struct class_profile *class = draw_class(generator, &request.class);

	request.organisation = draw_organisation(generator);
	request.tokens =
		(uint32_t)random_lognormal(&generator->random, class->tokens, class->spread) + 1;
	request.prompt_tokens = class->prompt_tokens;
	request.prefix_tokens = class->prefix_tokens;
	if (class->prefix_tokens)
		request.prefix = (uint64_t)(request.class + 1) << 32 | request.organisation;
	if (class->sessions)
		join_session(generator, class, &request);
	request.model = class->service ? SERVICE : LARGE;
	request.deadline_us = at_us + (uint64_t) class->deadline_s * US_PER_S;
	request.priority = class->priority;
	request.luck_permille = random_below(&generator->random, PERMILLE);
	draw_scores(generator, class, &request);
	trace_add_request(generator->trace, &request);
}

/* Requests per second at which the slots of the large model would be busy to @p load_permille, if
 * it ran all model requests alone. */
static double request_rate(const struct workload_profile *profile, uint32_t load_permille)
{
	double busy_s = 0.0;

	for (size_t i = 0; i < TRACE_CLASSES_MAX && profile->classes[i].name; i++) {
		const struct class_profile *class = &profile->classes[i];
		double tokens = class->tokens * exp(class->spread * class->spread / 2);

		if (!class->service)
			busy_s +=
				class->share_permille / 1e3 *
				(tokens * models[LARGE].us_per_token +
				 (double)class->prompt_tokens * models[LARGE].us_per_prompt_token) /
				US_PER_S;
	}
	return load_permille / 1e3 * profile->engines[LARGE] * slots[LARGE] / busy_s;
}

static void add_faults(struct generator *generator)
{
	uint64_t third_us = (uint64_t)generator->options->seconds * US_PER_S / 3;
	struct trace *trace = generator->trace;

	/* Version 3 is large/2; domain 1 is the second one of the profile. */
	switch (generator->options->scenario) {
	case WORKLOAD_BAD_VERSION:
		trace_add_fault(trace, &(struct trace_fault){ third_us, TRACE_VERSION_BAD, 3,
							      BAD_PERMILLE });
		break;
	case WORKLOAD_DOMAIN:
		trace_add_fault(trace, &(struct trace_fault){ third_us, TRACE_DOMAIN_OUT, 1, 0 });
		trace_add_fault(trace,
				&(struct trace_fault){ 2 * third_us, TRACE_DOMAIN_BACK, 1, 0 });
		break;
	case WORKLOAD_COLD:
		for (uint32_t i = 0; i < 4; i++)
			trace_add_fault(
				trace,
				&(struct trace_fault){
					third_us + i * third_us / 4, TRACE_ENGINE_COLD,
					random_below(&generator->random, trace->engine_count), 0 });
		break;
	case WORKLOAD_STEADY:
	case WORKLOAD_SCENARIO_COUNT:
		break;
	}
}

enum dw_status workload_generate(const struct workload_options *options, struct trace *out)
{
	struct generator *generator;
	double rate;

	memset(out, 0, sizeof(*out));
	if (!find_profile(options->name))
		return dw_fail(DW_NOT_FOUND, "unknown workload \"%s\"", options->name);
	generator = calloc(1, sizeof(*generator));
	if (!generator)
		return dw_fail(DW_NO_MEMORY, "out of memory");
	generator->profile = find_profile(options->name);
	generator->options = options;
	generator->trace = out;
	generator->random.state = options->seed;
	add_fleet(generator->profile, out);
	add_faults(generator);
	rate = request_rate(generator->profile, options->load_permille);
	for (double at_s = 0.0;;) {
		at_s -= log(random_unit(&generator->random)) / rate;
		if (at_s >= options->seconds)
			break;
		add_request(generator, (uint64_t)(at_s * US_PER_S));
	}
	free(generator);
	return DW_OK;
}
