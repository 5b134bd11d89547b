/**
 * @file strategy.h
 * The strategies that a replay compares.
 */
#ifndef WHARF_REPLAY_STRATEGY_H
#define WHARF_REPLAY_STRATEGY_H

#include <stdbool.h>
#include <stdint.h>

enum strategy_cascade {
	CASCADE_BEST_ONLY, /* always the requested model */
	CASCADE_CHEAPEST_FIRST, /* all cheaper models first, in order of cost */
	CASCADE_LEARNED /* by dw_cascade_choose() */
};

struct strategy {
	const char *name;
	enum strategy_cascade cascade;
	bool uses_library; /* routing, admission, permits and slow start of the library; else round robin */
	bool shares_evidence; /* instances share their evidence on versions */
};

enum strategy_id {
	STRATEGY_POLICY, /* the library */
	STRATEGY_ALWAYS_BEST, /* round robin, requested model only, no shared evidence */
	STRATEGY_CHEAPEST_FIRST, /* round robin, cheapest model first, no shared evidence */
	STRATEGY_OWN_EVIDENCE, /* the library, without shared evidence */
	STRATEGY_COUNT
};

static const struct strategy strategies[STRATEGY_COUNT] = {
	[STRATEGY_POLICY] = { "policy", CASCADE_LEARNED, true, true },
	[STRATEGY_ALWAYS_BEST] = { "always-best", CASCADE_BEST_ONLY, false, false },
	[STRATEGY_CHEAPEST_FIRST] = { "cheapest-first", CASCADE_CHEAPEST_FIRST, false, false },
	[STRATEGY_OWN_EVIDENCE] = { "own-evidence", CASCADE_LEARNED, true, false },
};

#endif
