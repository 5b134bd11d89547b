#include "dragonflywharfd/request_headers.h"

#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MAX_MS 3600000U
#define BUDGETS_MAX 4096U

static const char *const priority_names[DW_ADMISSION_PRIORITY_COUNT] = {
	[DW_ADMISSION_HIGH] = "high",
	[DW_ADMISSION_NORMAL] = "normal",
	[DW_ADMISSION_LOW] = "low",
};

static enum dw_admission_priority read_priority(struct dw_http_exchange *exchange)
{
	const char *name = dw_http_header(exchange, "x-priority");

	for (int i = 0; name && i < DW_ADMISSION_PRIORITY_COUNT; i++) {
		if (strcmp(name, priority_names[i]) == 0)
			return (enum dw_admission_priority)i;
	}
	return DW_ADMISSION_NORMAL;
}

static uint64_t read_timeout_ms(struct daemon *daemon, struct dw_http_exchange *exchange)
{
	const char *text = dw_http_header(exchange, "x-request-timeout-ms");
	char *end;
	unsigned long number;

	if (!text || *text < '0' || *text > '9')
		return daemon->settings.request_timeout_ms;
	number = strtoul(text, &end, 10);
	if (*end != '\0' || number == 0 || number > TIMEOUT_MAX_MS)
		return daemon->settings.request_timeout_ms;
	return number;
}

void request_headers_read(struct daemon *daemon, struct dw_http_exchange *exchange,
			  const char *organisation, struct dw_fingerprint *request_id,
			  uint64_t *deadline_us, enum dw_admission_priority *priority)
{
	const char *key = dw_http_header(exchange, "idempotency-key");

	if (key) {
		*request_id = dw_fingerprint_strings(organisation, key);
	} else {
		request_id->low = daemon_random(daemon);
		request_id->high = daemon_random(daemon);
	}
	*deadline_us = dw_clock_now_us() + read_timeout_ms(daemon, exchange) * DW_US_PER_MS;
	*priority = read_priority(exchange);
}

struct dw_retry_budget *request_headers_budget(struct daemon *daemon, uint64_t organisation_id)
{
	struct organisation_budget *found;

	HASH_FIND(hh, daemon->budgets, &organisation_id, sizeof(organisation_id), found);
	if (found)
		return &found->budget;
	if (HASH_COUNT(daemon->budgets) >= BUDGETS_MAX)
		return NULL;
	found = calloc(1, sizeof(*found));
	if (!found)
		abort();
	found->organisation_id = organisation_id;
	HASH_ADD(hh, daemon->budgets, organisation_id, sizeof(organisation_id), found);
	return &found->budget;
}

void request_headers_credit_budget(struct daemon *daemon, uint64_t organisation_id)
{
	struct dw_retry_budget_options options = dw_retry_budget_default_options();
	struct dw_retry_budget *budget = request_headers_budget(daemon, organisation_id);

	if (budget)
		dw_retry_budget_success(budget, &options, dw_clock_now_us());
}
