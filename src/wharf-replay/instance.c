#include "wharf-replay/instance.h"

#include <stdlib.h>

#include <xxhash.h>

#define QUEUE_CAPACITY 512
#define PASS_RATE_ENTRIES 1024
#define DEFAULT_TOKENS 256
#define EWMA_SHIFT 4
#define VERSION_ID_BASE 100
#define INSTANCE_ID_BASE 1000

uint64_t instance_version_id(uint32_t version)
{
	return VERSION_ID_BASE + version;
}

static void init_admission(struct instance *instance, const struct trace *trace)
{
	uint32_t slots[TRACE_MODELS_MAX] = { 0 };

	for (uint32_t i = 0; i < trace->engine_count; i++)
		slots[trace->engines[i].model] += trace->engines[i].slots;
	for (uint32_t model = 0; model < trace->model_count; model++)
		dw_admission_set_pool(instance->admission, model,
				      (slots[model] + trace->instances - 1) / trace->instances);
	for (uint32_t i = 0; i < trace->organisation_count; i++)
		dw_admission_set_organisation(instance->admission, i,
					      trace->organisations[i].weight, 0);
}

void instance_init(struct instance *instance, const struct trace *trace,
		   const struct strategy *strategy, uint32_t index)
{
	struct dw_rollout_policy policy = dw_rollout_policy_default();

	/* The rate of false alarms is divided among the instances that share their evidence; an
	 * instance that holds versions on its own evidence has the whole rate. */
	policy.instances = strategy->shares_evidence ? trace->instances : 1;
	instance->failure_domain = index % trace->domain_count;
	instance->rates = dw_cascade_rates_new(PASS_RATE_ENTRIES);
	instance->rollout = dw_rollout_new(
		&policy, (struct dw_member_key){ INSTANCE_ID_BASE + index, INSTANCE_ID_BASE });
	instance->admission = dw_admission_new(QUEUE_CAPACITY);
	if (!instance->rates || !instance->rollout || !instance->admission)
		abort();
	init_admission(instance, trace);
	for (uint32_t i = 0; i < trace->engine_count; i++)
		instance->loads[i].slots = trace->engines[i].slots;
	for (uint32_t i = 0; i < trace->version_count; i++)
		dw_rollout_set_version(instance->rollout, instance_version_id(i),
				       1 + trace->versions[i].model, 0);
}

void instance_free(struct instance *instance)
{
	dw_cascade_rates_free(instance->rates);
	dw_rollout_free(instance->rollout);
	dw_admission_free(instance->admission);
}

uint32_t instance_choose_version(const struct instance *instance, const struct trace *trace,
				 const struct trace_request *request, uint32_t model,
				 uint32_t excluded_version)
{
	uint64_t key = request->session ? request->session : request->at_us;
	uint32_t chosen = TRACE_VERSIONS_MAX;
	double best = 0.0;

	/* Weighted rendezvous hashing: when a version is held, only its own sessions move. */
	for (uint32_t i = 0; i < trace->version_count; i++) {
		const struct trace_version *version = &trace->versions[i];
		double draw;

		if (version->model != model || i == excluded_version ||
		    dw_rollout_is_held(instance->rollout, instance_version_id(i)))
			continue;
		/* Uniform in [0, 1): 53 bits of the hash, divided by 2^53. */
		draw = (double)(XXH64(&key, sizeof(key), i) >> 11) / 9007199254740992.0;
		draw = version->rollout_weight / (1.0 - draw);
		if (draw > best) {
			best = draw;
			chosen = i;
		}
	}
	return chosen;
}

bool instance_rates_before_release(const struct instance *instance, const struct trace *trace,
				   uint32_t version)
{
	if (!dw_rollout_is_watched(instance->rollout, instance_version_id(version)))
		return false;
	for (uint32_t i = 0; i < trace->version_count; i++) {
		if (i != version && trace->versions[i].model == trace->versions[version].model &&
		    !dw_rollout_is_held(instance->rollout, instance_version_id(i)))
			return true;
	}
	return false;
}

uint64_t instance_work_class_of(const struct trace *trace, const struct trace_request *request)
{
	if (trace->models[request->model].service)
		return 0;
	return dw_cascade_work_class(request->prompt_tokens, request->session != 0);
}

uint32_t instance_expected_tokens(const struct instance *instance, const struct trace *trace,
				  const struct trace_request *request)
{
	uint64_t tokens = instance->mean_tokens[instance_work_class_of(trace, request)];

	if (trace->models[request->model].service)
		return 1;
	return tokens ? (uint32_t)(tokens >> EWMA_SHIFT) : DEFAULT_TOKENS;
}

void instance_learn_tokens(struct instance *instance, const struct trace *trace,
			   const struct trace_request *request)
{
	uint64_t *tokens = &instance->mean_tokens[instance_work_class_of(trace, request)];

	if (!*tokens)
		*tokens = (uint64_t)request->tokens << EWMA_SHIFT;
	else
		*tokens += request->tokens - (*tokens >> EWMA_SHIFT);
}
