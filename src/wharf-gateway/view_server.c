#include "wharf-gateway/view_server.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "wharf-gateway/view_answer.h"

#define LISTEN_BACKLOG 512
#define CHECK_PERIOD_MS 100

static const struct dw_caller_limits peer_limits = {
	.max_header_bytes = 4096,
	.max_body_bytes = 0,
	.header_timeout_ms = 3000,
	.idle_timeout_ms = 10000,
};

/* A request that waits for news. */
struct view_request {
	struct view_server *server;
	struct caller *caller;
	uint64_t after;
	enum view_ask asked;
	uint64_t arrived_at_us;
	uint64_t confirmed_at_us; /* the proof when it arrived */
	struct view_request *next;
	struct view_request **link; /* the pointer to this request */
};

static void refuse(struct caller *caller, int status, const char *reason)
{
	caller_begin(caller, status, reason, NULL, 0);
	caller_end(caller);
}

static void send_answer(struct view_server *server, struct caller *caller, uint64_t after,
			enum view_ask asked, uint64_t arrived_at_us)
{
	uint64_t now_us = dw_clock_now_us();
	struct view_answer answer =
		view_answer_make(server->view, after, asked, arrived_at_us, now_us);
	struct bytes fields = { 0 };
	msgpack_sbuffer body;
	msgpack_packer packer;

	if (view_answer_is_in_store(server->view, after)) {
		refuse(caller, VIEW_STATUS_ASK_STORE, "Conflict");
		return;
	}
	msgpack_sbuffer_init(&body);
	msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
	view_answer_pack(&packer, &answer, server->view->records, after);
	bytes_put_text(&fields, "Content-Type: application/msgpack\r\n");
	server->answers++;
	server->answer_bytes += body.size;
	caller_begin(caller, 200, "OK", &fields, body.size);
	caller_write(caller, body.data, body.size);
	caller_end(caller);
	bytes_free(&fields);
	msgpack_sbuffer_destroy(&body);
}

static bool has_news(const struct view_request *request, uint64_t now_us)
{
	const struct view *view = request->server->view;

	return dw_view_log_revision(view->records) > request->after ||
	       (request->asked != VIEW_ASK_CHANGES && view->confirmed_at_us > 0) ||
	       view->confirmed_at_us > request->confirmed_at_us ||
	       now_us >= request->arrived_at_us + view->source.timing.hold_us;
}

static void hold(struct view_server *server, struct view_request *request)
{
	request->next = server->held;
	request->link = &server->held;
	if (request->next)
		request->next->link = &request->next;
	server->held = request;
}

static void release(struct view_request *request)
{
	*request->link = request->next;
	if (request->next)
		request->next->link = request->link;
}

static void answer_held(struct view_server *server)
{
	uint64_t now_us = dw_clock_now_us();
	struct view_request *due = NULL;
	struct view_request *request;
	struct view_request *next;

	/* An answer may be followed at once by the next request, which is held in turn. */
	for (request = server->held; request; request = next) {
		next = request->next;
		if (!has_news(request, now_us))
			continue;
		release(request);
		request->next = due;
		due = request;
	}
	for (request = due; request; request = next) {
		next = request->next;
		send_answer(server, request->caller, request->after, request->asked,
			    request->arrived_at_us);
		free(request);
	}
}

void view_server_confirmed(struct view_server *server)
{
	answer_held(server);
}

static void on_check_timer(uv_timer_t *timer)
{
	answer_held(timer->data);
}

static bool read_asked(const char *text, enum view_ask *asked)
{
	*asked = VIEW_ASK_CHANGES;
	if (*text == '\0')
		return true;
	if (strncmp(text, VIEW_TARGET_WITH, strlen(VIEW_TARGET_WITH)) != 0)
		return false;
	return view_ask_read(text + strlen(VIEW_TARGET_WITH), asked);
}

static bool read_target(const char *target, uint64_t *after, enum view_ask *asked)
{
	size_t prefix = strlen(VIEW_TARGET);
	char *end;

	if (strncmp(target, VIEW_TARGET, prefix) != 0 || target[prefix] < '0' ||
	    target[prefix] > '9')
		return false;
	errno = 0;
	*after = strtoull(target + prefix, &end, 10);
	return errno == 0 && read_asked(end, asked);
}

static void *on_request(void *owner, struct caller *caller, const struct caller_request *received)
{
	struct view_server *server = owner;
	struct view_request *request;
	uint64_t after;
	enum view_ask asked;

	if (strcmp(received->head->method, "GET") != 0 ||
	    !read_target(received->head->target, &after, &asked)) {
		refuse(caller, 404, "Not Found");
		return NULL;
	}
	request = calloc(1, sizeof(*request));
	if (!request)
		abort();
	request->server = server;
	request->caller = caller;
	request->after = after;
	request->asked = asked;
	request->arrived_at_us = received->arrived_at_us;
	request->confirmed_at_us = server->view->confirmed_at_us;
	if (!has_news(request, request->arrived_at_us) &&
	    !view_answer_is_in_store(server->view, after)) {
		hold(server, request);
		return request;
	}
	free(request);
	send_answer(server, caller, after, asked, received->arrived_at_us);
	return NULL;
}

static void on_disconnect(void *request)
{
	if (!request)
		return;
	release(request);
	free(request);
}

static void on_drained(void *request)
{
}

static const struct dw_caller_limits *limits(void *owner)
{
	return &peer_limits;
}

/* Other instances are served until this one exits, also while it stops. */
static bool is_stopping(void *owner)
{
	return false;
}

static const struct caller_callbacks callbacks = {
	.on_request = on_request,
	.on_disconnect = on_disconnect,
	.on_drained = on_drained,
	.limits = limits,
	.is_stopping = is_stopping,
};

static void on_connection(uv_stream_t *listener, int status)
{
	struct view_server *server = listener->data;

	if (status == 0)
		caller_accept(listener, &server->connections, &callbacks, server);
}

enum dw_status view_server_start(struct view_server *server, uv_loop_t *loop, struct view *view)
{
	const struct dw_endpoint *own = &view->settings->peer_address;
	struct sockaddr_in address;
	int error;

	server->view = view;
	if (own->port == 0)
		return DW_OK;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr(own->ip, own->port, &address);
	error = uv_tcp_bind(&server->listener, (const struct sockaddr *)&address, 0);
	if (error == 0)
		error = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection);
	if (error != 0)
		return dw_fail(DW_UNAVAILABLE, "cannot listen on %s:%u: %s", own->ip, own->port,
			       uv_strerror(error));
	uv_timer_init(loop, &server->timer);
	server->timer.data = server;
	uv_timer_start(&server->timer, on_check_timer, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
	return DW_OK;
}
