#include "net/peer_mesh.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <uthash.h>

#include "base/clock.h"
#include "core/msgpack_check.h"

#define LENGTH_BYTES 4U
#define TYPE_BYTES 1U
#define READ_BYTES 65536U
#define LISTEN_BACKLOG 256
/** A peer that reads too slowly loses messages rather than our memory. */
#define QUEUE_MAX_BYTES (8U << 20)
#define RECONNECT_US (100 * DW_US_PER_MS)
#define HANDSHAKE_MS 2000U

enum link_state {
	LINK_CONNECTING,
	LINK_GREETING, /* greeting sent, the peer's awaited */
	LINK_READY, /* initiator: may send; acceptor: header and identity came */
	LINK_AWAITING_HEADER,
	LINK_AWAITING_IDENTITY,
	LINK_CLOSED,
	LINK_STATE_COUNT
};

struct buffer {
	uint8_t *base;
	size_t len;
	size_t capacity;
};

/* One TCP connection. Initiated links are kept by address, accepted ones in a list. */
struct link {
	struct dw_peer_mesh *mesh;
	uv_tcp_t tcp;
	uv_timer_t handshake_timer;
	uv_connect_t connect;
	enum link_state state;
	struct dw_peer_channel channel;
	struct dw_peer_identity peer;
	uint64_t address; /* key of an initiated link */
	uint64_t retry_at_us;
	struct buffer in;
	struct buffer out; /* plain messages that wait for the handshake */
	int open_handles;
	bool is_initiator;
	UT_hash_handle hh;
	struct link *next;
	struct link *previous;
};

/* When a connection attempt to an address may be made again. */
struct backoff {
	uint64_t address;
	uint64_t retry_at_us;
	UT_hash_handle hh;
};

struct dw_peer_mesh {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct dw_peer_mesh_options options;
	struct dw_peer_mesh_stats stats;
	struct link *initiated;
	struct link *accepted;
	struct backoff *backoffs;
	size_t open_links;
	bool stopping;
	bool listener_closed;
};

struct write {
	uv_write_t request;
	uint8_t bytes[];
};

static void buffer_append(struct buffer *buffer, const void *bytes, size_t len)
{
	if (buffer->len + len > buffer->capacity) {
		buffer->capacity = (buffer->len + len) * 2;
		buffer->base = realloc(buffer->base, buffer->capacity);
		if (!buffer->base)
			abort();
	}
	if (len > 0)
		memcpy(buffer->base + buffer->len, bytes, len);
	buffer->len += len;
}

static void buffer_consume(struct buffer *buffer, size_t len)
{
	buffer->len -= len;
	if (buffer->len > 0)
		memmove(buffer->base, buffer->base + len, buffer->len);
}

static void mesh_free_if_closed(struct dw_peer_mesh *mesh)
{
	struct backoff *backoff = mesh->backoffs;

	if (!mesh->stopping || !mesh->listener_closed || mesh->open_links > 0)
		return;
	HASH_CLEAR(hh, mesh->backoffs);
	while (backoff) {
		struct backoff *next = backoff->hh.next;

		free(backoff);
		backoff = next;
	}
	free(mesh);
}

static void on_link_handle_closed(uv_handle_t *handle)
{
	struct link *link = handle->data;
	struct dw_peer_mesh *mesh = link->mesh;

	if (--link->open_handles > 0)
		return;
	free(link->in.base);
	free(link->out.base);
	free(link);
	mesh->open_links--;
	mesh_free_if_closed(mesh);
}

static void set_backoff(struct dw_peer_mesh *mesh, uint64_t address)
{
	struct backoff *backoff;

	HASH_FIND(hh, mesh->backoffs, &address, sizeof(address), backoff);
	if (!backoff) {
		backoff = calloc(1, sizeof(*backoff));
		if (!backoff)
			abort();
		backoff->address = address;
		HASH_ADD(hh, mesh->backoffs, address, sizeof(address), backoff);
	}
	backoff->retry_at_us = dw_clock_now_us() + RECONNECT_US;
}

static bool in_backoff(struct dw_peer_mesh *mesh, uint64_t address)
{
	struct backoff *backoff;

	HASH_FIND(hh, mesh->backoffs, &address, sizeof(address), backoff);
	return backoff && dw_clock_now_us() < backoff->retry_at_us;
}

static void link_close(struct link *link)
{
	struct dw_peer_mesh *mesh = link->mesh;

	if (link->state == LINK_CLOSED)
		return;
	link->state = LINK_CLOSED;
	if (link->is_initiator) {
		HASH_DEL(mesh->initiated, link);
		set_backoff(mesh, link->address);
	} else {
		if (link->previous)
			link->previous->next = link->next;
		else
			mesh->accepted = link->next;
		if (link->next)
			link->next->previous = link->previous;
	}
	uv_close((uv_handle_t *)&link->tcp, on_link_handle_closed);
	uv_close((uv_handle_t *)&link->handshake_timer, on_link_handle_closed);
}

static void link_refuse(struct link *link)
{
	struct sockaddr_in address;
	int len = sizeof(address);
	char ip[DW_PEER_IP_BYTES] = "";

	if (uv_tcp_getpeername(&link->tcp, (struct sockaddr *)&address, &len) == 0)
		uv_ip4_name(&address, ip, sizeof(ip));
	link->mesh->stats.refused_peers++;
	dw_log_event(link->mesh->options.log, DW_EVENT_PEER_REFUSED, DW_STR("ip", ip),
		     DW_STR("peer", link->peer.name), DW_STR("reason", dw_last_message()));
	link_close(link);
}

static void on_written(uv_write_t *request, int status)
{
	struct link *link = request->data;

	free(request);
	if (status != 0 && status != UV_ECANCELED)
		link_close(link);
}

static void link_write(struct link *link, const void *bytes, size_t len)
{
	struct write *write = malloc(sizeof(*write) + len);
	uv_buf_t buf;

	if (!write)
		abort();
	memcpy(write->bytes, bytes, len);
	write->request.data = link;
	buf = uv_buf_init((char *)write->bytes, (unsigned int)len);
	link->mesh->stats.sent_bytes += len;
	if (uv_write(&write->request, (uv_stream_t *)&link->tcp, &buf, 1, on_written) != 0)
		free(write);
}

static void link_send_sealed(struct link *link, const void *plain, size_t len)
{
	size_t sealed_len = len + DW_CHANNEL_SEAL_BYTES;
	uint8_t *frame = malloc(LENGTH_BYTES + sealed_len);
	uint32_t wire_len = htonl((uint32_t)sealed_len);

	if (!frame)
		abort();
	memcpy(frame, &wire_len, LENGTH_BYTES);
	dw_peer_channel_seal(&link->channel, plain, len, frame + LENGTH_BYTES);
	link_write(link, frame, LENGTH_BYTES + sealed_len);
	free(frame);
}

/* What the initiator sends once both greetings are known: header, identity, waiting messages. */
static void link_become_sender(struct link *link)
{
	uint8_t header[DW_CHANNEL_HEADER_BYTES];
	msgpack_sbuffer identity;
	msgpack_packer packer;
	size_t at = 0;

	dw_peer_channel_start_push(&link->channel, header);
	link_write(link, header, sizeof(header));
	msgpack_sbuffer_init(&identity);
	msgpack_packer_init(&packer, &identity, msgpack_sbuffer_write);
	dw_peer_identity_pack(&packer, &link->mesh->options.self);
	link_send_sealed(link, identity.data, identity.size);
	msgpack_sbuffer_destroy(&identity);
	link->state = LINK_READY;
	uv_timer_stop(&link->handshake_timer);
	while (at < link->out.len) {
		uint32_t len;

		memcpy(&len, link->out.base + at, LENGTH_BYTES);
		link_send_sealed(link, link->out.base + at + LENGTH_BYTES, len);
		at += LENGTH_BYTES + len;
	}
	link->out.len = 0;
}

static enum dw_status take_greeting(struct link *link)
{
	enum dw_status status = dw_peer_channel_greeted(&link->channel, link->in.base);

	buffer_consume(&link->in, DW_CHANNEL_GREETING_BYTES);
	if (status != DW_OK)
		return status;
	if (link->is_initiator)
		link_become_sender(link);
	else
		link->state = LINK_AWAITING_HEADER;
	return DW_OK;
}

static enum dw_status take_header(struct link *link)
{
	enum dw_status status = dw_peer_channel_start_pull(&link->channel, link->in.base);

	buffer_consume(&link->in, DW_CHANNEL_HEADER_BYTES);
	link->state = LINK_AWAITING_IDENTITY;
	return status;
}

static enum dw_status take_message(struct link *link, const uint8_t *plain, size_t len)
{
	struct dw_peer_mesh *mesh = link->mesh;
	bool is_identity = link->state == LINK_AWAITING_IDENTITY;
	size_t skip = is_identity ? 0 : TYPE_BYTES;
	msgpack_unpacked value;
	enum dw_status status = DW_OK;
	size_t used = skip;

	if (len <= skip)
		return dw_fail(DW_INVALID_ARGUMENT, "peer's message is empty");
	msgpack_unpacked_init(&value);
	if (msgpack_unpack_next(&value, (const char *)plain, len, &used) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    used != len) {
		status = dw_fail(DW_INVALID_ARGUMENT, "peer's message is no msgpack value");
	} else if (is_identity) {
		status = dw_peer_identity_unpack(&value.data, &link->peer);
		link->state = LINK_READY;
		uv_timer_stop(&link->handshake_timer);
	} else {
		mesh->stats.received_messages++;
		mesh->options.on_message(&link->peer, plain[0],
					 &(struct dw_peer_payload){ &value.data, plain + TYPE_BYTES,
								    len - TYPE_BYTES },
					 mesh->options.data);
	}
	msgpack_unpacked_destroy(&value);
	return status;
}

/* Takes one frame if it is whole. Sets *taken. */
static enum dw_status take_frame(struct link *link, bool *taken)
{
	uint32_t len;
	uint8_t *plain;
	enum dw_status status;

	memcpy(&len, link->in.base, LENGTH_BYTES);
	len = ntohl(len);
	*taken = false;
	if (len > DW_PEER_FRAME_MAX_BYTES || len <= DW_CHANNEL_SEAL_BYTES)
		return dw_fail(DW_TOO_LARGE, "peer's frame of %u bytes is out of bounds", len);
	if (link->in.len < LENGTH_BYTES + len)
		return DW_OK;
	*taken = true;
	plain = malloc(len);
	if (!plain)
		return dw_fail(DW_NO_MEMORY, "no memory for a frame of %u bytes", len);
	status = dw_peer_channel_open(&link->channel, link->in.base + LENGTH_BYTES, len, plain);
	buffer_consume(&link->in, LENGTH_BYTES + len);
	if (status == DW_OK)
		status = take_message(link, plain, len - DW_CHANNEL_SEAL_BYTES);
	free(plain);
	return status;
}

/* Takes the next whole unit of input. Sets *taken to whether there was one. */
static enum dw_status link_take(struct link *link, bool *taken)
{
	size_t need = LENGTH_BYTES;

	if (link->state == LINK_GREETING)
		need = DW_CHANNEL_GREETING_BYTES;
	else if (link->state == LINK_AWAITING_HEADER)
		need = DW_CHANNEL_HEADER_BYTES;
	*taken = link->in.len >= need;
	if (!*taken)
		return DW_OK;
	switch (link->state) {
	case LINK_GREETING:
		return take_greeting(link);
	case LINK_AWAITING_HEADER:
		return take_header(link);
	case LINK_AWAITING_IDENTITY:
	case LINK_READY:
		if (link->is_initiator)
			return dw_fail(DW_INVALID_ARGUMENT, "an acceptor sent a frame");
		return take_frame(link, taken);
	case LINK_CONNECTING:
	case LINK_CLOSED:
	case LINK_STATE_COUNT:
		break;
	}
	*taken = false;
	return DW_OK;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[READ_BYTES];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct link *link = stream->data;
	enum dw_status status = DW_OK;
	bool taken = true;

	if (n < 0) {
		link_close(link);
		return;
	}
	link->mesh->stats.received_bytes += (uint64_t)n;
	buffer_append(&link->in, buf->base, (size_t)n);
	while (taken && status == DW_OK && link->state != LINK_CLOSED)
		status = link_take(link, &taken);
	if (status != DW_OK)
		link_refuse(link);
}

static void on_handshake_late(uv_timer_t *timer)
{
	struct link *link = timer->data;

	if (!link->is_initiator) {
		dw_fail(DW_TIMEOUT, "peer didn't finish its handshake");
		link_refuse(link);
		return;
	}
	link_close(link);
}

static struct link *link_new(struct dw_peer_mesh *mesh, bool is_initiator)
{
	struct link *link = calloc(1, sizeof(*link));
	uint8_t nonce[DW_CHANNEL_NONCE_BYTES];

	if (!link)
		abort();
	link->mesh = mesh;
	link->is_initiator = is_initiator;
	link->open_handles = 2;
	uv_tcp_init(mesh->loop, &link->tcp);
	uv_timer_init(mesh->loop, &link->handshake_timer);
	link->tcp.data = link;
	link->handshake_timer.data = link;
	link->connect.data = link;
	randombytes_buf(nonce, sizeof(nonce));
	dw_peer_channel_init(&link->channel, mesh->options.cluster_key, nonce, is_initiator);
	uv_timer_start(&link->handshake_timer, on_handshake_late, HANDSHAKE_MS, 0);
	mesh->open_links++;
	return link;
}

static void link_greet(struct link *link)
{
	uint8_t greeting[DW_CHANNEL_GREETING_BYTES];

	uv_tcp_nodelay(&link->tcp, 1);
	dw_peer_channel_greeting(&link->channel, greeting);
	link->state = LINK_GREETING;
	link_write(link, greeting, sizeof(greeting));
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct link *link = request->data;

	if (status == UV_ECANCELED)
		return;
	if (status != 0)
		link_close(link);
	else
		link_greet(link);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct dw_peer_mesh *mesh = listener->data;
	struct link *link;

	if (status != 0)
		return;
	link = link_new(mesh, false);
	link->next = mesh->accepted;
	if (link->next)
		link->next->previous = link;
	mesh->accepted = link;
	if (uv_accept(listener, (uv_stream_t *)&link->tcp) != 0)
		link_close(link);
	else
		link_greet(link);
}

static struct link *link_to(struct dw_peer_mesh *mesh, const char *ip, uint16_t port)
{
	struct sockaddr_in address;
	struct link *link;
	uint64_t key;

	if (uv_ip4_addr(ip, port, &address) != 0)
		return NULL;
	key = (uint64_t)address.sin_addr.s_addr << 16 | port;
	HASH_FIND(hh, mesh->initiated, &key, sizeof(key), link);
	if (link)
		return link;
	if (in_backoff(mesh, key))
		return NULL;
	link = link_new(mesh, true);
	link->address = key;
	HASH_ADD(hh, mesh->initiated, address, sizeof(key), link);
	if (uv_tcp_connect(&link->connect, &link->tcp, (const struct sockaddr *)&address,
			   on_connected) != 0) {
		link_close(link);
		return NULL;
	}
	return link;
}

void dw_peer_mesh_send(struct dw_peer_mesh *mesh, const char *ip, uint16_t port, uint8_t type,
		       const void *value, size_t len)
{
	struct link *link = mesh->stopping ? NULL : link_to(mesh, ip, port);
	uint32_t plain_len = (uint32_t)(TYPE_BYTES + len);
	uint8_t *plain;

	if (!link || len > DW_PEER_FRAME_MAX_BYTES - DW_CHANNEL_SEAL_BYTES - TYPE_BYTES ||
	    link->out.len + link->tcp.write_queue_size > QUEUE_MAX_BYTES) {
		mesh->stats.dropped_messages++;
		return;
	}
	plain = malloc(plain_len);
	if (!plain)
		abort();
	plain[0] = type;
	memcpy(plain + TYPE_BYTES, value, len);
	mesh->stats.sent_messages++;
	if (link->state == LINK_READY) {
		link_send_sealed(link, plain, plain_len);
	} else {
		buffer_append(&link->out, &plain_len, LENGTH_BYTES);
		buffer_append(&link->out, plain, plain_len);
	}
	free(plain);
}

static enum dw_status mesh_listen(struct dw_peer_mesh *mesh)
{
	const struct dw_peer_mesh_options *options = &mesh->options;
	struct sockaddr_in address;
	int rc = uv_ip4_addr(options->bind_ip, options->bind_port, &address);

	if (rc == 0)
		rc = uv_tcp_bind(&mesh->listener, (const struct sockaddr *)&address, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&mesh->listener, LISTEN_BACKLOG, on_connection);
	if (rc != 0)
		return dw_fail(DW_UNAVAILABLE, "can't take peers on %s:%u: %s", options->bind_ip,
			       options->bind_port, uv_strerror(rc));
	return DW_OK;
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct dw_peer_mesh *mesh = handle->data;

	mesh->listener_closed = true;
	mesh_free_if_closed(mesh);
}

enum dw_status dw_peer_mesh_start(struct dw_peer_mesh **out, uv_loop_t *loop,
				  const struct dw_peer_mesh_options *options)
{
	struct dw_peer_mesh *mesh = calloc(1, sizeof(*mesh));
	enum dw_status status;

	*out = NULL;
	if (!mesh || sodium_init() < 0)
		abort();
	mesh->loop = loop;
	mesh->options = *options;
	uv_tcp_init(loop, &mesh->listener);
	mesh->listener.data = mesh;
	status = mesh_listen(mesh);
	if (status != DW_OK) {
		dw_peer_mesh_stop(mesh);
		return status;
	}
	if (mesh->options.self.port == 0)
		mesh->options.self.port = dw_peer_mesh_port(mesh);
	*out = mesh;
	return DW_OK;
}

uint16_t dw_peer_mesh_port(const struct dw_peer_mesh *mesh)
{
	struct sockaddr_in address;
	int len = sizeof(address);

	uv_tcp_getsockname(&mesh->listener, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

const struct dw_peer_mesh_stats *dw_peer_mesh_stats(const struct dw_peer_mesh *mesh)
{
	return &mesh->stats;
}

void dw_peer_mesh_stop(struct dw_peer_mesh *mesh)
{
	struct link *link;
	struct link *next;

	mesh->stopping = true;
	HASH_ITER(hh, mesh->initiated, link, next) {
		link_close(link);
	}
	while (mesh->accepted)
		link_close(mesh->accepted);
	uv_close((uv_handle_t *)&mesh->listener, on_listener_closed);
}
