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
/* Messages to a peer beyond this are dropped, so that a slow peer cannot exhaust our memory. */
#define QUEUE_MAX_BYTES (8U << 20)
#define RECONNECT_DELAY_US (100 * DW_US_PER_MS)
#define HANDSHAKE_TIMEOUT_MS 2000U

enum connection_state {
	CONNECTION_CONNECTING,
	CONNECTION_AWAITING_GREETING, /* own greeting sent, waiting for the peer's */
	CONNECTION_READY, /* initiator: may send; acceptor: header and identity received */
	CONNECTION_AWAITING_HEADER, /* acceptor only, as the next one */
	CONNECTION_AWAITING_IDENTITY,
	CONNECTION_CLOSED,
	CONNECTION_STATE_COUNT
};

struct buffer {
	uint8_t *base;
	size_t len;
	size_t capacity;
};

/* One TCP connection. Initiated ones are in a hash table by address, accepted ones in a list. */
struct connection {
	struct dw_peer_mesh *mesh;
	uv_tcp_t tcp;
	uv_timer_t handshake_timer;
	uv_connect_t connect;
	enum connection_state state;
	struct dw_peer_channel channel;
	struct dw_peer_identity peer;
	uint64_t address; /* IPv4 address and port: hash key of an initiated connection */
	uint64_t retry_at_us;
	struct buffer in;
	/* Unencrypted messages queued until the handshake is complete, each after its length (32
	 * bits, host byte order). */
	struct buffer out;
	int open_handles;
	bool is_initiator;
	UT_hash_handle hh;
	struct connection *next;
	struct connection *previous;
};

/* Delays the next connection attempt to an address after a connection was closed. */
struct backoff {
	uint64_t address; /* IPv4 address and port, as in struct connection */
	uint64_t retry_at_us;
	UT_hash_handle hh;
};

struct dw_peer_mesh {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct dw_peer_mesh_options options;
	struct dw_peer_mesh_stats stats;
	struct connection *initiated;
	struct connection *accepted;
	struct backoff *backoffs;
	size_t open_connections;
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

	if (!mesh->stopping || !mesh->listener_closed || mesh->open_connections > 0)
		return;
	HASH_CLEAR(hh, mesh->backoffs);
	while (backoff) {
		struct backoff *next = backoff->hh.next;

		free(backoff);
		backoff = next;
	}
	free(mesh);
}

static void on_connection_handle_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;
	struct dw_peer_mesh *mesh = connection->mesh;

	if (--connection->open_handles > 0)
		return;
	free(connection->in.base);
	free(connection->out.base);
	free(connection);
	mesh->open_connections--;
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
	backoff->retry_at_us = dw_clock_now_us() + RECONNECT_DELAY_US;
}

static bool is_in_backoff(struct dw_peer_mesh *mesh, uint64_t address)
{
	struct backoff *backoff;

	HASH_FIND(hh, mesh->backoffs, &address, sizeof(address), backoff);
	return backoff && dw_clock_now_us() < backoff->retry_at_us;
}

static void connection_close(struct connection *connection)
{
	struct dw_peer_mesh *mesh = connection->mesh;

	if (connection->state == CONNECTION_CLOSED)
		return;
	connection->state = CONNECTION_CLOSED;
	if (connection->is_initiator) {
		HASH_DEL(mesh->initiated, connection);
		set_backoff(mesh, connection->address);
	} else {
		if (connection->previous)
			connection->previous->next = connection->next;
		else
			mesh->accepted = connection->next;
		if (connection->next)
			connection->next->previous = connection->previous;
	}
	uv_close((uv_handle_t *)&connection->tcp, on_connection_handle_closed);
	uv_close((uv_handle_t *)&connection->handshake_timer, on_connection_handle_closed);
}

static void connection_reject(struct connection *connection)
{
	struct sockaddr_in address;
	int len = sizeof(address);
	char ip[DW_PEER_IP_BYTES] = "";

	if (uv_tcp_getpeername(&connection->tcp, (struct sockaddr *)&address, &len) == 0)
		uv_ip4_name(&address, ip, sizeof(ip));
	connection->mesh->stats.refused_peers++;
	dw_log_event(connection->mesh->options.log, DW_EVENT_PEER_REFUSED, DW_STR("ip", ip),
		     DW_STR("peer", connection->peer.name), DW_STR("reason", dw_last_message()));
	connection_close(connection);
}

static void on_written(uv_write_t *request, int status)
{
	struct connection *connection = request->data;

	free(request);
	if (status != 0 && status != UV_ECANCELED)
		connection_close(connection);
}

static void connection_write(struct connection *connection, const void *bytes, size_t len)
{
	struct write *write = malloc(sizeof(*write) + len);
	uv_buf_t buf;

	if (!write)
		abort();
	memcpy(write->bytes, bytes, len);
	write->request.data = connection;
	buf = uv_buf_init((char *)write->bytes, (unsigned int)len);
	connection->mesh->stats.sent_bytes += len;
	if (uv_write(&write->request, (uv_stream_t *)&connection->tcp, &buf, 1, on_written) != 0)
		free(write);
}

static void connection_send_encrypted(struct connection *connection, const void *plain, size_t len)
{
	size_t encrypted_len = len + DW_CHANNEL_OVERHEAD_BYTES;
	uint8_t *frame = malloc(LENGTH_BYTES + encrypted_len);
	uint32_t wire_len = htonl((uint32_t)encrypted_len);

	if (!frame)
		abort();
	memcpy(frame, &wire_len, LENGTH_BYTES);
	dw_peer_channel_encrypt(&connection->channel, plain, len, frame + LENGTH_BYTES);
	connection_write(connection, frame, LENGTH_BYTES + encrypted_len);
	free(frame);
}

/* Sends the secretstream header, the identity and the queued messages. Called on the initiator's
 * side, once both greetings were exchanged. */
static void connection_start_sending(struct connection *connection)
{
	uint8_t header[DW_CHANNEL_HEADER_BYTES];
	msgpack_sbuffer identity;
	msgpack_packer packer;
	size_t at = 0;

	dw_peer_channel_start_push(&connection->channel, header);
	connection_write(connection, header, sizeof(header));
	msgpack_sbuffer_init(&identity);
	msgpack_packer_init(&packer, &identity, msgpack_sbuffer_write);
	dw_peer_identity_pack(&packer, &connection->mesh->options.self);
	connection_send_encrypted(connection, identity.data, identity.size);
	msgpack_sbuffer_destroy(&identity);
	connection->state = CONNECTION_READY;
	uv_timer_stop(&connection->handshake_timer);
	while (at < connection->out.len) {
		uint32_t len;

		memcpy(&len, connection->out.base + at, LENGTH_BYTES);
		connection_send_encrypted(connection, connection->out.base + at + LENGTH_BYTES,
					  len);
		at += LENGTH_BYTES + len;
	}
	connection->out.len = 0;
}

static enum dw_status process_greeting(struct connection *connection)
{
	enum dw_status status =
		dw_peer_channel_read_greeting(&connection->channel, connection->in.base);

	buffer_consume(&connection->in, DW_CHANNEL_GREETING_BYTES);
	if (status != DW_OK)
		return status;
	if (connection->is_initiator)
		connection_start_sending(connection);
	else
		connection->state = CONNECTION_AWAITING_HEADER;
	return DW_OK;
}

static enum dw_status process_header(struct connection *connection)
{
	enum dw_status status =
		dw_peer_channel_start_pull(&connection->channel, connection->in.base);

	buffer_consume(&connection->in, DW_CHANNEL_HEADER_BYTES);
	connection->state = CONNECTION_AWAITING_IDENTITY;
	return status;
}

/* Processes a decrypted frame: the peer's identity if it is the first one, otherwise a message. */
static enum dw_status process_message(struct connection *connection, const uint8_t *plain,
				      size_t len)
{
	struct dw_peer_mesh *mesh = connection->mesh;
	bool is_identity = connection->state == CONNECTION_AWAITING_IDENTITY;
	size_t skip = is_identity ? 0 : TYPE_BYTES;
	msgpack_unpacked value;
	enum dw_status status = DW_OK;
	size_t used = skip;

	if (len <= skip)
		return dw_fail(DW_INVALID_ARGUMENT, "peer message is empty");
	msgpack_unpacked_init(&value);
	if (msgpack_unpack_next(&value, (const char *)plain, len, &used) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    used != len) {
		status = dw_fail(DW_INVALID_ARGUMENT, "peer message is not a single msgpack value");
	} else if (is_identity) {
		status = dw_peer_identity_unpack(&value.data, &connection->peer);
		connection->state = CONNECTION_READY;
		uv_timer_stop(&connection->handshake_timer);
	} else {
		mesh->stats.received_messages++;
		mesh->options.on_message(&connection->peer, plain[0],
					 &(struct dw_peer_payload){ &value.data, plain + TYPE_BYTES,
								    len - TYPE_BYTES },
					 mesh->options.data);
	}
	msgpack_unpacked_destroy(&value);
	return status;
}

/* Processes one frame if it was received completely, and sets *consumed to whether it was. */
static enum dw_status process_frame(struct connection *connection, bool *consumed)
{
	uint32_t len;
	uint8_t *plain;
	enum dw_status status;

	memcpy(&len, connection->in.base, LENGTH_BYTES);
	len = ntohl(len);
	*consumed = false;
	if (len > DW_PEER_FRAME_MAX_BYTES || len <= DW_CHANNEL_OVERHEAD_BYTES)
		return dw_fail(DW_TOO_LARGE, "peer frame length of %u bytes is out of range", len);
	if (connection->in.len < LENGTH_BYTES + len)
		return DW_OK;
	*consumed = true;
	plain = malloc(len);
	if (!plain)
		return dw_fail(DW_NO_MEMORY, "out of memory for a frame of %u bytes", len);
	status = dw_peer_channel_decrypt(&connection->channel, connection->in.base + LENGTH_BYTES,
					 len, plain);
	buffer_consume(&connection->in, LENGTH_BYTES + len);
	if (status == DW_OK)
		status = process_message(connection, plain, len - DW_CHANNEL_OVERHEAD_BYTES);
	free(plain);
	return status;
}

/* Processes the next greeting, header or frame if it was received completely, and sets *consumed to
 * whether it was. */
static enum dw_status connection_process_input(struct connection *connection, bool *consumed)
{
	size_t need = LENGTH_BYTES;

	if (connection->state == CONNECTION_AWAITING_GREETING)
		need = DW_CHANNEL_GREETING_BYTES;
	else if (connection->state == CONNECTION_AWAITING_HEADER)
		need = DW_CHANNEL_HEADER_BYTES;
	*consumed = connection->in.len >= need;
	if (!*consumed)
		return DW_OK;
	switch (connection->state) {
	case CONNECTION_AWAITING_GREETING:
		return process_greeting(connection);
	case CONNECTION_AWAITING_HEADER:
		return process_header(connection);
	case CONNECTION_AWAITING_IDENTITY:
	case CONNECTION_READY:
		if (connection->is_initiator)
			return dw_fail(DW_INVALID_ARGUMENT,
				       "peer sent a frame on a connection that it accepted");
		return process_frame(connection, consumed);
	case CONNECTION_CONNECTING:
	case CONNECTION_CLOSED:
	case CONNECTION_STATE_COUNT:
		break;
	}
	*consumed = false;
	return DW_OK;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[READ_BYTES];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct connection *connection = stream->data;
	enum dw_status status = DW_OK;
	bool consumed = true;

	if (n < 0) {
		connection_close(connection);
		return;
	}
	connection->mesh->stats.received_bytes += (uint64_t)n;
	buffer_append(&connection->in, buf->base, (size_t)n);
	while (consumed && status == DW_OK && connection->state != CONNECTION_CLOSED)
		status = connection_process_input(connection, &consumed);
	if (status != DW_OK)
		connection_reject(connection);
}

static void on_handshake_timeout(uv_timer_t *timer)
{
	struct connection *connection = timer->data;

	if (!connection->is_initiator) {
		dw_fail(DW_TIMEOUT, "peer handshake timed out");
		connection_reject(connection);
		return;
	}
	connection_close(connection);
}

static struct connection *connection_new(struct dw_peer_mesh *mesh, bool is_initiator)
{
	struct connection *connection = calloc(1, sizeof(*connection));
	uint8_t nonce[DW_CHANNEL_NONCE_BYTES];

	if (!connection)
		abort();
	connection->mesh = mesh;
	connection->is_initiator = is_initiator;
	connection->open_handles = 2;
	uv_tcp_init(mesh->loop, &connection->tcp);
	uv_timer_init(mesh->loop, &connection->handshake_timer);
	connection->tcp.data = connection;
	connection->handshake_timer.data = connection;
	connection->connect.data = connection;
	randombytes_buf(nonce, sizeof(nonce));
	dw_peer_channel_init(&connection->channel, mesh->options.cluster_key, nonce, is_initiator);
	uv_timer_start(&connection->handshake_timer, on_handshake_timeout, HANDSHAKE_TIMEOUT_MS, 0);
	mesh->open_connections++;
	return connection;
}

static void connection_send_greeting(struct connection *connection)
{
	uint8_t greeting[DW_CHANNEL_GREETING_BYTES];

	uv_tcp_nodelay(&connection->tcp, 1);
	dw_peer_channel_write_greeting(&connection->channel, greeting);
	connection->state = CONNECTION_AWAITING_GREETING;
	connection_write(connection, greeting, sizeof(greeting));
	uv_read_start((uv_stream_t *)&connection->tcp, on_alloc, on_read);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct connection *connection = request->data;

	if (status == UV_ECANCELED)
		return;
	if (status != 0)
		connection_close(connection);
	else
		connection_send_greeting(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct dw_peer_mesh *mesh = listener->data;
	struct connection *connection;

	if (status != 0)
		return;
	connection = connection_new(mesh, false);
	connection->next = mesh->accepted;
	if (connection->next)
		connection->next->previous = connection;
	mesh->accepted = connection;
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) != 0)
		connection_close(connection);
	else
		connection_send_greeting(connection);
}

static struct connection *get_connection(struct dw_peer_mesh *mesh, const char *ip, uint16_t port)
{
	struct sockaddr_in address;
	struct connection *connection;
	uint64_t key;

	if (uv_ip4_addr(ip, port, &address) != 0)
		return NULL;
	key = (uint64_t)address.sin_addr.s_addr << 16 | port;
	HASH_FIND(hh, mesh->initiated, &key, sizeof(key), connection);
	if (connection)
		return connection;
	if (is_in_backoff(mesh, key))
		return NULL;
	connection = connection_new(mesh, true);
	connection->address = key;
	HASH_ADD(hh, mesh->initiated, address, sizeof(key), connection);
	if (uv_tcp_connect(&connection->connect, &connection->tcp,
			   (const struct sockaddr *)&address, on_connected) != 0) {
		connection_close(connection);
		return NULL;
	}
	return connection;
}

void dw_peer_mesh_send(struct dw_peer_mesh *mesh, const char *ip, uint16_t port, uint8_t type,
		       const void *value, size_t len)
{
	struct connection *connection = mesh->stopping ? NULL : get_connection(mesh, ip, port);
	uint32_t plain_len = (uint32_t)(TYPE_BYTES + len);
	uint8_t *plain;

	if (!connection || len > DW_PEER_FRAME_MAX_BYTES - DW_CHANNEL_OVERHEAD_BYTES - TYPE_BYTES ||
	    connection->out.len + connection->tcp.write_queue_size > QUEUE_MAX_BYTES) {
		mesh->stats.dropped_messages++;
		return;
	}
	plain = malloc(plain_len);
	if (!plain)
		abort();
	plain[0] = type;
	memcpy(plain + TYPE_BYTES, value, len);
	mesh->stats.sent_messages++;
	if (connection->state == CONNECTION_READY) {
		connection_send_encrypted(connection, plain, plain_len);
	} else {
		buffer_append(&connection->out, &plain_len, LENGTH_BYTES);
		buffer_append(&connection->out, plain, plain_len);
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
		return dw_fail(DW_UNAVAILABLE, "cannot listen for peers on %s:%u: %s",
			       options->bind_ip, options->bind_port, uv_strerror(rc));
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
	struct connection *connection;
	struct connection *next;

	mesh->stopping = true;
	HASH_ITER(hh, mesh->initiated, connection, next) {
		connection_close(connection);
	}
	while (mesh->accepted)
		connection_close(mesh->accepted);
	uv_close((uv_handle_t *)&mesh->listener, on_listener_closed);
}
