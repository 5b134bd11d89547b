#include "wharf-gateway/caller_state.h"

#include "base/clock.h"

static struct dw_caller_budget *budget_of(const struct caller *caller)
{
	return caller->list->budget;
}

static struct caller *owner_of(struct dw_caller_account *account)
{
	return (struct caller *)((char *)account - offsetof(struct caller, account));
}

/* Ends a caller whose request hasn't been handed on; a request that has begun is answered as not run. */
static void end_caller(struct caller *caller)
{
	budget_of(caller)->ended++;
	if (caller->state == CALLER_READING)
		caller_refuse(caller, 503, "Service Unavailable", DW_OVERLOADED,
			      "ended to make room: the request made no progress",
			      CALLER_RETRY_AFTER_MS);
	else
		caller_close(caller);
}

static uint32_t address_of(const struct caller *caller)
{
	struct sockaddr_storage address = { 0 };
	int len = sizeof(address);

	if (uv_tcp_getpeername(&caller->tcp, (struct sockaddr *)&address, &len) != 0 ||
	    address.ss_family != AF_INET)
		return 0;
	return ntohl(((const struct sockaddr_in *)&address)->sin_addr.s_addr);
}

enum dw_caller_admission caller_room_open(struct caller *caller)
{
	struct dw_caller_budget *budget = budget_of(caller);
	enum dw_caller_admission admission;
	struct dw_caller_account *victim;
	uint32_t address;

	if (!budget)
		return DW_CALLER_ACCEPT;
	address = address_of(caller);
	admission = dw_caller_budget_admit(budget, address);
	if (admission != DW_CALLER_ACCEPT) {
		victim = dw_caller_budget_connection_to_end(budget, address, dw_clock_now_us());
		if (victim) {
			/* Its connection is needed now, so that it doesn't linger. */
			end_caller(owner_of(victim));
			caller_close(owner_of(victim));
			admission = dw_caller_budget_admit(budget, address);
		}
	}
	if (admission != DW_CALLER_ACCEPT)
		budget->rejected++;
	dw_caller_budget_add(budget, &caller->account, address, dw_clock_now_us());
	caller->has_account = true;
	caller_room_update(caller);
	return admission;
}

void caller_room_close(struct caller *caller)
{
	if (!caller->has_account)
		return;
	caller->has_account = false;
	dw_caller_budget_remove(budget_of(caller), &caller->account);
}

static enum dw_caller_phase phase_of(const struct caller *caller)
{
	switch (caller->state) {
	case CALLER_READING:
		return DW_CALLER_READING;
	case CALLER_ANSWERING:
		return DW_CALLER_RUNNING;
	case CALLER_LINGERING:
		return DW_CALLER_UNREAD;
	case CALLER_IDLE:
	case CALLER_CLOSING:
	case CALLER_STATE_COUNT:
		break;
	}
	return uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp) > 0
		       ? DW_CALLER_UNREAD
		       : DW_CALLER_IDLE;
}

void caller_room_update(struct caller *caller)
{
	if (!caller->has_account)
		return;
	dw_caller_account_enter(&caller->account, phase_of(caller), dw_clock_now_us());
	dw_caller_budget_hold(
		budget_of(caller), &caller->account,
		sizeof(*caller) + caller->reader.text_size + caller->body.size +
			caller->pipelined.size + caller->buffered_bytes +
			uv_stream_get_write_queue_size((const uv_stream_t *)&caller->tcp));
}

bool caller_room_make(struct caller *caller, size_t more)
{
	struct dw_caller_budget *budget = budget_of(caller);
	struct dw_caller_account *victim;

	if (!caller->has_account)
		return true;
	while (!dw_caller_budget_fits(budget, &caller->account, more)) {
		victim =
			dw_caller_budget_memory_to_end(budget, &caller->account, dw_clock_now_us());
		if (!victim)
			return false;
		end_caller(owner_of(victim));
	}
	return true;
}

void caller_room_moved(struct caller *caller, size_t bytes)
{
	if (caller->has_account)
		dw_caller_account_move(&caller->account, bytes, dw_clock_now_us());
}

bool caller_room_is_tight(const struct caller *caller)
{
	return caller->has_account && dw_caller_budget_is_tight(budget_of(caller));
}

void caller_room_reject(struct caller *caller)
{
	budget_of(caller)->rejected++;
	caller_refuse(caller, 503, "Service Unavailable", DW_OVERLOADED,
		      "too much is held for callers", CALLER_RETRY_AFTER_MS);
}
