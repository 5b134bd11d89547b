/**
 * @file instance.h
 * Simulates a daemon instance: the state that it keeps and learns in the library's structures.
 */
#ifndef WHARF_REPLAY_INSTANCE_H
#define WHARF_REPLAY_INSTANCE_H

#include <dragonflywharf/admission.h>
#include <dragonflywharf/cascade.h>
#include <dragonflywharf/rollout.h>
#include <dragonflywharf/upstream_load.h>

#include "wharf-replay/strategy.h"
#include "wharf-replay/trace.h"

#define INSTANCES_MAX TRACE_INSTANCES_MAX
#define INSTANCE_WORK_CLASSES 65

struct instance {
	uint32_t failure_domain;
	struct dw_upstream_load loads[TRACE_ENGINES_MAX];
	struct dw_cascade_rates *rates;
	struct dw_rollout *rollout;
	struct dw_admission *admission;
	uint32_t next_engine[TRACE_MODELS_MAX]; /* for round robin */
	/* Moving average of generated tokens by work class, times 16; [0] is for services. */
	uint64_t mean_tokens[INSTANCE_WORK_CLASSES];
};

void instance_init(struct instance *instance, const struct trace *trace,
		   const struct strategy *strategy, uint32_t index);
void instance_free(struct instance *instance);

/* Returns the id that the library's structures have for a version of the trace. */
uint64_t instance_version_id(uint32_t version);

/* Chooses a version by the roll-out weights and a hash of the session, or of the request if it has
 * no session. Versions that are held and @p excluded_version are left out. Returns
 * TRACE_VERSIONS_MAX if there is none. */
uint32_t instance_choose_version(const struct instance *instance, const struct trace *trace,
				 const struct trace_request *request, uint32_t model,
				 uint32_t excluded_version);

/* True if answers of this version are to be rated before release: it is watched, and another
 * version could run the request again if the answer is bad. */
bool instance_rates_before_release(const struct instance *instance, const struct trace *trace,
				   uint32_t version);

/* The work class that the library learns pass rates for; 0 for a service. */
uint64_t instance_work_class_of(const struct trace *trace, const struct trace_request *request);

/* Expected number of generated tokens. */
uint32_t instance_expected_tokens(const struct instance *instance, const struct trace *trace,
				  const struct trace_request *request);

/* Updates the moving average with the tokens of an answer. */
void instance_learn_tokens(struct instance *instance, const struct trace *trace,
			   const struct trace_request *request);

#endif
