#include "dragonflywharfd/chat_plan.h"

#include <string.h>

#include <xxhash.h>

#include "dragonflywharfd/dispatcher.h"
#include "dragonflywharfd/upstream_table.h"

#define DEFAULT_EXPECTED_TOKENS 64U

uint64_t chat_plan_name_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint64_t chat_plan_version_id(const char *model, const char *version)
{
	return XXH64(version, strlen(version), chat_plan_name_id(model));
}

static bool accept_version(const struct dw_version *version, bool is_session_version, void *data)
{
	const struct chat_request *request = data;

	return strcmp(version->name, request->excluded_version) != 0 &&
	       !dw_rollout_is_held(request->daemon->rollout,
				   chat_plan_version_id(version->model, version->name));
}

enum dw_status chat_plan_session_version(struct chat_request *request, const char **version)
{
	const char *token = dw_http_header(request->exchange, "x-session-token");
	static struct dw_session_claims claims;
	enum dw_status status;

	*version = request->body.version[0] ? request->body.version : NULL;
	if (!token || *version)
		return DW_OK;
	status = dw_session_token_verify(&request->daemon->session_keys, token,
					 request->organisation, dw_clock_wall_us(), &claims);
	if (status == DW_STALE)
		return DW_OK;
	if (status == DW_OK && strcmp(claims.model, request->body.model) == 0)
		*version = claims.version;
	return status;
}

enum dw_status chat_plan_choose_version(struct chat_request *request, struct chat_step *step,
					const char *session_version)
{
	struct daemon *daemon = request->daemon;
	struct dw_version_filter filter = { .accepts = accept_version, .data = request };
	struct dw_session_choice choice;
	uint64_t random = session_version ? daemon_random(daemon) : request->body.affinity;
	enum dw_status status;

	/* Without a session, the conversation's hash keeps its requests mostly on one version. */
	status = dw_session_choose_version(daemon->ruleset, request->organisation, step->model,
					   session_version, &filter, random, &choice);
	if (status != DW_OK)
		return status;
	snprintf(step->version, sizeof(step->version), "%s", choice.version->name);
	if (choice.outcome == DW_SESSION_MOVED)
		request->session_moved = true;
	return DW_OK;
}

enum dw_status chat_plan_named_version(struct chat_request *request, struct chat_step *step)
{
	enum dw_status status =
		dw_ruleset_version_permitted(request->daemon->ruleset, request->organisation,
					     step->model, request->body.version);

	if (status == DW_OK &&
	    dw_rollout_is_held(request->daemon->rollout,
			       chat_plan_version_id(step->model, request->body.version)))
		return dw_fail(DW_WITHDRAWN,
			       "the version is held because of bad answers or errors");
	snprintf(step->version, sizeof(step->version), "%s", request->body.version);
	return status;
}

uint64_t chat_plan_expected_tokens(const struct chat_request *request)
{
	return request->body.max_tokens ? request->body.max_tokens : DEFAULT_EXPECTED_TOKENS;
}

uint64_t chat_plan_expected_us(const struct chat_request *request, const struct chat_step *step)
{
	struct dispatch_request dispatch = {
		.model = step->model,
		.version = step->version,
		.route = {
			.now_us = dw_clock_now_us(),
			.prompt_tokens = request->body.prompt_tokens,
			.output_tokens = (uint32_t)chat_plan_expected_tokens(request),
		},
	};

	return dispatcher_expected_us(request->daemon->dispatcher, &request->queue_entry,
				      &dispatch);
}

static void estimate_step(struct chat_request *request, const struct chat_step *step,
			  struct dw_cascade_step *out)
{
	struct daemon *daemon = request->daemon;
	const struct dw_version *version =
		dw_ruleset_version(daemon->ruleset, step->model, step->version);
	uint64_t tokens = chat_plan_expected_tokens(request);
	uint64_t now_us = dw_clock_now_us();

	memset(out, 0, sizeof(*out));
	out->model_id = chat_plan_name_id(step->model);
	out->available = version && version->upstream_count > 0;
	out->cost_micros = version ? version->cost_micros_per_1k_tokens * tokens / 1000 + 1 : 0;
	out->latency_us = chat_plan_expected_us(request, step);
	out->pass_rate = dw_cascade_rates_lookup(daemon->cascade_rates, request->organisation_id,
						 out->model_id, request->work_class, now_us);
}

/* Adds the rating's time to a step that isn't the last; such a step also needs an upstream in
 * service now. */
static void add_rating_time(const struct chat_request *request, struct dw_cascade_step *step)
{
	if (step->latency_us == UINT64_MAX) {
		step->available = false;
		step->latency_us = 0;
	}
	step->latency_us += request->daemon->mean_rating_us;
}

enum dw_status chat_plan_steps(struct chat_request *request, const struct dw_model *model,
			       const char *session_version)
{
	struct dw_cascade_step estimates[DW_CASCADE_STEPS_MAX];
	struct chat_step candidates[DW_CASCADE_STEPS_MAX];
	struct dw_cascade_request cascade_request = {
		.now_us = dw_clock_now_us(),
		.deadline_us = request->deadline_us,
		.random = daemon_random(request->daemon),
		.latency_cost_micros_per_s = DW_CASCADE_DEFAULT_LATENCY_COST_MICROS_PER_S,
	};
	struct dw_cascade_plan plan;
	enum dw_status status;
	size_t count = 0;

	memset(candidates, 0, sizeof(candidates));
	for (size_t i = 0; i < model->cascade_count && count + 1 < DW_CASCADE_STEPS_MAX; i++) {
		snprintf(candidates[count].model, sizeof(candidates[count].model), "%s",
			 model->cascade[i]);
		if (request->body.version[0] == '\0' && request->daemon->settings.rater.port != 0 &&
		    chat_plan_choose_version(request, &candidates[count], NULL) == DW_OK)
			count++;
	}
	snprintf(candidates[count].model, sizeof(candidates[count].model), "%s", model->name);
	status = request->body.version[0]
			 ? chat_plan_named_version(request, &candidates[count])
			 : chat_plan_choose_version(request, &candidates[count], session_version);
	if (status != DW_OK)
		return status;
	count++;
	for (size_t i = 0; i < count; i++)
		estimate_step(request, &candidates[i], &estimates[i]);
	for (size_t i = 0; i + 1 < count; i++)
		add_rating_time(request, &estimates[i]);
	if (estimates[count - 1].latency_us == UINT64_MAX)
		estimates[count - 1].latency_us = 0;
	status = dw_cascade_choose(&cascade_request, estimates, count, &plan);
	if (status != DW_OK)
		return dw_fail(status, "no upstream in service for model %s", model->name);
	for (size_t i = 0; i < plan.count; i++)
		request->steps[i] = candidates[plan.steps[i]];
	request->step_count = plan.count;
	return DW_OK;
}
