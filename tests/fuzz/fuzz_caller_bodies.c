#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/caller_budget.h>

#include "base/bytes.h"
#include "net/http_reader.h"

#define CALLERS 4
#define MAX_BODY_BYTES 4096
#define MAX_HELD_BYTES 16384
#define US_PER_STEP 300000

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* A caller that sends a chunked body, with the accounting of caller.c. */
struct sender {
	struct http_reader reader;
	struct bytes body;
	struct dw_caller_budget *budget;
	struct dw_caller_account account;
	size_t received; /* of the body, as the reader says */
	bool is_ended;
};

static bool on_head(void *owner, const struct http_head *head)
{
	return true;
}

static bool on_body(void *owner, const char *bytes, size_t len)
{
	struct sender *sender = owner;
	size_t growth = bytes_growth(&sender->body, len);

	if (sender->body.len + len > MAX_BODY_BYTES ||
	    (growth > 0 && !dw_caller_budget_fits(sender->budget, &sender->account, growth)))
		return false;
	bytes_put(&sender->body, bytes, len);
	sender->received += len;
	dw_caller_budget_hold(sender->budget, &sender->account, sender->body.size);
	if (sender->budget->bytes > MAX_HELD_BYTES || sender->body.len != sender->received)
		abort();
	return true;
}

static void on_end(void *owner)
{
}

static const struct http_reader_callbacks callbacks = { on_head, on_body, on_end };

static void start(struct sender *sender, struct dw_caller_budget *budget, uint32_t address)
{
	static const char head[] =
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
	size_t used;

	sender->budget = budget;
	dw_caller_budget_add(budget, &sender->account, address, 0);
	dw_caller_account_enter(&sender->account, DW_CALLER_READING, 0);
	http_reader_init(&sender->reader, HTTP_READER_REQUEST, 2048, &callbacks, sender);
	if (http_reader_feed(&sender->reader, head, sizeof(head) - 1, &used) != DW_OK)
		abort();
}

static void end(struct sender *sender)
{
	sender->is_ended = true;
	bytes_free(&sender->body);
	dw_caller_budget_hold(sender->budget, &sender->account, 0);
}

static void feed(struct sender *sender, const char *bytes, size_t len, uint64_t now_us)
{
	size_t used = 0;

	if (sender->is_ended)
		return;
	if (http_reader_feed(&sender->reader, bytes, len, &used) != DW_OK ||
	    sender->reader.is_complete)
		end(sender);
	dw_caller_account_move(&sender->account, used, now_us);
}

/* Pieces of chunked bodies of several callers, in any order and split anywhere, keep the account equal to
 * what is allocated and within its limit. The first byte of a piece has its caller (2 bits) and its
 * length (6 bits). */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	struct dw_caller_limits_of_machine machine = { .caller_bytes = MAX_HELD_BYTES,
						       .caller_connections = CALLERS };
	struct dw_caller_budget budget = { 0 };
	struct sender senders[CALLERS] = { 0 };
	struct dw_caller_account *stalled;
	uint64_t now_us = 0;
	size_t allocated = 0;

	dw_caller_budget_set_limits(&budget, &machine);
	for (uint32_t i = 0; i < CALLERS; i++)
		start(&senders[i], &budget, i / 2);
	for (size_t at = 0; at < len;) {
		struct sender *sender = &senders[bytes[at] % CALLERS];
		size_t piece = bytes[at++] / CALLERS;

		if (piece > len - at)
			piece = len - at;
		now_us += US_PER_STEP;
		feed(sender, (const char *)bytes + at, piece, now_us);
		at += piece;
		stalled = dw_caller_budget_memory_to_end(&budget, &sender->account, now_us);
		if (stalled == &sender->account)
			abort();
	}
	for (uint32_t i = 0; i < CALLERS; i++)
		allocated += senders[i].body.size;
	if (budget.bytes != allocated)
		abort();
	for (uint32_t i = 0; i < CALLERS; i++) {
		dw_caller_budget_remove(&budget, &senders[i].account);
		http_reader_close(&senders[i].reader);
		bytes_free(&senders[i].body);
	}
	if (budget.bytes != 0 || budget.connections != 0 || budget.addresses)
		abort();
	return 0;
}
