#include <dragonflywharf/crash_check.h>

#include <stdlib.h>

/* The entry of an upstream that has ended is removed within this time, and the removal known here. */
#define KEPT_US UINT64_C(8000000)

struct crash_check {
	struct dw_crash_upstream upstream;
	bool has_ended;
	uint64_t lost_at_us;
	uint64_t expires_at_us;
	struct dw_crash_run requests[DW_CRASH_CHECK_REQUESTS_MAX];
	uint32_t request_count;
	struct crash_check *next;
};

struct dw_crash_checks {
	struct crash_check *checks;
	struct dw_crash_run result[DW_CRASH_CHECK_REQUESTS_MAX];
};

static const char *const sign_names[DW_CRASH_SIGN_COUNT] = {
	[DW_CRASH_SIGN_REFUSED] = "refused",	 [DW_CRASH_SIGN_REPLACED] = "replaced",
	[DW_CRASH_SIGN_RESTARTED] = "restarted", [DW_CRASH_SIGN_REMOVED] = "removed",
	[DW_CRASH_SIGN_CONNECTED] = "connected", [DW_CRASH_SIGN_ANSWERED] = "answered",
	[DW_CRASH_SIGN_LEAVING] = "leaving",	 [DW_CRASH_SIGN_TOLD] = "told",
};

const char *dw_crash_sign_name(enum dw_crash_sign sign)
{
	return sign < DW_CRASH_SIGN_COUNT ? sign_names[sign] : "unknown";
}

struct dw_crash_checks *dw_crash_checks_new(void)
{
	struct dw_crash_checks *checks = calloc(1, sizeof(*checks));

	if (!checks)
		abort();
	return checks;
}

/* Removes the check that @p link points to. */
static void forget(struct crash_check **link)
{
	struct crash_check *check = *link;

	*link = check->next;
	free(check);
}

void dw_crash_checks_free(struct dw_crash_checks *checks)
{
	dw_crash_checks_expire(checks, UINT64_MAX);
	free(checks);
}

/* The pointer to the upstream's check, or the one at the end of the list. */
static struct crash_check **find_link(struct dw_crash_checks *checks, uint64_t upstream_id)
{
	struct crash_check **link = &checks->checks;

	while (*link && (*link)->upstream.id != upstream_id)
		link = &(*link)->next;
	return link;
}

/* Copies the requests, since the check may be forgotten. */
static void set_result(struct dw_crash_checks *checks, const struct crash_check *check,
		       uint32_t first, struct dw_crash_requests *requests)
{
	uint32_t count = check->request_count - first;

	for (uint32_t i = 0; i < count; i++)
		checks->result[i] = check->requests[first + i];
	*requests = (struct dw_crash_requests){
		.items = checks->result,
		.count = count,
		.lost_at_us = check->lost_at_us,
		.had_ended = check->has_ended,
	};
}

static struct crash_check *find_or_add(struct dw_crash_checks *checks,
				       struct dw_crash_upstream upstream, uint64_t now_us)
{
	struct crash_check **link = find_link(checks, upstream.id);
	struct crash_check *check = *link;

	if (check && check->upstream.incarnation == upstream.incarnation)
		return check;
	if (check)
		forget(link);
	check = calloc(1, sizeof(*check));
	if (!check)
		abort();
	check->upstream = upstream;
	check->lost_at_us = now_us;
	check->expires_at_us = now_us + KEPT_US;
	check->next = checks->checks;
	checks->checks = check;
	return check;
}

enum dw_crash_verdict dw_crash_checks_lost(struct dw_crash_checks *checks,
					   struct dw_crash_upstream upstream,
					   const struct dw_crash_run *run, uint64_t now_us,
					   struct dw_crash_requests *requests)
{
	struct crash_check *check = find_or_add(checks, upstream, now_us);

	if (check->request_count == DW_CRASH_CHECK_REQUESTS_MAX)
		return DW_CRASH_OPEN;
	check->requests[check->request_count++] = *run;
	if (!check->has_ended)
		return DW_CRASH_OPEN;
	set_result(checks, check, check->request_count - 1, requests);
	return DW_CRASH_ENDED;
}

static enum dw_crash_verdict decide_ended(struct dw_crash_checks *checks, struct crash_check *check,
					  struct dw_crash_requests *requests)
{
	if (check->has_ended)
		return DW_CRASH_OPEN;
	set_result(checks, check, 0, requests);
	check->has_ended = true;
	return DW_CRASH_ENDED;
}

static enum dw_crash_verdict decide_alive(struct dw_crash_checks *checks, struct crash_check **link,
					  struct dw_crash_requests *requests)
{
	set_result(checks, *link, 0, requests);
	forget(link);
	return DW_CRASH_ALIVE;
}

enum dw_crash_verdict dw_crash_checks_sign(struct dw_crash_checks *checks, uint64_t upstream_id,
					   enum dw_crash_sign sign, uint64_t since_us,
					   struct dw_crash_requests *requests)
{
	struct crash_check **link = find_link(checks, upstream_id);
	struct crash_check *check = *link;

	if (!check)
		return DW_CRASH_OPEN;
	switch (sign) {
	case DW_CRASH_SIGN_REFUSED:
	case DW_CRASH_SIGN_REPLACED:
	case DW_CRASH_SIGN_RESTARTED:
	case DW_CRASH_SIGN_TOLD:
	case DW_CRASH_SIGN_REMOVED:
		return decide_ended(checks, check, requests);
	case DW_CRASH_SIGN_CONNECTED:
		/* After its end, whoever accepts connections at its address is another one. */
		if (check->has_ended || since_us <= check->lost_at_us)
			return DW_CRASH_OPEN;
		return decide_alive(checks, link, requests);
	case DW_CRASH_SIGN_ANSWERED:
		if (since_us <= check->lost_at_us)
			return DW_CRASH_OPEN;
		return decide_alive(checks, link, requests);
	case DW_CRASH_SIGN_LEAVING:
		return check->has_ended ? DW_CRASH_OPEN : decide_alive(checks, link, requests);
	case DW_CRASH_SIGN_COUNT:
		break;
	}
	return DW_CRASH_OPEN;
}

bool dw_crash_checks_is_open(const struct dw_crash_checks *checks, struct dw_fingerprint request)
{
	const struct crash_check *check;

	for (check = checks->checks; check; check = check->next) {
		for (uint32_t i = 0; !check->has_ended && i < check->request_count; i++) {
			if (dw_fingerprint_equal(check->requests[i].request, request))
				return true;
		}
	}
	return false;
}

static const struct crash_check *find(const struct dw_crash_checks *checks, uint64_t upstream_id)
{
	const struct crash_check *check = checks->checks;

	while (check && check->upstream.id != upstream_id)
		check = check->next;
	return check;
}

bool dw_crash_checks_has_ended(const struct dw_crash_checks *checks,
			       struct dw_crash_upstream upstream)
{
	const struct crash_check *check = find(checks, upstream.id);

	return check && check->has_ended && check->upstream.incarnation == upstream.incarnation;
}

bool dw_crash_checks_has_upstream(const struct dw_crash_checks *checks, uint64_t upstream_id)
{
	const struct crash_check *check = find(checks, upstream_id);

	return check && !check->has_ended;
}

void dw_crash_checks_expire(struct dw_crash_checks *checks, uint64_t now_us)
{
	struct crash_check **link = &checks->checks;

	while (*link) {
		if (now_us >= (*link)->expires_at_us)
			forget(link);
		else
			link = &(*link)->next;
	}
}
