#include <dragonflywharf/view_tree.h>

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/rendezvous.h>

/* Fleets from this size on have three readers, smaller ones two. */
#define THREE_READERS_MEMBERS 64
/* Instances after the readers that also serve as sources when no reader answers. */
#define SPARE_SOURCES 3
/* Key of the fleet-wide order. */
#define FLEET_KEY UINT64_C(0x7265616465727321)

uint32_t dw_view_reader_count(uint32_t members)
{
	uint32_t readers = members < THREE_READERS_MEMBERS ? 2 : 3;

	return members < readers ? members : readers;
}

static int compare(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

static int by_domain(const void *left, const void *right)
{
	const struct dw_view_ranked *a = left;
	const struct dw_view_ranked *b = right;
	int order = compare(a->member.domain_key, b->member.domain_key);

	if (order == 0)
		order = compare(b->score, a->score);
	return order != 0 ? order : compare(a->member.instance_id, b->member.instance_id);
}

/* The first instances of all failure domains come first, then all second ones, and so on. */
static int by_rank(const void *left, const void *right)
{
	const struct dw_view_ranked *a = left;
	const struct dw_view_ranked *b = right;
	int order = compare(a->domain_rank, b->domain_rank);

	if (order == 0)
		order = compare(dw_rendezvous_score(FLEET_KEY, b->member.instance_id),
				dw_rendezvous_score(FLEET_KEY, a->member.instance_id));
	return order != 0 ? order : compare(a->member.instance_id, b->member.instance_id);
}

void dw_view_rank_domains(const struct dw_view_member *members, uint32_t count,
			  struct dw_view_ranked *ranked)
{
	for (uint32_t i = 0; i < count; i++) {
		ranked[i].member = members[i];
		ranked[i].score =
			dw_rendezvous_score(members[i].domain_key, members[i].instance_id);
	}
	qsort(ranked, count, sizeof(*ranked), by_domain);
	for (uint32_t i = 0; i < count; i++) {
		bool is_first =
			i == 0 || ranked[i].member.domain_key != ranked[i - 1].member.domain_key;

		ranked[i].domain_rank = is_first ? 0 : ranked[i - 1].domain_rank + 1;
	}
}

static uint32_t find(const struct dw_view_ranked *all, uint32_t count, uint64_t id)
{
	uint32_t at = 0;

	while (at < count && all[at].member.instance_id != id)
		at++;
	return at;
}

static void add_source(struct dw_view_place *place, uint64_t self, uint64_t id)
{
	if (id == self || place->source_count == DW_VIEW_SOURCES_MAX)
		return;
	for (uint32_t i = 0; i < place->source_count; i++) {
		if (place->sources[i] == id)
			return;
	}
	place->sources[place->source_count++] = id;
}

/* The parent in the failure domain's tree, its parent, and so on up to the root. @p at is the index
 * in the order by domain. */
static void add_parents(struct dw_view_place *place, const struct dw_view_ranked *all, uint32_t at)
{
	uint64_t self = all[at].member.instance_id;
	uint32_t root = at - all[at].domain_rank;
	uint32_t domain_rank = all[at].domain_rank;

	while (domain_rank > 0) {
		domain_rank = (domain_rank - 1) / DW_VIEW_FANOUT;
		add_source(place, self, all[root + domain_rank].member.instance_id);
	}
}

/* The readers, each instance beginning with another one, and a few that would follow them. */
static void add_readers(struct dw_view_place *place, const struct dw_view_ranked *all,
			uint32_t count, uint64_t self)
{
	uint32_t last = place->readers + SPARE_SOURCES;

	for (uint32_t i = 0; i < place->readers; i++) {
		uint32_t at = (place->rank + 1 + i) % place->readers;

		add_source(place, self, all[at].member.instance_id);
	}
	for (uint32_t at = place->readers; at < last && at < count; at++)
		add_source(place, self, all[at].member.instance_id);
}

uint32_t dw_view_place_find(const struct dw_view_member *members, uint32_t count, uint64_t self,
			    struct dw_view_place *place)
{
	struct dw_view_ranked *all = calloc(count + 1, sizeof(*all));
	uint32_t at;

	memset(place, 0, sizeof(*place));
	place->members = 1;
	place->readers = 1;
	if (!all)
		return 0;
	dw_view_rank_domains(members, count, all);
	at = find(all, count, self);
	if (at < count) {
		place->members = count;
		place->readers = dw_view_reader_count(count);
		place->domain_rank = all[at].domain_rank;
		add_parents(place, all, at);
		qsort(all, count, sizeof(*all), by_rank);
		place->rank = find(all, count, self);
		add_readers(place, all, count, self);
	}
	free(all);
	return at < count ? count : 0;
}
