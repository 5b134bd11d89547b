#include <dragonflywharf/rollout.h>

#include <stdlib.h>
#include <string.h>

#include "core/evidence.h"
#include "core/change_detector.h"

#define DEFAULT_VERSIONS 64
#define DEFAULT_MEMBERS 4096
#define DEFAULT_FALSE_ALARMS_PER_MILLION 1000
#define DEFAULT_BASELINE_PERMILLE 50
#define DEFAULT_INSTANCES 9

struct version {
	uint64_t version_id; /* 0: this slot is free */
	uint64_t model_id;
	uint64_t release_order;
	uint64_t held_below; /* all release orders below this one are held; 0: none */
	uint64_t sent_held_below; /* held_below as last returned by dw_rollout_collect() */
	struct evidence evidence;
	struct change_detector detector;
};

struct dw_rollout {
	struct dw_rollout_policy policy;
	struct dw_member_key self;
	struct version versions[];
};

struct dw_rollout_policy dw_rollout_policy_default(void)
{
	struct dw_rollout_policy policy = {
		.versions_max = DEFAULT_VERSIONS,
		.members_max = DEFAULT_MEMBERS,
		.false_alarms_per_million = DEFAULT_FALSE_ALARMS_PER_MILLION,
		.baseline_permille = DEFAULT_BASELINE_PERMILLE,
		.instances = DEFAULT_INSTANCES,
	};

	return policy;
}

struct dw_rollout *dw_rollout_new(const struct dw_rollout_policy *policy, struct dw_member_key self)
{
	struct dw_rollout *rollout =
		calloc(1, sizeof(*rollout) + policy->versions_max * sizeof(rollout->versions[0]));

	if (!rollout)
		return NULL;
	rollout->policy = *policy;
	rollout->self = self;
	return rollout;
}

void dw_rollout_free(struct dw_rollout *rollout)
{
	if (!rollout)
		return;
	for (uint32_t i = 0; i < rollout->policy.versions_max; i++)
		evidence_clear(&rollout->versions[i].evidence);
	free(rollout);
}

void dw_rollout_set_instances(struct dw_rollout *rollout, uint32_t instances)
{
	rollout->policy.instances = instances;
}

/* The slot of @p version_id; 0 finds a free slot. */
static struct version *find_version(const struct dw_rollout *rollout, uint64_t version_id)
{
	for (uint32_t i = 0; i < rollout->policy.versions_max; i++) {
		if (rollout->versions[i].version_id == version_id)
			return (struct version *)&rollout->versions[i];
	}
	return NULL;
}

static bool is_held(const struct version *version)
{
	return version->held_below > version->release_order;
}

static void start_release_order(const struct dw_rollout *rollout, struct version *version,
				uint64_t release_order)
{
	evidence_clear(&version->evidence);
	version->release_order = release_order;
	change_detector_init(&version->detector, rollout->policy.false_alarms_per_million);
}

enum dw_status dw_rollout_set_version(struct dw_rollout *rollout, uint64_t version_id,
				      uint64_t model_id, uint64_t release_order)
{
	struct version *version = find_version(rollout, version_id);

	if (!version_id || release_order == UINT64_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "version id %llu is 0 or release order %llu is out of range",
			       (unsigned long long)version_id, (unsigned long long)release_order);
	if (!version) {
		version = find_version(rollout, 0);
		if (!version)
			return dw_fail(DW_TOO_LARGE, "more than %u versions",
				       rollout->policy.versions_max);
		version->version_id = version_id;
		start_release_order(rollout, version, release_order);
	}
	if (release_order < version->release_order)
		return dw_fail(DW_STALE, "release order %llu is lower than the known %llu",
			       (unsigned long long)release_order,
			       (unsigned long long)version->release_order);
	if (release_order > version->release_order)
		start_release_order(rollout, version, release_order);
	version->model_id = model_id;
	return DW_OK;
}

void dw_rollout_remove_version(struct dw_rollout *rollout, uint64_t version_id)
{
	struct version *version = version_id ? find_version(rollout, version_id) : NULL;

	if (!version)
		return;
	evidence_clear(&version->evidence);
	memset(version, 0, sizeof(*version));
}

/* Sum over the model's other versions, except those that are held. */
static struct tally other_versions(const struct dw_rollout *rollout, const struct version *version)
{
	struct tally sum = { 0 };

	for (uint32_t i = 0; i < rollout->policy.versions_max; i++) {
		const struct version *other = &rollout->versions[i];

		if (other->version_id && other != version && !is_held(other) &&
		    other->model_id == version->model_id) {
			sum.answers += other->evidence.sum.answers;
			sum.bad += other->evidence.sum.bad;
			sum.errors += other->evidence.sum.errors;
		}
	}
	return sum;
}

/* Runs the change detector on new evidence. True if the version becomes held. */
static bool update_detector(const struct dw_rollout *rollout, struct version *version)
{
	struct tally others = other_versions(rollout, version);

	if (is_held(version) ||
	    !change_detector_update(&version->detector, &version->evidence.sum, &others,
				    rollout->policy.baseline_permille, rollout->policy.instances))
		return false;
	version->held_below = version->release_order + 1;
	return true;
}

enum dw_status dw_rollout_count_answer(struct dw_rollout *rollout, uint64_t version_id,
				       enum dw_rollout_outcome outcome, bool *newly_held)
{
	struct version *version = version_id ? find_version(rollout, version_id) : NULL;
	struct tally tally;

	*newly_held = false;
	if (!version)
		return dw_fail(DW_NOT_FOUND, "the version is not in the configuration");
	tally = evidence_get(&version->evidence, rollout->self);
	tally.answers++;
	tally.bad += outcome == DW_ROLLOUT_BAD;
	tally.errors += outcome == DW_ROLLOUT_ERROR;
	if (!evidence_merge(&version->evidence, rollout->self, &tally, rollout->self,
			    rollout->policy.members_max))
		return dw_fail(DW_NO_MEMORY, "no memory for a counter");
	*newly_held = update_detector(rollout, version);
	return DW_OK;
}

bool dw_rollout_is_held(const struct dw_rollout *rollout, uint64_t version_id)
{
	const struct version *version = version_id ? find_version(rollout, version_id) : NULL;

	return version && is_held(version);
}

bool dw_rollout_is_watched(const struct dw_rollout *rollout, uint64_t version_id)
{
	const struct version *version = version_id ? find_version(rollout, version_id) : NULL;

	return version && change_detector_is_suspicious(&version->detector);
}

enum dw_status dw_rollout_get_totals(const struct dw_rollout *rollout, uint64_t version_id,
				     struct dw_rollout_totals *out)
{
	const struct version *version = version_id ? find_version(rollout, version_id) : NULL;

	if (!version)
		return dw_fail(DW_NOT_FOUND, "the version is not in the configuration");
	out->answers = version->evidence.sum.answers;
	out->bad = version->evidence.sum.bad;
	out->errors = version->evidence.sum.errors;
	out->release_order = version->release_order;
	out->held = is_held(version);
	return DW_OK;
}

static bool merge_hold(struct dw_rollout *rollout, const struct dw_rollout_hold *hold)
{
	struct version *version = hold->version_id ? find_version(rollout, hold->version_id) : NULL;

	bool held_before = version && is_held(version);

	if (!version || hold->release_order == UINT64_MAX ||
	    hold->release_order < version->held_below)
		return false;
	version->held_below = hold->release_order + 1;
	return !held_before && is_held(version);
}

static bool merge_entry(struct dw_rollout *rollout, const struct dw_rollout_entry *entry)
{
	struct version *version =
		entry->version_id ? find_version(rollout, entry->version_id) : NULL;
	struct tally tally = { entry->answers, entry->bad, entry->errors };

	if (!version || entry->release_order != version->release_order ||
	    dw_member_key_equal(entry->member, rollout->self) || !tally_is_valid(&tally))
		return false;
	return evidence_merge(&version->evidence, entry->member, &tally, rollout->self,
			      rollout->policy.members_max) &&
	       update_detector(rollout, version);
}

size_t dw_rollout_merge(struct dw_rollout *rollout, const struct dw_rollout_message *message,
			uint64_t *newly_held, size_t capacity)
{
	size_t count = 0;

	for (uint32_t i = 0; i < message->hold_count && i < DW_ROLLOUT_MESSAGE_HOLDS; i++) {
		if (merge_hold(rollout, &message->holds[i]) && count < capacity)
			newly_held[count++] = message->holds[i].version_id;
	}
	for (uint32_t i = 0; i < message->entry_count && i < DW_ROLLOUT_MESSAGE_ENTRIES; i++) {
		if (merge_entry(rollout, &message->entries[i]) && count < capacity)
			newly_held[count++] = message->entries[i].version_id;
	}
	return count;
}

static bool add_hold(const struct version *version, struct dw_rollout_message *out)
{
	if (out->hold_count == DW_ROLLOUT_MESSAGE_HOLDS)
		return false;
	out->holds[out->hold_count++] = (struct dw_rollout_hold){
		.version_id = version->version_id,
		.release_order = version->held_below - 1,
	};
	return true;
}

static void add_entry(const struct version *version, const struct counter *counter,
		      struct dw_rollout_message *out)
{
	out->entries[out->entry_count++] = (struct dw_rollout_entry){
		.version_id = version->version_id,
		.release_order = version->release_order,
		.member = counter->member,
		.answers = counter->tally.answers,
		.bad = counter->tally.bad,
		.errors = counter->tally.errors,
	};
}

/* Every message carries all current holds, as they are few and a message may be lost. */
bool dw_rollout_collect(struct dw_rollout *rollout, struct dw_rollout_message *out)
{
	bool has_new_hold = false;

	out->entry_count = 0;
	out->hold_count = 0;
	for (uint32_t i = 0; i < rollout->policy.versions_max; i++) {
		struct version *version = &rollout->versions[i];
		const struct counter *counter;

		if (is_held(version) && add_hold(version, out)) {
			has_new_hold |= version->sent_held_below < version->held_below;
			version->sent_held_below = version->held_below;
		}
		while (out->entry_count < DW_ROLLOUT_MESSAGE_ENTRIES &&
		       (counter = evidence_take_changed(&version->evidence)))
			add_entry(version, counter, out);
	}
	return has_new_hold || out->entry_count;
}

/* Writes all holds, then all counters. The cursor is how many of both have been written so far. */
bool dw_rollout_collect_all(const struct dw_rollout *rollout, uint64_t *cursor,
			    struct dw_rollout_message *out)
{
	uint64_t position = 0;

	out->entry_count = 0;
	out->hold_count = 0;
	for (uint32_t i = 0; i < rollout->policy.versions_max; i++) {
		const struct version *version = &rollout->versions[i];

		if (is_held(version) && position++ >= *cursor && add_hold(version, out))
			++*cursor;
	}
	for (uint32_t i = 0; i < rollout->policy.versions_max; i++) {
		const struct version *version = &rollout->versions[i];

		for (uint32_t row = 0; row < version->evidence.count; row++) {
			if (position++ < *cursor || out->entry_count == DW_ROLLOUT_MESSAGE_ENTRIES)
				continue;
			add_entry(version, &version->evidence.counters[row], out);
			++*cursor;
		}
	}
	return out->entry_count || out->hold_count;
}
