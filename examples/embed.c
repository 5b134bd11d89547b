/**
 * @file embed.c
 * Example of embedding the decision library: checking permissions, acquiring a permit for an
 * upstream and choosing an upstream.
 *
 * The library does no I/O and reads no clock: the program passes time and random numbers in, and
 * carries out the decisions. Exits with 0 if each step has the printed result.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/route.h>
#include <dragonflywharf/ruleset.h>
#include <dragonflywharf/limiter.h>

#define NOW_US UINT64_C(1000000)
#define ENGINE_ID UINT64_C(42)
#define ENGINE_LIMIT 4
#define ENGINE_COLD_LIMIT 1

static void require(bool condition, const char *what)
{
	printf("%-60s %s\n", what, condition ? "as expected" : "NOT AS EXPECTED");
	if (!condition)
		exit(1);
}

/* Packs an organisation that may use the model "large". */
static size_t pack_organisation(uint8_t *out)
{
	static char *allowed[] = { "large" };
	Dragonflywharf__Organisation organisation = DRAGONFLYWHARF__ORGANISATION__INIT;
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;

	organisation.name = "atlas";
	organisation.n_allowed = 1;
	organisation.allowed = allowed;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION;
	entity.organisation = &organisation;
	return dragonflywharf__entity__pack(&entity, out);
}

static size_t pack_version(uint8_t *out)
{
	Dragonflywharf__Version version = DRAGONFLYWHARF__VERSION__INIT;
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;

	version.model = "large";
	version.name = "1";
	version.rollout_weight = 1;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_VERSION;
	entity.version = &version;
	return dragonflywharf__entity__pack(&entity, out);
}

static void show_permissions(void)
{
	struct dw_ruleset *ruleset = dw_ruleset_new();
	uint8_t organisation[256];
	uint8_t version[256];
	struct dw_ruleset_item items[] = {
		{ .key = "organisation/atlas", .mod_revision = 1, .bytes = organisation },
		{ .key = "version/large/1", .mod_revision = 2, .bytes = version },
	};
	struct dw_ruleset_result result;

	items[0].len = pack_organisation(organisation);
	items[1].len = pack_version(version);
	require(dw_ruleset_apply_snapshot(ruleset, 2, items, 2, &result) == DW_OK,
		"a configuration snapshot is applied");
	require(dw_ruleset_version_permitted(ruleset, "atlas", "large", "1") == DW_OK,
		"the organisation may use the version");
	require(dw_ruleset_version_permitted(ruleset, "other", "large", "1") != DW_OK,
		"an unknown organisation may not use it");
	dw_ruleset_free(ruleset);
}

static void show_permit(void)
{
	struct dw_member_key self = { .instance_id = 1, .incarnation = 1 };
	struct dw_limiter *limiter = dw_limiter_new(self);
	struct dw_roster roster = { .epoch = 1, .member_count = 1 };
	struct dw_permit permit;
	struct dw_permit second;

	roster.members[0].key = self;
	snprintf(roster.members[0].name, sizeof(roster.members[0].name), "embedder");
	require(dw_limiter_set_roster(limiter, &roster, NOW_US) == DW_OK,
		"the roster, the list of members, is set");
	dw_limiter_set_upstream(limiter, ENGINE_ID, ENGINE_LIMIT, ENGINE_COLD_LIMIT);
	require(dw_limiter_acquire(limiter, ENGINE_ID, NOW_US, &permit) == DW_OK,
		"a cold engine accepts its first request");
	require(dw_limiter_acquire(limiter, ENGINE_ID, NOW_US, &second) == DW_OVERLOADED,
		"a second request is refused while the engine is cold");
	dw_limiter_release(limiter, &permit, NOW_US);
	dw_limiter_free(limiter);
}

static void show_route(void)
{
	struct dw_upstream_load busy = { .in_flight = 3, .slots = ENGINE_LIMIT };
	struct dw_upstream_load idle = { .slots = ENGINE_LIMIT };
	struct dw_route_candidate candidates[] = {
		{ .upstream_id = 1, .limit = ENGINE_LIMIT, .permits = 1, .load = &busy },
		{ .upstream_id = 2, .limit = ENGINE_LIMIT, .permits = 4, .load = &idle },
	};
	struct dw_route_policy policy = dw_route_policy_default();
	struct dw_route_request request = { .now_us = NOW_US, .output_tokens = 100, .random = 7 };
	struct dw_route_choice choice;

	policy.instances = 1;
	require(dw_route_choose(&policy, &request, candidates, 2, &choice) == DW_OK &&
			candidates[choice.index].upstream_id == 2,
		"the idle engine is chosen over the busy one");
}

int main(void)
{
	show_permissions();
	show_permit();
	show_route();
	return 0;
}
