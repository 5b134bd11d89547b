/**
 * @file bench_ruleset.c
 * Measures the memory use and the times of apply and lookup of a ruleset of the size that the
 * design is based on: 12,000 engines, 27 failure domains, 9 models with 3 versions each and 1,000
 * organisations.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/ruleset.h>

#include "base/clock.h"

#define ENGINES 12000
#define ORGANISATIONS 1000
#define DOMAINS 27
#define MODELS 9
#define VERSIONS 3
#define APPLIES 200
#define LOOKUPS 1000000

static uint64_t revision;

static void put(struct dw_ruleset *ruleset, Dragonflywharf__Entity *entity)
{
	size_t len = dragonflywharf__entity__get_packed_size(entity);
	uint8_t *bytes = malloc(len + 1);
	char key[DW_ENTITY_KEY_BYTES];
	struct dw_ruleset_result result;
	struct dw_ruleset_item item = { .key = key, .bytes = bytes, .len = len };

	dragonflywharf__entity__pack(entity, bytes);
	dw_entity_key(entity, key);
	item.mod_revision = ++revision;
	if (dw_ruleset_apply_delta(ruleset, revision - 1, revision, &item, 1, &result) != DW_OK ||
	    result.applied != 1)
		abort();
	free(bytes);
}

static void put_engine(struct dw_ruleset *ruleset, int index, uint32_t limit)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Upstream upstream = DRAGONFLYWHARF__UPSTREAM__INIT;
	char name[32], domain[32], served[2][32];
	char *serves[2] = { served[0], served[1] };

	snprintf(name, sizeof(name), "engine-%05d", index);
	snprintf(domain, sizeof(domain), "domain-%02d", index % DOMAINS);
	snprintf(served[0], sizeof(served[0]), "model-%d/v%d", index % MODELS, index % VERSIONS);
	snprintf(served[1], sizeof(served[1]), "model-%d/v%d", index % MODELS,
		 (index + 1) % VERSIONS);
	upstream.name = name;
	upstream.ip = (char *)"10.100.100.100";
	upstream.port = 8000;
	upstream.failure_domain = domain;
	upstream.n_serves = 2;
	upstream.serves = serves;
	upstream.limit = limit;
	upstream.cold_limit = 2;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM;
	entity.upstream = &upstream;
	put(ruleset, &entity);
}

static void put_organisation(struct dw_ruleset *ruleset, int index)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Organisation organisation = DRAGONFLYWHARF__ORGANISATION__INIT;
	uint8_t hash[DW_KEY_HASH_BYTES] = { (uint8_t)index, (uint8_t)(index >> 8) };
	ProtobufCBinaryData hashes = { sizeof(hash), hash };
	char *allowed[4] = { (char *)"model-1", (char *)"model-2/v0", (char *)"model-3",
			     (char *)"model-4/v2" };
	char name[32];

	snprintf(name, sizeof(name), "organisation-%04d", index);
	organisation.name = name;
	organisation.n_key_hashes = 1;
	organisation.key_hashes = &hashes;
	organisation.n_allowed = 4;
	organisation.allowed = allowed;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION;
	entity.organisation = &organisation;
	put(ruleset, &entity);
}

static void put_version(struct dw_ruleset *ruleset, int model, int version, uint32_t weight)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Version one = DRAGONFLYWHARF__VERSION__INIT;
	char model_name[32], name[32];

	snprintf(model_name, sizeof(model_name), "model-%d", model);
	snprintf(name, sizeof(name), "v%d", version);
	one.model = model_name;
	one.name = name;
	one.rollout_weight = weight;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_VERSION;
	entity.version = &one;
	put(ruleset, &entity);
}

static void put_model(struct dw_ruleset *ruleset, int model)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__Model one = DRAGONFLYWHARF__MODEL__INIT;
	char name[32];

	snprintf(name, sizeof(name), "model-%d", model);
	one.name = name;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_MODEL;
	entity.model = &one;
	put(ruleset, &entity);
}

static void put_domain(struct dw_ruleset *ruleset, int domain, bool drained)
{
	Dragonflywharf__Entity entity = DRAGONFLYWHARF__ENTITY__INIT;
	Dragonflywharf__FailureDomain one = DRAGONFLYWHARF__FAILURE_DOMAIN__INIT;
	char name[32];

	snprintf(name, sizeof(name), "domain-%02d", domain);
	one.name = name;
	one.state = drained ? DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED
			    : DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_IN_SERVICE;
	entity.kind_case = DRAGONFLYWHARF__ENTITY__KIND_FAILURE_DOMAIN;
	entity.failure_domain = &one;
	put(ruleset, &entity);
}

static void append_item(const struct dw_ruleset_item *item, void *data)
{
	struct dw_ruleset_item **at = data;

	*(*at)++ = *item;
}

/* Measures how long a new instance takes to apply the whole configuration in one message. */
static struct dw_ruleset *boot(const struct dw_ruleset *from, double *ms)
{
	struct dw_ruleset_item *items = calloc(dw_ruleset_count(from) + 1, sizeof(*items));
	struct dw_ruleset_item *end = items;
	struct dw_ruleset *ruleset = dw_ruleset_new();
	struct dw_ruleset_result result;
	uint64_t start_us;
	bool snapshot;

	if (!items || !ruleset)
		abort();
	dw_ruleset_items_since(from, 0, append_item, &end, &snapshot);
	start_us = dw_clock_now_us();
	if (dw_ruleset_apply_delta(ruleset, 0, dw_ruleset_revision(from), items,
				   (size_t)(end - items), &result) != DW_OK)
		abort();
	*ms = (double)(dw_clock_now_us() - start_us) / 1e3;
	free(items);
	return ruleset;
}

static double lookup_ns(const struct dw_ruleset *ruleset)
{
	uint8_t hash[DW_KEY_HASH_BYTES] = { 0 };
	uint64_t start_us = dw_clock_now_us();
	uint64_t permitted = 0;

	for (int i = 0; i < LOOKUPS; i++) {
		const struct dw_organisation *organisation;

		hash[0] = (uint8_t)i;
		organisation = dw_ruleset_authenticate(ruleset, hash);
		permitted += dw_ruleset_version_permitted(ruleset, organisation->name, "model-1",
							  "v1") == DW_OK;
	}
	if (permitted != LOOKUPS)
		abort();
	return (double)(dw_clock_now_us() - start_us) * 1e3 / LOOKUPS;
}

int main(void)
{
	struct dw_ruleset *ruleset = dw_ruleset_new();
	struct dw_ruleset *booted;
	double apply_us[4], boot_ms;
	uint64_t start_us;
	size_t heap_bytes;

	for (int i = 0; i < DOMAINS; i++)
		put_domain(ruleset, i, false);
	for (int i = 0; i < ORGANISATIONS; i++)
		put_organisation(ruleset, i);
	for (int i = 0; i < MODELS * VERSIONS; i++) {
		put_model(ruleset, i % MODELS);
		put_version(ruleset, i % MODELS, i / MODELS, 1);
	}
	start_us = dw_clock_now_us();
	for (int i = 0; i < ENGINES; i++)
		put_engine(ruleset, i, 8);
	fprintf(stderr, "engines applied one by one in %.1f s\n",
		(double)(dw_clock_now_us() - start_us) / 1e6);
	heap_bytes = mallinfo2().uordblks;
	booted = boot(ruleset, &boot_ms);
	heap_bytes = mallinfo2().uordblks - heap_bytes;
	start_us = dw_clock_now_us();
	for (int i = 0; i < APPLIES; i++)
		put_engine(ruleset, i, 16);
	apply_us[0] = (double)(dw_clock_now_us() - start_us) / APPLIES;
	start_us = dw_clock_now_us();
	for (int i = 0; i < APPLIES; i++)
		put_version(ruleset, 1, i % VERSIONS, (uint32_t)i);
	apply_us[1] = (double)(dw_clock_now_us() - start_us) / APPLIES;
	start_us = dw_clock_now_us();
	for (int i = 0; i < APPLIES; i++)
		put_organisation(ruleset, i);
	apply_us[2] = (double)(dw_clock_now_us() - start_us) / APPLIES;
	start_us = dw_clock_now_us();
	for (int i = 0; i < APPLIES; i++)
		put_domain(ruleset, i % DOMAINS, i % 2);
	apply_us[3] = (double)(dw_clock_now_us() - start_us) / APPLIES;
	printf("{\"bench\":\"ruleset\",\"keys\":%zu,\"packed_bytes\":%zu,\"heap_bytes\":%zu,"
	       "\"boot_ms\":%.1f,\"apply_upstream_us\":%.0f,\"apply_version_us\":%.0f,"
	       "\"apply_organisation_us\":%.0f,\"apply_failure_domain_us\":%.0f,"
	       "\"authenticate_and_permit_ns\":%.0f}\n",
	       dw_ruleset_count(booted), dw_ruleset_size_bytes(booted), heap_bytes, boot_ms,
	       apply_us[0], apply_us[1], apply_us[2], apply_us[3], lookup_ns(ruleset));
	dw_ruleset_free(booted);
	dw_ruleset_free(ruleset);
	return 0;
}
