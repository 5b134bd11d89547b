#include "core/part_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ID_TEXT_BYTES 17
/* Pieces of news about a crash at most. */
#define NEWS_OF_CRASH (DW_PART_REQUESTS_KEPT + 1)

/* As for the evidence against whole requests: the first repeat is for a lost message, the last ones for an
 * instance on the way that has ended and isn't avoided yet. */
static const uint32_t send_pauses[] = { 1, 5, 6, 14, 0 };
static const struct dw_news_pace pace = { 5, send_pauses };

void dw_part_set_init(struct dw_part_set *set, const char *service, const struct dw_prompt *prompt)
{
	uint32_t count = prompt->part_count;

	if (count > 0 && !prompt->has_more_parts)
		count--;
	set->count = count;
	for (uint32_t i = 0; i < count; i++) {
		char id[ID_TEXT_BYTES];

		snprintf(id, sizeof(id), "%" PRIx64, prompt->parts[i].id);
		set->parts[i] = dw_fingerprint_strings(service, id);
	}
}

struct dw_part_options dw_part_quarantine_default_options(void)
{
	return (struct dw_part_options){
		.max_parts = 4096,
		.lifetime_us = UINT64_C(600000000),
	};
}

struct dw_part_quarantine *dw_part_quarantine_new(const struct dw_part_options *options)
{
	struct dw_part_quarantine *quarantine = calloc(1, sizeof(*quarantine));

	if (!quarantine)
		abort();
	quarantine->options = *options;
	return quarantine;
}

static void remove_part(struct dw_part_quarantine *quarantine, struct dw_part *part)
{
	HASH_DEL(quarantine->parts, part);
	free(part);
}

void dw_part_quarantine_free(struct dw_part_quarantine *quarantine)
{
	struct dw_part *part;
	struct dw_part *next;

	if (!quarantine)
		return;
	part = quarantine->parts;
	HASH_CLEAR(hh, quarantine->parts);
	for (; part; part = next) {
		next = part->hh.next;
		free(part);
	}
	free(quarantine);
}

struct dw_part *dw_part_find(const struct dw_part_quarantine *quarantine, struct dw_fingerprint id)
{
	struct dw_part *part;

	HASH_FIND(hh, quarantine->parts, &id, sizeof(id), part);
	return part;
}

bool dw_part_crash_counts(const struct dw_part_quarantine *quarantine,
			  const struct dw_part_crash *crash, uint64_t now_us)
{
	return !crash->is_withdrawn &&
	       now_us < crash->found_at_us + quarantine->options.lifetime_us;
}

static const struct dw_part_ended *find_ended(const struct dw_part_quarantine *quarantine,
					      struct dw_fingerprint id)
{
	const struct dw_part_ended *ended = &quarantine->ended[id.low % ENDED_PARTS];

	return ended->began_at_us > 0 && dw_fingerprint_equal(ended->part, id) ? ended : NULL;
}

static void remember_ended(struct dw_part_quarantine *quarantine, const struct dw_part_ended *ended)
{
	struct dw_part_ended *place = &quarantine->ended[ended->part.low % ENDED_PARTS];

	if (!dw_fingerprint_equal(place->part, ended->part) ||
	    place->began_at_us < ended->began_at_us)
		*place = *ended;
}

bool dw_part_quarantine_is_established(const struct dw_part_quarantine *quarantine,
				       struct dw_fingerprint id, uint64_t now_us)
{
	const struct dw_part_ended *ended = find_ended(quarantine, id);
	const struct dw_part *part = dw_part_find(quarantine, id);

	return (part && part->is_established) ||
	       (ended && now_us < ended->began_at_us + quarantine->options.lifetime_us);
}

/* Whether the run shows that the part didn't cause the crash. */
static bool clears(const struct dw_part_ended *ended, const struct dw_part_crash *crash)
{
	return ended->began_at_us > crash->found_at_us &&
	       (ended->version == crash->version || ended->version == 0 || crash->version == 0);
}

/* Eviction order: fewer crashes that count first, then those found longest ago. */
static bool evicts_before(const struct dw_part_quarantine *quarantine, const struct dw_part *a,
			  const struct dw_part *b, uint64_t now_us)
{
	uint32_t crashes_a = dw_part_count_crashes(quarantine, a, now_us);
	uint32_t crashes_b;

	if (!b)
		return true;
	crashes_b = dw_part_count_crashes(quarantine, b, now_us);
	if (crashes_a != crashes_b)
		return crashes_a < crashes_b;
	return a->crash_count > 0 && b->crash_count > 0 &&
	       a->crashes[0].found_at_us < b->crashes[0].found_at_us;
}

static void evict_if_full(struct dw_part_quarantine *quarantine, uint64_t now_us)
{
	struct dw_part *part;
	struct dw_part *victim = NULL;

	if (HASH_COUNT(quarantine->parts) < quarantine->options.max_parts)
		return;
	for (part = quarantine->parts; part; part = part->hh.next) {
		if (evicts_before(quarantine, part, victim, now_us))
			victim = part;
	}
	if (victim)
		remove_part(quarantine, victim);
}

static struct dw_part *find_or_add(struct dw_part_quarantine *quarantine, struct dw_fingerprint id,
				   uint64_t now_us)
{
	struct dw_part *part = dw_part_find(quarantine, id);

	if (part)
		return part;
	evict_if_full(quarantine, now_us);
	part = calloc(1, sizeof(*part));
	if (!part)
		return NULL;
	part->id = id;
	HASH_ADD(hh, quarantine->parts, id, sizeof(part->id), part);
	return part;
}

static struct dw_part_crash *find_crash(struct dw_part *part, const struct dw_part_news *news)
{
	for (uint32_t i = 0; i < part->crash_count; i++) {
		if (part->crashes[i].upstream_id == news->upstream_id &&
		    part->crashes[i].upstream_incarnation == news->upstream_incarnation)
			return &part->crashes[i];
	}
	return NULL;
}

/* A free place, that of a crash that doesn't count, or the last one: first and last crash are known. */
static struct dw_part_crash *find_place(const struct dw_part_quarantine *quarantine,
					struct dw_part *part, uint64_t now_us)
{
	if (part->crash_count < DW_PART_CRASHES_KEPT)
		return &part->crashes[part->crash_count++];
	for (uint32_t i = 0; i < DW_PART_CRASHES_KEPT; i++) {
		if (!dw_part_crash_counts(quarantine, &part->crashes[i], now_us))
			return &part->crashes[i];
	}
	return &part->crashes[DW_PART_CRASHES_KEPT - 1];
}

/* Withdraws the crashes of which the run clears the part. @return whether there were any */
static bool apply_ended(const struct dw_part_quarantine *quarantine, struct dw_part *part,
			const struct dw_part_ended *ended, enum dw_spread_scope scope,
			uint64_t now_us)
{
	bool has_cleared = false;

	for (uint32_t i = 0; i < part->crash_count; i++) {
		struct dw_part_crash *crash = &part->crashes[i];

		if (!dw_part_crash_counts(quarantine, crash, now_us) || !clears(ended, crash))
			continue;
		crash->is_withdrawn = true;
		has_cleared = true;
	}
	if (!has_cleared)
		return false;
	part->ended = *ended;
	dw_news_schedule_start(&part->ended_news, &pace, scope);
	return true;
}

/* Another request with the part ran there too. */
static bool add_request(struct dw_part_crash *crash, uint64_t request)
{
	if (dw_part_crash_has_request(crash, request))
		return false;
	if (request == 0 || crash->request_count == DW_PART_REQUESTS_KEPT)
		crash->has_more_requests = true;
	else
		crash->requests[crash->request_count++] = request;
	return true;
}

static bool merge_crash(struct dw_part_quarantine *quarantine, const struct dw_part_news *news,
			enum dw_spread_scope scope, uint64_t now_us)
{
	uint64_t found_at_us = now_us > news->age_us ? now_us - news->age_us : 0;
	const struct dw_part_ended *ended = find_ended(quarantine, news->part);
	struct dw_part *part = find_or_add(quarantine, news->part, now_us);
	struct dw_part_crash *crash;

	if (!part || news->age_us >= quarantine->options.lifetime_us)
		return false;
	part->is_established = part->is_established || news->is_established;
	crash = find_crash(part, news);
	if (crash) {
		/* News that waited for an instance which was suspended all look as new as the last. */
		if (news->kind == DW_PART_RECORDED &&
		    !dw_part_has_evidence(quarantine, part, now_us))
			crash->found_at_us = found_at_us;
		if (crash->is_withdrawn || !add_request(crash, news->request))
			return false;
		dw_news_schedule_start(&crash->news, &pace, scope);
		return true;
	}
	crash = find_place(quarantine, part, now_us);
	*crash = (struct dw_part_crash){
		.upstream_id = news->upstream_id,
		.upstream_incarnation = news->upstream_incarnation,
		.version = news->version,
		.found_at_us = found_at_us,
	};
	add_request(crash, news->request);
	dw_news_schedule_start(&crash->news, &pace, scope);
	/* The others have to know of the run as far as they know of the crash. */
	if (ended)
		apply_ended(quarantine, part, ended, DW_SPREAD_EVERYWHERE, now_us);
	return true;
}

static bool merge_withdrawal(struct dw_part_quarantine *quarantine, const struct dw_part_news *news,
			     enum dw_spread_scope scope)
{
	struct dw_part *part = dw_part_find(quarantine, news->part);
	struct dw_part_crash *crash = part ? find_crash(part, news) : NULL;

	if (!crash || crash->is_withdrawal_told)
		return false;
	crash->is_withdrawn = true;
	crash->is_withdrawal_told = true;
	dw_news_schedule_start(&crash->news, &pace, scope);
	return true;
}

static bool merge_ended(struct dw_part_quarantine *quarantine, const struct dw_part_ended *ended,
			enum dw_spread_scope scope, uint64_t now_us)
{
	struct dw_part *part = dw_part_find(quarantine, ended->part);

	remember_ended(quarantine, ended);
	return part && apply_ended(quarantine, part, ended, scope, now_us);
}

bool dw_part_quarantine_merge(struct dw_part_quarantine *quarantine,
			      const struct dw_part_news *news, enum dw_spread_scope scope,
			      uint64_t now_us)
{
	struct dw_part_ended ended = {
		.part = news->part,
		.version = news->version,
		.began_at_us = now_us > news->age_us ? now_us - news->age_us : 0,
	};

	switch (news->kind) {
	case DW_PART_CRASHED:
	case DW_PART_RECORDED:
		return merge_crash(quarantine, news, scope, now_us);
	case DW_PART_WITHDRAWN:
		return merge_withdrawal(quarantine, news, scope);
	case DW_PART_ENDED_WELL:
		return merge_ended(quarantine, &ended, scope, now_us);
	case DW_PART_NEWS_KIND_COUNT:
		break;
	}
	return false;
}

uint32_t dw_part_quarantine_ended_well(struct dw_part_quarantine *quarantine,
				       const struct dw_part_set *set, uint64_t version,
				       uint64_t began_at_us, uint64_t now_us)
{
	uint32_t cleared = 0;

	for (uint32_t i = 0; i < set->count; i++) {
		struct dw_part_ended ended = { set->parts[i], version, began_at_us };

		cleared += merge_ended(quarantine, &ended, DW_SPREAD_EVERYWHERE, now_us);
	}
	return cleared;
}

bool dw_part_quarantine_lift(struct dw_part_quarantine *quarantine, struct dw_fingerprint id,
			     uint64_t now_us)
{
	struct dw_part *part = dw_part_find(quarantine, id);
	bool has_lifted = false;

	for (uint32_t i = 0; part && i < part->crash_count; i++) {
		has_lifted |= dw_part_crash_counts(quarantine, &part->crashes[i], now_us);
		part->crashes[i].is_withdrawn = true;
	}
	return has_lifted;
}

/* News about the crash but for its requests. */
static struct dw_part_news crash_news(const struct dw_part_quarantine *quarantine,
				      const struct dw_part *part, const struct dw_part_crash *crash,
				      uint64_t now_us)
{
	return (struct dw_part_news){
		.kind = crash->is_withdrawal_told ? DW_PART_WITHDRAWN : DW_PART_CRASHED,
		.part = part->id,
		.upstream_id = crash->upstream_id,
		.upstream_incarnation = crash->upstream_incarnation,
		.version = crash->version,
		.age_us = now_us - crash->found_at_us,
		.is_established = dw_part_quarantine_is_established(quarantine, part->id, now_us),
	};
}

/* Writes a piece of news for each request. @return their number */
static size_t write_crash(const struct dw_part_quarantine *quarantine, const struct dw_part *part,
			  const struct dw_part_crash *crash, uint64_t now_us,
			  struct dw_part_news *out)
{
	size_t count = 0;

	for (uint32_t i = 0; i < crash->request_count; i++) {
		out[count] = crash_news(quarantine, part, crash, now_us);
		out[count++].request = crash->requests[i];
		if (crash->is_withdrawal_told)
			return count;
	}
	if (crash->has_more_requests || count == 0)
		out[count++] = crash_news(quarantine, part, crash, now_us);
	return count;
}

size_t dw_part_quarantine_take_news(struct dw_part_quarantine *quarantine,
				    enum dw_spread_scope scope, uint32_t round, uint64_t now_us,
				    struct dw_part_news *out, size_t max)
{
	struct dw_part *part;
	size_t count = 0;

	for (part = quarantine->parts; part; part = part->hh.next) {
		for (uint32_t i = 0; i < part->crash_count && count + NEWS_OF_CRASH <= max; i++) {
			if (dw_news_schedule_take(&part->crashes[i].news, &pace, scope, round))
				count += write_crash(quarantine, part, &part->crashes[i], now_us,
						     out + count);
		}
		if (count < max && dw_news_schedule_take(&part->ended_news, &pace, scope, round))
			out[count++] = (struct dw_part_news){
				.kind = DW_PART_ENDED_WELL,
				.part = part->id,
				.version = part->ended.version,
				.age_us = now_us - part->ended.began_at_us,
			};
	}
	return count;
}

uint32_t dw_part_quarantine_evidence(const struct dw_part_quarantine *quarantine,
				     struct dw_fingerprint id, uint64_t now_us,
				     struct dw_part_news out[DW_PART_EVIDENCE_MAX])
{
	const struct dw_part *part = dw_part_find(quarantine, id);
	size_t count = 0;

	for (uint32_t i = 0; part && i < part->crash_count; i++) {
		if (dw_part_crash_counts(quarantine, &part->crashes[i], now_us))
			count += write_crash(quarantine, part, &part->crashes[i], now_us,
					     out + count);
	}
	return (uint32_t)count;
}

uint32_t dw_part_quarantine_crash_count(const struct dw_part_quarantine *quarantine,
					struct dw_fingerprint id, uint64_t now_us)
{
	return dw_part_count_crashes(quarantine, dw_part_find(quarantine, id), now_us);
}

bool dw_part_quarantine_is_quarantined(const struct dw_part_quarantine *quarantine,
				       struct dw_fingerprint id, uint64_t now_us)
{
	const struct dw_part *part = dw_part_find(quarantine, id);

	return part && dw_part_has_evidence(quarantine, part, now_us);
}

static void remove_expired(struct dw_part *part, uint64_t lifetime_us, uint64_t now_us)
{
	uint32_t i = 0;

	while (i < part->crash_count) {
		if (now_us >= part->crashes[i].found_at_us + lifetime_us)
			part->crashes[i] = part->crashes[--part->crash_count];
		else
			i++;
	}
}

void dw_part_quarantine_tick(struct dw_part_quarantine *quarantine, uint64_t now_us)
{
	struct dw_part *part;
	struct dw_part *next;

	HASH_ITER(hh, quarantine->parts, part, next) {
		remove_expired(part, quarantine->options.lifetime_us, now_us);
		if (part->crash_count == 0)
			remove_part(quarantine, part);
	}
}

size_t dw_part_quarantine_count(const struct dw_part_quarantine *quarantine, uint64_t now_us)
{
	const struct dw_part *part;
	size_t count = 0;

	for (part = quarantine->parts; part; part = part->hh.next)
		count += dw_part_has_evidence(quarantine, part, now_us);
	return count;
}

size_t dw_part_quarantine_suspect_count(const struct dw_part_quarantine *quarantine,
					uint64_t now_us)
{
	const struct dw_part *part;
	size_t count = 0;

	for (part = quarantine->parts; part; part = part->hh.next)
		count += dw_part_count_crashes(quarantine, part, now_us) > 0 &&
			 !dw_part_has_evidence(quarantine, part, now_us);
	return count;
}
