#include <dragonflywharf/entity_set_check.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* An entity that passed dw_entity_check(). */
struct known {
	const Dragonflywharf__Entity *entity;
	const char *key; /**< owned by the report */
	size_t index;
	bool is_in_force; /**< only the list in force has it */
	bool is_used; /**< by a live version or an upstream in service */
	bool has_cost;
	uint64_t lowest_cost; /**< models: of the live versions, per 1,000 tokens */
	UT_hash_handle hh;
};

struct key_hash {
	const uint8_t *bytes;
	const struct known *owner;
	UT_hash_handle hh;
};

/* The entities of a list, or those of two lists of which the first takes precedence. */
struct lookup {
	struct known *by_key;
	struct dw_check_report *report;
};

static void *allocate(size_t size)
{
	void *memory = calloc(1, size);

	if (!memory)
		abort();
	return memory;
}

static struct dw_check_path path_of(const struct known *known, enum dw_check_field field)
{
	struct dw_check_path path = {
		.section = DW_CHECK_ENTITIES,
		.index = known->index,
		.name = known->key,
		.field = field,
		.is_in_force = known->is_in_force,
	};

	return path;
}

static struct known *find(const struct lookup *lookup, const char *key)
{
	struct known *known;

	HASH_FIND_STR(lookup->by_key, key, known);
	return known;
}

static struct known *find_kind(const struct lookup *lookup, const char *kind, const char *name)
{
	char key[DW_ENTITY_KEY_BYTES];

	snprintf(key, sizeof(key), "%s/%s", kind, name);
	return find(lookup, key);
}

static void free_lookup(struct lookup *lookup)
{
	struct known *known = lookup->by_key;
	struct known *next;

	HASH_CLEAR(hh, lookup->by_key);
	for (; known; known = next) {
		next = known->hh.next;
		free(known);
	}
}

/* Adds an entity. Of several with the same key the last one counts, as when they are written in
 * order. @return the entity that had the key before, or NULL. */
static const struct known *add_entity(struct lookup *lookup, const Dragonflywharf__Entity *entity,
				      const char *key, size_t index, bool is_in_force)
{
	struct known *known = find(lookup, key);
	bool is_repeated = known != NULL;

	if (!known) {
		known = allocate(sizeof(*known));
		known->key = dw_check_report_copy(lookup->report, key);
		HASH_ADD_KEYPTR(hh, lookup->by_key, known->key, strlen(known->key), known);
	}
	known->entity = entity;
	known->index = index;
	known->is_in_force = is_in_force;
	return is_repeated ? known : NULL;
}

static void add_checked(struct lookup *lookup, const Dragonflywharf__Entity *entity, size_t index)
{
	char key[DW_ENTITY_KEY_BYTES];
	struct dw_check_path path = { .section = DW_CHECK_ENTITIES, .index = index };
	const struct known *known;
	size_t earlier;

	if (dw_entity_key(entity, key) == DW_OK)
		path.name = dw_check_report_copy(lookup->report, key);
	if (dw_entity_check(entity) != DW_OK) {
		dw_check_report_add_detail(lookup->report, DW_FINDING_ENTITY_INVALID, path,
					   dw_last_message());
		return;
	}
	known = find(lookup, key);
	earlier = known ? known->index : 0;
	if (add_entity(lookup, entity, key, index, false))
		dw_check_report_add_numbers(lookup->report, DW_FINDING_ENTITY_REPEATED, path,
					    (double)earlier, 0);
}

/* Adds the entities in force that the lookup doesn't have yet. */
static void add_in_force(struct lookup *lookup, const struct dw_entity_set *current)
{
	char key[DW_ENTITY_KEY_BYTES];

	for (size_t i = 0; current && i < current->count; i++) {
		const Dragonflywharf__Entity *entity = current->entities[i];
		struct known *known;

		if (!entity || dw_entity_check(entity) != DW_OK ||
		    dw_entity_key(entity, key) != DW_OK)
			continue;
		known = find(lookup, key);
		if (!known || known->is_in_force)
			add_entity(lookup, entity, key, i, true);
	}
}

static void mark_model(const struct lookup *lookup, const Dragonflywharf__Version *version)
{
	struct known *model = find_kind(lookup, "model", version->model);
	uint64_t cost = version->cost_micros_per_1k_tokens;

	if (!model || version->state != DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE)
		return;
	model->is_used = true;
	if (!model->has_cost || cost < model->lowest_cost)
		model->lowest_cost = cost;
	model->has_cost = true;
}

static void mark_served(const struct lookup *lookup, const Dragonflywharf__Upstream *upstream)
{
	const struct known *domain = find_kind(lookup, "failure_domain", upstream->failure_domain);
	struct known *service = find_kind(lookup, "service", upstream->service);

	if (upstream->state != DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE ||
	    (domain &&
	     domain->entity->failure_domain->state == DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED))
		return;
	if (service)
		service->is_used = true;
	for (size_t i = 0; i < upstream->n_serves; i++) {
		struct known *version = find_kind(lookup, "version", upstream->serves[i]);

		if (version)
			version->is_used = true;
	}
}

static void mark_used(const struct lookup *lookup)
{
	for (const struct known *known = lookup->by_key; known; known = known->hh.next) {
		if (known->entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_VERSION)
			mark_model(lookup, known->entity->version);
		else if (known->entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM)
			mark_served(lookup, known->entity->upstream);
	}
}

static void check_reference(const struct lookup *lookup, struct dw_check_path path,
			    const char *kind, const char *name)
{
	char key[DW_ENTITY_KEY_BYTES];

	if (find_kind(lookup, kind, name))
		return;
	snprintf(key, sizeof(key), "%s/%s", kind, name);
	dw_check_report_add(lookup->report, DW_FINDING_REFERENCE_UNKNOWN, path)->subject =
		dw_check_report_copy(lookup->report, key);
}

static void check_key_hashes(const struct lookup *lookup, const struct known *known,
			     struct key_hash **hashes)
{
	const Dragonflywharf__Organisation *organisation = known->entity->organisation;

	for (size_t i = 0; i < organisation->n_key_hashes; i++) {
		const uint8_t *bytes = organisation->key_hashes[i].data;
		struct key_hash *hash;

		HASH_FIND(hh, *hashes, bytes, DW_KEY_HASH_BYTES, hash);
		if (hash && hash->owner != known)
			dw_check_report_add(lookup->report, DW_FINDING_KEY_SHARED,
					    path_of(known, DW_CHECK_NO_FIELD))
				->subject = hash->owner->key;
		if (hash)
			continue;
		hash = allocate(sizeof(*hash));
		hash->bytes = bytes;
		hash->owner = known;
		HASH_ADD_KEYPTR(hh, *hashes, hash->bytes, DW_KEY_HASH_BYTES, hash);
	}
}

static void check_organisation(const struct lookup *lookup, const struct known *known)
{
	const Dragonflywharf__Organisation *organisation = known->entity->organisation;
	struct dw_check_path path = path_of(known, DW_CHECK_NO_FIELD);

	if (organisation->n_key_hashes == 0)
		dw_check_report_add(lookup->report, DW_FINDING_WITHOUT_KEYS, path);
	if (organisation->n_allowed == 0 && organisation->n_allowed_services == 0)
		dw_check_report_add(lookup->report, DW_FINDING_WITHOUT_PERMISSIONS, path);
	for (size_t i = 0; i < organisation->n_allowed; i++) {
		const char *allowed = organisation->allowed[i];

		if (strcmp(allowed, "*") != 0)
			check_reference(lookup, path, strchr(allowed, '/') ? "version" : "model",
					allowed);
	}
	for (size_t i = 0; i < organisation->n_allowed_services; i++) {
		if (strcmp(organisation->allowed_services[i], "*") != 0)
			check_reference(lookup, path, "service", organisation->allowed_services[i]);
	}
}

static void check_model(const struct lookup *lookup, const struct known *known)
{
	const Dragonflywharf__Model *model = known->entity->model;
	struct dw_check_path path = path_of(known, DW_CHECK_NO_FIELD);
	const struct known *smaller = NULL;

	if (!known->is_used)
		dw_check_report_add(lookup->report, DW_FINDING_MODEL_WITHOUT_VERSIONS, path);
	path.field = DW_CHECK_CASCADE;
	for (size_t i = 0; i <= model->n_cascade; i++) {
		const char *name = i < model->n_cascade ? model->cascade[i] : model->name;
		const struct known *step = find_kind(lookup, "model", name);
		struct dw_finding *finding;

		check_reference(lookup, path, "model", name);
		if (step && smaller && step->has_cost && smaller->has_cost &&
		    step->lowest_cost < smaller->lowest_cost) {
			finding = dw_check_report_add_numbers(lookup->report, DW_FINDING_COST_FALLS,
							      path, (double)smaller->lowest_cost,
							      (double)step->lowest_cost);
			finding->subject = smaller->entity->model->name;
			finding->other = step->entity->model->name;
		}
		smaller = step;
	}
}

static void check_upstream(const struct lookup *lookup, const struct known *known)
{
	const Dragonflywharf__Upstream *upstream = known->entity->upstream;
	struct dw_check_path path = path_of(known, DW_CHECK_NO_FIELD);

	check_reference(lookup, path, "failure_domain", upstream->failure_domain);
	if (upstream->kind == DRAGONFLYWHARF__UPSTREAM_KIND__UPSTREAM_SERVICE)
		check_reference(lookup, path, "service", upstream->service);
	for (size_t i = 0; i < upstream->n_serves; i++)
		check_reference(lookup, path, "version", upstream->serves[i]);
}

static void check_known(const struct lookup *lookup, const struct known *known)
{
	struct dw_check_path path = path_of(known, DW_CHECK_NO_FIELD);

	switch (known->entity->kind_case) {
	case DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION:
		check_organisation(lookup, known);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_MODEL:
		check_model(lookup, known);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_VERSION:
		check_reference(lookup, path, "model", known->entity->version->model);
		if (!known->is_used &&
		    known->entity->version->state == DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE)
			dw_check_report_add(lookup->report, DW_FINDING_WITHOUT_UPSTREAMS, path);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM:
		check_upstream(lookup, known);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_SERVICE:
		if (!known->is_used)
			dw_check_report_add(lookup->report, DW_FINDING_WITHOUT_UPSTREAMS, path);
		break;
	default:
		break;
	}
}

void dw_entity_set_check(const struct dw_entity_set *set, const struct dw_entity_set *current,
			 struct dw_check_report *report)
{
	struct lookup lookup = { .report = report };
	struct key_hash *hashes = NULL;
	struct key_hash *hash;
	struct key_hash *next;

	for (size_t i = 0; i < set->count; i++) {
		if (set->entities[i])
			add_checked(&lookup, set->entities[i], i);
	}
	add_in_force(&lookup, current);
	mark_used(&lookup);
	for (const struct known *known = lookup.by_key; known; known = known->hh.next) {
		if (!known->is_in_force)
			check_known(&lookup, known);
		if (known->entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION)
			check_key_hashes(&lookup, known, &hashes);
	}
	hash = hashes;
	HASH_CLEAR(hh, hashes);
	for (; hash; hash = next) {
		next = hash->hh.next;
		free(hash);
	}
	free_lookup(&lookup);
}

/* Packs an entity without the id of the change that wrote it. */
static uint8_t *pack(const Dragonflywharf__Entity *entity, size_t *len)
{
	Dragonflywharf__Entity copy = *entity;
	uint8_t *bytes;

	copy.change_id = "";
	*len = dragonflywharf__entity__get_packed_size(&copy);
	bytes = allocate(*len + 1);
	dragonflywharf__entity__pack(&copy, bytes);
	return bytes;
}

static bool is_same_entity(const Dragonflywharf__Entity *left, const Dragonflywharf__Entity *right)
{
	size_t left_len, right_len;
	uint8_t *left_bytes = pack(left, &left_len);
	uint8_t *right_bytes = pack(right, &right_len);
	bool is_same = left_len == right_len && memcmp(left_bytes, right_bytes, left_len) == 0;

	free(left_bytes);
	free(right_bytes);
	return is_same;
}

static bool has_text(char *const *texts, size_t count, const char *text)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(texts[i], text) == 0)
			return true;
	}
	return false;
}

static void add_removed_texts(struct dw_check_report *report, enum dw_finding_kind kind,
			      struct dw_check_path path, char *const *next, size_t next_count,
			      char *const *current, size_t current_count)
{
	for (size_t i = 0; i < current_count; i++) {
		if (!has_text(next, next_count, current[i]))
			dw_check_report_add(report, kind, path)->subject = current[i];
	}
}

static bool has_key_hash(const Dragonflywharf__Organisation *organisation, const uint8_t *hash)
{
	for (size_t i = 0; i < organisation->n_key_hashes; i++) {
		if (memcmp(organisation->key_hashes[i].data, hash, DW_KEY_HASH_BYTES) == 0)
			return true;
	}
	return false;
}

static void compare_organisation(struct dw_check_report *report, struct dw_check_path path,
				 const Dragonflywharf__Organisation *next,
				 const Dragonflywharf__Organisation *current)
{
	size_t removed = 0;

	for (size_t i = 0; i < current->n_key_hashes; i++)
		removed += !has_key_hash(next, current->key_hashes[i].data);
	if (removed > 0)
		dw_check_report_add_numbers(report, DW_FINDING_KEYS_REMOVED, path, (double)removed,
					    0);
	add_removed_texts(report, DW_FINDING_PERMISSION_REMOVED, path, next->allowed,
			  next->n_allowed, current->allowed, current->n_allowed);
	add_removed_texts(report, DW_FINDING_PERMISSION_REMOVED, path, next->allowed_services,
			  next->n_allowed_services, current->allowed_services,
			  current->n_allowed_services);
	path.field = DW_CHECK_MAX_IN_FLIGHT;
	if (next->max_in_flight > 0 &&
	    (current->max_in_flight == 0 || next->max_in_flight < current->max_in_flight))
		dw_check_report_add_numbers(report, DW_FINDING_LOWERED, path, next->max_in_flight,
					    current->max_in_flight);
}

static void compare_version(struct dw_check_report *report, struct dw_check_path path,
			    const Dragonflywharf__Version *next,
			    const Dragonflywharf__Version *current)
{
	if (next->state == DRAGONFLYWHARF__VERSION_STATE__VERSION_WITHDRAWN &&
	    current->state == DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE)
		dw_check_report_add(report, DW_FINDING_VERSION_WITHDRAWN, path);
	path.field = DW_CHECK_ROLLOUT_WEIGHT;
	if (next->rollout_weight != current->rollout_weight)
		dw_check_report_add_numbers(report, DW_FINDING_CHANGED, path, next->rollout_weight,
					    current->rollout_weight);
}

static void compare_upstream(struct dw_check_report *report, struct dw_check_path path,
			     const Dragonflywharf__Upstream *next,
			     const Dragonflywharf__Upstream *current)
{
	if (next->state == DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_LEAVING &&
	    current->state == DRAGONFLYWHARF__UPSTREAM_STATE__UPSTREAM_IN_SERVICE)
		dw_check_report_add(report, DW_FINDING_UPSTREAM_LEAVES, path);
	add_removed_texts(report, DW_FINDING_UPSTREAM_DROPS_VERSION, path, next->serves,
			  next->n_serves, current->serves, current->n_serves);
	path.field = DW_CHECK_LIMIT;
	if (next->limit < current->limit)
		dw_check_report_add_numbers(report, DW_FINDING_UPSTREAM_LIMIT_LOWERED, path,
					    next->limit, current->limit);
	path.field = DW_CHECK_COLD_LIMIT;
	if (next->cold_limit < current->cold_limit)
		dw_check_report_add_numbers(report, DW_FINDING_UPSTREAM_LIMIT_LOWERED, path,
					    next->cold_limit, current->cold_limit);
}

static void compare_entity(struct dw_check_report *report, const struct known *known,
			   const Dragonflywharf__Entity *current)
{
	const Dragonflywharf__Entity *next = known->entity;
	struct dw_check_path path = path_of(known, DW_CHECK_NO_FIELD);
	size_t count = report->count;

	if (is_same_entity(next, current))
		return;
	switch (next->kind_case) {
	case DRAGONFLYWHARF__ENTITY__KIND_ORGANISATION:
		compare_organisation(report, path, next->organisation, current->organisation);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_VERSION:
		compare_version(report, path, next->version, current->version);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM:
		compare_upstream(report, path, next->upstream, current->upstream);
		break;
	case DRAGONFLYWHARF__ENTITY__KIND_FAILURE_DOMAIN:
		if (next->failure_domain->state == DRAGONFLYWHARF__DOMAIN_STATE__DOMAIN_DRAINED)
			dw_check_report_add(report, DW_FINDING_DOMAIN_DRAINED, path);
		break;
	default:
		break;
	}
	if (report->count == count)
		dw_check_report_add(report, DW_FINDING_ENTITY_CHANGED, path);
}

/* A version that had upstreams in service and has none after the change. */
static void compare_used_versions(const struct lookup *merged, const struct lookup *current)
{
	for (const struct known *old = current->by_key; old; old = old->hh.next) {
		const struct known *known = find(merged, old->key);

		if (old->entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_VERSION &&
		    old->is_used && !known->is_used)
			dw_check_report_add(merged->report, DW_FINDING_VERSION_LOSES_UPSTREAMS,
					    path_of(known, DW_CHECK_NO_FIELD));
	}
}

void dw_entity_set_compare(const struct dw_entity_set *next, const struct dw_entity_set *current,
			   struct dw_check_report *report)
{
	struct lookup merged = { .report = report };
	struct lookup in_force = { .report = report };
	char key[DW_ENTITY_KEY_BYTES];

	for (size_t i = 0; i < next->count; i++) {
		const Dragonflywharf__Entity *entity = next->entities[i];

		if (entity && dw_entity_check(entity) == DW_OK &&
		    dw_entity_key(entity, key) == DW_OK)
			add_entity(&merged, entity, key, i, false);
	}
	add_in_force(&merged, current);
	add_in_force(&in_force, current);
	mark_used(&merged);
	mark_used(&in_force);
	for (const struct known *known = merged.by_key; known; known = known->hh.next) {
		const struct known *old = find(&in_force, known->key);

		if (known->is_in_force)
			continue;
		if (old)
			compare_entity(report, known, old->entity);
		else
			dw_check_report_add(report, DW_FINDING_ADDED,
					    path_of(known, DW_CHECK_NO_FIELD));
	}
	compare_used_versions(&merged, &in_force);
	free_lookup(&merged);
	free_lookup(&in_force);
}
