/**
 * @file chat_plan.h
 * Which versions a chat request may run on, and which steps of its model's cascade it shall try.
 */
#ifndef DAEMON_CHAT_PLAN_H
#define DAEMON_CHAT_PLAN_H

#include "dragonflywharfd/chat_request_state.h"

/** Time of a generated token before an upstream's speed is known. */
#define CHAT_GUESSED_TOKEN_US UINT64_C(20000)

/** Ids of the library's tables: of a name, and of a version of a model. */
uint64_t chat_plan_id(const char *name);
uint64_t chat_plan_version_id(const char *model, const char *version);

/** The session's version for the model asked for, from its token; NULL if there is none. */
enum dw_status chat_plan_session_version(struct chat_request *request, const char **version);

/** Chooses the step's version: @p kept if it may go on, else one by roll-out weight. */
enum dw_status chat_plan_choose_version(struct chat_request *request, struct chat_step *step,
					const char *kept);

/** Takes the version that the caller named, or refuses. */
enum dw_status chat_plan_named_version(struct chat_request *request, struct chat_step *step);

uint64_t chat_plan_expected_tokens(const struct chat_request *request);

/** Expected time of a step at the upstreams of its version. */
uint64_t chat_plan_expected_us(const struct chat_request *request, const struct chat_step *step);

/** Fills in the steps of the model's cascade that this request shall try. */
enum dw_status chat_plan_steps(struct chat_request *request, const struct dw_model *model,
			       const char *kept);

#endif
