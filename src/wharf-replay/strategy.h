/**
 * @file strategy.h
 * The ways of deciding that a replay puts side by side.
 */
#ifndef WHARF_REPLAY_STRATEGY_H
#define WHARF_REPLAY_STRATEGY_H

#include <stdbool.h>
#include <stdint.h>

enum strategy_cascade {
	STRATEGY_BEST_ONLY, /* always the model that was asked for */
	STRATEGY_CHEAPEST_FIRST, /* every cheaper model first */
	STRATEGY_LEARNED /* dw_cascade_choose() */
};

struct strategy {
	const char *name;
	enum strategy_cascade cascade;
	bool decides; /* the library's route, admission, permits and ramp; else round robin */
	bool shares_evidence;
};

enum strategy_id {
	STRATEGY_POLICY, /* the library */
	STRATEGY_BEST, /* round robin, always the best model, no shared evidence */
	STRATEGY_CHEAP, /* round robin, always the cheapest first, no shared evidence */
	STRATEGY_ALONE, /* the library, but each instance on its own evidence */
	STRATEGY_COUNT
};

static const struct strategy strategies[STRATEGY_COUNT] = {
	[STRATEGY_POLICY] = { "policy", STRATEGY_LEARNED, true, true },
	[STRATEGY_BEST] = { "always-best", STRATEGY_BEST_ONLY, false, false },
	[STRATEGY_CHEAP] = { "cheapest-first", STRATEGY_CHEAPEST_FIRST, false, false },
	[STRATEGY_ALONE] = { "own-evidence", STRATEGY_LEARNED, true, false },
};

#endif
