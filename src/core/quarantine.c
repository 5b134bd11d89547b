#include <dragonflywharf/quarantine.h>

#include <stdlib.h>

#include <uthash.h>

/* Pieces kept for a fingerprint; withdrawn ones make room for others. */
#define PIECES_MAX 6

/* Rounds between the sends of a piece: the first repeat is for a lost message, the last ones for an
 * instance on the way that has ended and isn't avoided yet. */
static const uint32_t send_pauses[DW_QUARANTINE_SENDS] = { 1, 5, 6, 14, 0 };
static const struct dw_news_pace pace = { DW_QUARANTINE_SENDS, send_pauses };

/* A crash of an upstream that was running the fingerprint. */
struct crash {
	uint64_t upstream_id;
	uint64_t upstream_incarnation;
	uint64_t expires_at_us;
	bool is_withdrawn;
	bool is_abandoned;
	bool unsent; /* in the outbox */
	struct dw_news_schedule news;
};

/*
 * The crashes of one fingerprint, which is a suspect or quarantined. Crashes beyond the threshold
 * for quarantine change nothing and aren't stored.
 */
struct crash_history {
	struct dw_fingerprint fingerprint;
	struct crash crashes[PIECES_MAX];
	uint32_t crash_count;
	UT_hash_handle hh;
};

struct dw_quarantine {
	struct dw_quarantine_options options;
	struct crash_history *histories;
};

struct dw_quarantine_options dw_quarantine_default_options(void)
{
	return (struct dw_quarantine_options){
		.max_fingerprints = 4096,
		.lifetime_us = UINT64_C(900000000),
	};
}

enum dw_status dw_quarantine_new(struct dw_quarantine **out,
				 const struct dw_quarantine_options *options)
{
	*out = NULL;
	if (options->max_fingerprints == 0 || options->lifetime_us == 0)
		return dw_fail(
			DW_INVALID_ARGUMENT,
			"quarantine: options out of range: max_fingerprints %u, lifetime_us %llu",
			options->max_fingerprints, (unsigned long long)options->lifetime_us);
	*out = calloc(1, sizeof(**out));
	if (!*out)
		return dw_fail(DW_NO_MEMORY, "quarantine: out of memory");
	(*out)->options = *options;
	return DW_OK;
}

static void remove_history(struct dw_quarantine *quarantine, struct crash_history *history)
{
	HASH_DEL(quarantine->histories, history);
	free(history);
}

void dw_quarantine_free(struct dw_quarantine *quarantine)
{
	struct crash_history *history;
	struct crash_history *next;

	if (!quarantine)
		return;
	HASH_ITER(hh, quarantine->histories, history, next)
		remove_history(quarantine, history);
	free(quarantine);
}

static struct crash_history *find_history(const struct dw_quarantine *quarantine,
					  struct dw_fingerprint fingerprint)
{
	struct crash_history *history;

	HASH_FIND(hh, quarantine->histories, &fingerprint, sizeof(fingerprint), history);
	return history;
}

static bool counts(const struct crash *crash, uint64_t now_us)
{
	return !crash->is_withdrawn && crash->expires_at_us > now_us;
}

/* Whether @p a was found within DW_QUARANTINE_TOGETHER_US of @p b; all pieces live equally long. */
static bool is_together(const struct crash *a, const struct crash *b)
{
	uint64_t apart_us = a->expires_at_us > b->expires_at_us
				    ? a->expires_at_us - b->expires_at_us
				    : b->expires_at_us - a->expires_at_us;

	return apart_us < DW_QUARANTINE_TOGETHER_US;
}

/* An order that is the same on all instances. */
static bool is_before(const struct crash *a, const struct crash *b)
{
	if (a->expires_at_us != b->expires_at_us)
		return a->expires_at_us < b->expires_at_us;
	return a->upstream_id < b->upstream_id;
}

/* Whether the crash of an abandoned run is counted with another one. */
static bool is_counted_with_other(const struct crash_history *history, const struct crash *crash,
				  uint64_t now_us)
{
	for (uint32_t i = 0; i < history->crash_count; i++) {
		const struct crash *other = &history->crashes[i];

		if (other != crash && counts(other, now_us) && is_together(crash, other) &&
		    (!other->is_abandoned || is_before(other, crash)))
			return true;
	}
	return false;
}

static uint32_t live_crashes(const struct crash_history *history, uint64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; history && i < history->crash_count; i++) {
		const struct crash *crash = &history->crashes[i];

		count += counts(crash, now_us) &&
			 !(crash->is_abandoned && is_counted_with_other(history, crash, now_us));
	}
	return count;
}

enum dw_status dw_quarantine_check(const struct dw_quarantine *quarantine,
				   struct dw_fingerprint fingerprint, uint64_t now_us)
{
	if (live_crashes(find_history(quarantine, fingerprint), now_us) < DW_QUARANTINE_CRASHES)
		return DW_OK;
	return dw_fail(DW_QUARANTINED, "the request was running on %d upstreams when they crashed",
		       DW_QUARANTINE_CRASHES);
}

bool dw_quarantine_is_suspect(const struct dw_quarantine *quarantine,
			      struct dw_fingerprint fingerprint, uint64_t now_us)
{
	uint32_t crashes = live_crashes(find_history(quarantine, fingerprint), now_us);

	return crashes > 0 && crashes < DW_QUARANTINE_CRASHES;
}

static bool crashed_on_upstream(const struct crash_history *history, uint64_t upstream_id,
				uint64_t now_us)
{
	for (uint32_t i = 0; history && i < history->crash_count; i++) {
		if (history->crashes[i].upstream_id == upstream_id &&
		    counts(&history->crashes[i], now_us))
			return true;
	}
	return false;
}

bool dw_quarantine_may_run(const struct dw_quarantine *quarantine,
			   struct dw_fingerprint fingerprint, uint64_t upstream_id,
			   const struct dw_fingerprint *running, size_t running_count,
			   uint64_t now_us)
{
	const struct crash_history *history = find_history(quarantine, fingerprint);
	uint32_t crashes = live_crashes(history, now_us);

	if (crashes == 0)
		return true;
	if (crashes >= DW_QUARANTINE_CRASHES || crashed_on_upstream(history, upstream_id, now_us))
		return false;
	for (size_t i = 0; i < running_count; i++) {
		if (live_crashes(find_history(quarantine, running[i]), now_us) > 0)
			return false;
	}
	return true;
}

bool dw_quarantine_may_retry(const struct dw_quarantine *quarantine,
			     struct dw_fingerprint fingerprint, uint32_t crash_retries,
			     uint64_t now_us)
{
	return crash_retries < DW_QUARANTINE_CRASHES - 1 &&
	       live_crashes(find_history(quarantine, fingerprint), now_us) < DW_QUARANTINE_CRASHES;
}

static uint64_t last_expiry_us(const struct crash_history *history)
{
	uint64_t last_us = 0;

	for (uint32_t i = 0; i < history->crash_count; i++) {
		if (history->crashes[i].expires_at_us > last_us)
			last_us = history->crashes[i].expires_at_us;
	}
	return last_us;
}

/* Eviction order: fewer crashes that count first, then the earliest expiry. */
static bool evicts_before(const struct crash_history *a, const struct crash_history *b)
{
	uint32_t crashes_a;
	uint32_t crashes_b;

	if (!b)
		return true;
	crashes_a = live_crashes(a, 0);
	crashes_b = live_crashes(b, 0);
	if (crashes_a != crashes_b)
		return crashes_a < crashes_b;
	return last_expiry_us(a) < last_expiry_us(b);
}

static void evict_if_full(struct dw_quarantine *quarantine)
{
	struct crash_history *history;
	struct crash_history *victim = NULL;

	if (HASH_COUNT(quarantine->histories) < quarantine->options.max_fingerprints)
		return;
	for (history = quarantine->histories; history; history = history->hh.next) {
		if (evicts_before(history, victim))
			victim = history;
	}
	if (victim)
		remove_history(quarantine, victim);
}

static struct crash_history *find_or_add_history(struct dw_quarantine *quarantine,
						 struct dw_fingerprint fingerprint)
{
	struct crash_history *history = find_history(quarantine, fingerprint);

	if (history)
		return history;
	evict_if_full(quarantine);
	history = calloc(1, sizeof(*history));
	if (!history)
		return NULL;
	history->fingerprint = fingerprint;
	HASH_ADD(hh, quarantine->histories, fingerprint, sizeof(history->fingerprint), history);
	return history;
}

static void remove_expired(struct crash_history *history, uint64_t now_us)
{
	uint32_t i = 0;

	while (i < history->crash_count) {
		if (history->crashes[i].expires_at_us <= now_us)
			history->crashes[i] = history->crashes[--history->crash_count];
		else
			i++;
	}
}

static struct crash *find_crash(struct crash_history *history, const struct crash *wanted)
{
	for (uint32_t i = 0; history && i < history->crash_count; i++) {
		if (history->crashes[i].upstream_id == wanted->upstream_id &&
		    history->crashes[i].upstream_incarnation == wanted->upstream_incarnation)
			return &history->crashes[i];
	}
	return NULL;
}

/* A free place; that of a withdrawn piece if all are taken; NULL if all count. */
static struct crash *find_place(struct crash_history *history)
{
	if (history->crash_count < PIECES_MAX)
		return &history->crashes[history->crash_count++];
	for (uint32_t i = 0; i < PIECES_MAX; i++) {
		if (history->crashes[i].is_withdrawn)
			return &history->crashes[i];
	}
	return NULL;
}

static bool withdraw(struct crash *known, const struct crash *news)
{
	uint64_t expires_at_us = known->expires_at_us;

	if (known->is_withdrawn)
		return false;
	*known = *news;
	if (expires_at_us > known->expires_at_us)
		known->expires_at_us = expires_at_us;
	return true;
}

/* Another run of the request was in progress when the upstream of an abandoned one crashed. */
static bool confirm(struct crash *known, const struct crash *news)
{
	uint64_t expires_at_us = known->expires_at_us;

	if (known->is_withdrawn || !known->is_abandoned || news->is_abandoned)
		return false;
	*known = *news;
	known->expires_at_us = expires_at_us;
	return true;
}

/* A crash that is reported twice counts once and keeps its first expiry. */
static bool add_crash(struct dw_quarantine *quarantine, struct dw_fingerprint fingerprint,
		      const struct crash *crash, uint64_t now_us)
{
	struct crash_history *history = find_or_add_history(quarantine, fingerprint);
	struct crash *known;

	if (!history)
		return false;
	remove_expired(history, now_us);
	known = find_crash(history, crash);
	if (known)
		return crash->is_withdrawn ? withdraw(known, crash) : confirm(known, crash);
	if (!crash->is_withdrawn && live_crashes(history, now_us) == DW_QUARANTINE_CRASHES)
		return false;
	known = find_place(history);
	if (!known)
		return false;
	*known = *crash;
	return true;
}

void dw_quarantine_crashed(struct dw_quarantine *quarantine, uint64_t upstream_id,
			   uint64_t upstream_incarnation, const struct dw_fingerprint *running,
			   size_t running_count, uint64_t now_us)
{
	struct crash crash = {
		.upstream_id = upstream_id,
		.upstream_incarnation = upstream_incarnation,
		.expires_at_us = now_us + quarantine->options.lifetime_us,
		.unsent = true,
	};

	dw_news_schedule_start(&crash.news, &pace, DW_SPREAD_EVERYWHERE);
	for (size_t i = 0; i < running_count; i++)
		add_crash(quarantine, running[i], &crash, now_us);
}

bool dw_quarantine_merge_scoped(struct dw_quarantine *quarantine,
				const struct dw_quarantine_evidence *evidence,
				enum dw_spread_scope scope, uint64_t now_us)
{
	uint64_t remaining_us = evidence->remaining_us;
	struct crash crash = {
		.upstream_id = evidence->upstream_id,
		.upstream_incarnation = evidence->upstream_incarnation,
		.is_withdrawn = remaining_us == 0,
		.is_abandoned = evidence->is_abandoned,
		.unsent = true,
	};

	if (remaining_us == 0 || remaining_us > quarantine->options.lifetime_us)
		remaining_us = quarantine->options.lifetime_us;
	crash.expires_at_us = now_us + remaining_us;
	dw_news_schedule_start(&crash.news, &pace, scope);
	return add_crash(quarantine, evidence->fingerprint, &crash, now_us);
}

bool dw_quarantine_merge(struct dw_quarantine *quarantine,
			 const struct dw_quarantine_evidence *evidence, uint64_t now_us)
{
	return dw_quarantine_merge_scoped(quarantine, evidence, DW_SPREAD_EVERYWHERE, now_us);
}

static bool withdraw_piece(struct dw_quarantine *quarantine,
			   const struct dw_quarantine_evidence *piece, enum dw_spread_scope scope,
			   uint64_t now_us)
{
	struct dw_quarantine_evidence withdrawn = *piece;

	withdrawn.remaining_us = 0;
	return find_history(quarantine, piece->fingerprint) &&
	       dw_quarantine_merge_scoped(quarantine, &withdrawn, scope, now_us);
}

bool dw_quarantine_withdraw(struct dw_quarantine *quarantine, struct dw_fingerprint fingerprint,
			    uint64_t upstream_id, uint64_t upstream_incarnation, uint64_t now_us)
{
	struct dw_quarantine_evidence piece = {
		.fingerprint = fingerprint,
		.upstream_id = upstream_id,
		.upstream_incarnation = upstream_incarnation,
	};

	return withdraw_piece(quarantine, &piece, DW_SPREAD_EVERYWHERE, now_us);
}

uint32_t dw_quarantine_pieces(const struct dw_quarantine *quarantine,
			      struct dw_fingerprint fingerprint, uint64_t now_us,
			      struct dw_quarantine_evidence out[DW_QUARANTINE_CRASHES])
{
	const struct crash_history *history = find_history(quarantine, fingerprint);
	uint32_t count = 0;

	for (uint32_t i = 0; history && i < history->crash_count; i++) {
		const struct crash *crash = &history->crashes[i];

		if (!counts(crash, now_us) || count == DW_QUARANTINE_CRASHES)
			continue;
		out[count++] = (struct dw_quarantine_evidence){
			.fingerprint = fingerprint,
			.upstream_id = crash->upstream_id,
			.upstream_incarnation = crash->upstream_incarnation,
			.remaining_us = crash->expires_at_us - now_us,
			.is_abandoned = crash->is_abandoned,
		};
	}
	return count;
}

uint32_t dw_quarantine_clear(struct dw_quarantine *quarantine, struct dw_fingerprint fingerprint,
			     enum dw_spread_scope scope, uint64_t now_us)
{
	struct dw_quarantine_evidence pieces[DW_QUARANTINE_CRASHES];
	uint32_t cleared = 0;
	uint32_t count;

	while ((count = dw_quarantine_pieces(quarantine, fingerprint, now_us, pieces)) > 0) {
		for (uint32_t i = 0; i < count; i++)
			withdraw_piece(quarantine, &pieces[i], scope, now_us);
		cleared += count;
	}
	return cleared;
}

size_t dw_quarantine_take_news(struct dw_quarantine *quarantine, bool is_abandoned,
			       enum dw_spread_scope scope, uint32_t round, uint64_t now_us,
			       struct dw_quarantine_evidence *out, size_t max)
{
	struct crash_history *history;
	size_t count = 0;

	for (history = quarantine->histories; history; history = history->hh.next) {
		for (uint32_t i = 0; i < history->crash_count && count < max; i++) {
			struct crash *crash = &history->crashes[i];

			if (crash->is_abandoned != is_abandoned || crash->expires_at_us <= now_us ||
			    !dw_news_schedule_take(&crash->news, &pace, scope, round))
				continue;
			out[count++] = (struct dw_quarantine_evidence){
				.fingerprint = history->fingerprint,
				.upstream_id = crash->upstream_id,
				.upstream_incarnation = crash->upstream_incarnation,
				.remaining_us =
					crash->is_withdrawn ? 0 : crash->expires_at_us - now_us,
				.is_abandoned = crash->is_abandoned,
			};
		}
	}
	return count;
}

bool dw_quarantine_next_evidence(struct dw_quarantine *quarantine, uint64_t now_us,
				 struct dw_quarantine_evidence *evidence)
{
	struct crash_history *history;

	for (history = quarantine->histories; history; history = history->hh.next) {
		for (uint32_t i = 0; i < history->crash_count; i++) {
			struct crash *crash = &history->crashes[i];

			if (!crash->unsent || crash->expires_at_us <= now_us)
				continue;
			crash->unsent = false;
			*evidence = (struct dw_quarantine_evidence){
				.fingerprint = history->fingerprint,
				.upstream_id = crash->upstream_id,
				.upstream_incarnation = crash->upstream_incarnation,
				.remaining_us =
					crash->is_withdrawn ? 0 : crash->expires_at_us - now_us,
				.is_abandoned = crash->is_abandoned,
			};
			return true;
		}
	}
	return false;
}

void dw_quarantine_resend(struct dw_quarantine *quarantine)
{
	struct crash_history *history;

	for (history = quarantine->histories; history; history = history->hh.next) {
		for (uint32_t i = 0; i < history->crash_count; i++)
			history->crashes[i].unsent = true;
	}
}

void dw_quarantine_tick(struct dw_quarantine *quarantine, uint64_t now_us)
{
	struct crash_history *history;
	struct crash_history *next;

	HASH_ITER(hh, quarantine->histories, history, next) {
		remove_expired(history, now_us);
		if (history->crash_count == 0)
			remove_history(quarantine, history);
	}
}

size_t dw_quarantine_count(const struct dw_quarantine *quarantine, uint64_t now_us)
{
	const struct crash_history *history;
	size_t count = 0;

	for (history = quarantine->histories; history; history = history->hh.next)
		count += live_crashes(history, now_us) >= DW_QUARANTINE_CRASHES;
	return count;
}

size_t dw_quarantine_suspect_count(const struct dw_quarantine *quarantine, uint64_t now_us)
{
	const struct crash_history *history;
	size_t count = 0;

	for (history = quarantine->histories; history; history = history->hh.next)
		count += live_crashes(history, now_us) > 0;
	return count - dw_quarantine_count(quarantine, now_us);
}
