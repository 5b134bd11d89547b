#include "wharf-gateway/peers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/rendezvous.h>

#include "base/clock.h"
#include "base/random.h"
#include "core/msgpack_check.h"
#include "net/member_codec.h"

#define KIND_MEMBERSHIP 1 /* others: enum peers_digest */

#define PROTOCOL_VERSION 1
#define HEADER_BYTES 2
/* A digest begins with the sender's instance_id, most significant byte first. */
#define SENDER_BYTES 8
#define DATAGRAM_MAX_BYTES 1400
/* Records of members in one datagram: as many as fit, with names of the length of this instance's. */
#define UPDATES_MIN 4
#define UPDATES_MAX 16
#define RECORD_BYTES 60 /* of a member, without its names */
#define MESSAGE_BYTES 120 /* of a message, without the records */

#define TICK_PERIOD_MS 100
#define PROBE_PERIOD_US (1 * DW_US_PER_S)
#define PROBE_TIMEOUT_US (250 * DW_US_PER_MS)
/* Dead members count for this long, as they may only be cut off. */
#define DEAD_RETENTION_US (60 * DW_US_PER_S)
/* Changes of the members are collected for this long before the place is computed. */
#define PLACE_DELAY_US (100 * DW_US_PER_MS)
/* Number of instances assumed until all have had time to find each other after the start. */
#define STARTUP_INSTANCES DW_MEMBERSHIP_MAX
#define STARTUP_US (4 * DW_US_PER_S)
/* Added to the count for instances that aren't known as members: starting ones, and ones that are cut
 * off. The larger of the two is added. */
#define UNCOUNTED_PERCENT 30
#define UNCOUNTED_MIN 3

void peers_init(struct peers *peers, const struct gateway_settings *settings, struct dw_log *log,
		struct dw_counters *counters)
{
	memset(peers, 0, sizeof(*peers));
	peers->settings = settings;
	peers->log = log;
	peers->counters = counters;
	peers->instance_id = dw_rendezvous_key(settings->instance, strlen(settings->instance));
	peers->place.members = 1;
	peers->place.readers = 1;
}

void peers_close(struct peers *peers)
{
	dw_membership_free(peers->membership);
}

static void send_datagram(struct peers *peers, const char *ip, uint16_t port, int kind,
			  const void *content, size_t len)
{
	char bytes[DATAGRAM_MAX_BYTES];
	uv_buf_t buffer = uv_buf_init(bytes, (unsigned int)(HEADER_BYTES + len));
	struct sockaddr_in address;

	if (HEADER_BYTES + len > sizeof(bytes))
		return;
	bytes[0] = PROTOCOL_VERSION;
	bytes[1] = (char)kind;
	memcpy(bytes + HEADER_BYTES, content, len);
	uv_ip4_addr(ip, port, &address);
	/* The protocols tolerate lost datagrams, as one that doesn't fit into the send buffer. */
	if (uv_udp_try_send(&peers->socket, &buffer, 1, (const struct sockaddr *)&address) < 0)
		return;
	peers->datagrams_sent++;
	peers->bytes_sent += buffer.len;
}

static void pack_message(msgpack_sbuffer *buffer, const struct dw_member_message *message)
{
	msgpack_packer packer;

	msgpack_sbuffer_clear(buffer);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	dw_member_message_pack(&packer, message);
}

static void send_messages(struct peers *peers)
{
	struct dw_member_message message;
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	while (dw_membership_next_message(peers->membership, &message)) {
		pack_message(&buffer, &message);
		/* Members with longer names: the updates left out are sent with other messages. */
		while (HEADER_BYTES + buffer.size > DATAGRAM_MAX_BYTES &&
		       message.update_count > 0) {
			message.update_count--;
			pack_message(&buffer, &message);
		}
		send_datagram(peers, message.to.ip, message.to.port, KIND_MEMBERSHIP, buffer.data,
			      buffer.size);
	}
	msgpack_sbuffer_destroy(&buffer);
}

/* Only the instances of its failure domain log a member's death: all would be lines in the square of
 * the fleet when many die. */
static void log_member(struct peers *peers, const struct dw_member *member)
{
	const struct dw_member *self = dw_membership_self(peers->membership);

	if (member->state == DW_MEMBER_DEAD &&
	    strcmp(member->failure_domain, self->failure_domain) == 0)
		dw_log_event(peers->log, DW_EVENT_MEMBER_DEAD, DW_STR("instance", member->name),
			     DW_STR("failure_domain", member->failure_domain));
}

/* Handles what a tick or a received message has caused. */
static void handle_changes(struct peers *peers, uint64_t now_us)
{
	struct dw_member_event event;

	while (dw_membership_next_event(peers->membership, &event)) {
		log_member(peers, &event.member);
		if (peers->place_due_us == 0)
			peers->place_due_us = now_us + PLACE_DELAY_US;
	}
	send_messages(peers);
}

static bool takes_part(const struct dw_member *member)
{
	return member->state != DW_MEMBER_DEAD && !member->leaving;
}

static void update_place(struct peers *peers)
{
	size_t count = dw_membership_count(peers->membership);
	struct dw_view_member *members = calloc(count + 1, sizeof(*members));
	uint32_t used = 0;

	if (!members)
		abort();
	peers->slack_rank = 0;
	for (size_t i = 0; i < count; i++) {
		const struct dw_member *member = dw_membership_at(peers->membership, i);

		peers->slack_rank += member->key.instance_id < peers->instance_id;
		if (!takes_part(member))
			continue;
		members[used].instance_id = member->key.instance_id;
		members[used].domain_key =
			dw_rendezvous_key(member->failure_domain, strlen(member->failure_domain));
		used++;
	}
	/* An instance that is leaving has no place; it keeps the last one. */
	if (takes_part(dw_membership_self(peers->membership))) {
		dw_view_place_find(members, used, peers->instance_id, &peers->place);
		peers->callbacks->on_place(peers->owner, &peers->place, members, used);
	}
	free(members);
}

static void on_tick(uv_timer_t *timer)
{
	struct peers *peers = timer->data;
	uint64_t now_us = dw_clock_now_us();

	dw_membership_tick(peers->membership, now_us, dw_random_next(&peers->random));
	handle_changes(peers, now_us);
	if (peers->place_due_us == 0 || now_us < peers->place_due_us)
		return;
	peers->place_due_us = 0;
	update_place(peers);
}

static enum dw_status receive_membership(struct peers *peers, const uint8_t *bytes, size_t len)
{
	struct dw_member_message message;
	msgpack_unpacked unpacked;
	uint64_t now_us = dw_clock_now_us();
	enum dw_status status = dw_msgpack_unpack(bytes, len, DATAGRAM_MAX_BYTES,
						  "a membership message", &unpacked);

	if (status != DW_OK)
		return status;
	status = dw_member_message_unpack(&unpacked.data, &message);
	msgpack_unpacked_destroy(&unpacked);
	if (status != DW_OK)
		return status;
	status = dw_membership_receive(peers->membership, &message, now_us);
	handle_changes(peers, now_us);
	return status;
}

static enum dw_status receive_digest(struct peers *peers, const char *ip, enum peers_digest kind,
				     const uint8_t *bytes, size_t len)
{
	const struct dw_member *from;
	uint64_t sender = 0;

	for (size_t i = 0; i < SENDER_BYTES && i < len; i++)
		sender = sender << 8 | bytes[i];
	from = dw_membership_find(peers->membership, sender);
	if (len < SENDER_BYTES || !from || strcmp(from->ip, ip) != 0)
		return dw_fail(DW_FORBIDDEN, "digest from %s, which isn't a member", ip);
	peers->callbacks->on_digest(peers->owner, from, kind, bytes + SENDER_BYTES,
				    len - SENDER_BYTES);
	return DW_OK;
}

static enum dw_status receive(struct peers *peers, const char *ip, const uint8_t *bytes, size_t len)
{
	if (len < HEADER_BYTES || bytes[0] != PROTOCOL_VERSION)
		return dw_fail(DW_INVALID_ARGUMENT, "datagram from %s: unknown version", ip);
	switch (bytes[1]) {
	case KIND_MEMBERSHIP:
		return receive_membership(peers, bytes + HEADER_BYTES, len - HEADER_BYTES);
	case PEERS_LOADS:
	case PEERS_PINS:
	case PEERS_CRASHES:
	case PEERS_ABANDONED:
	case PEERS_LEAVING:
	case PEERS_PARTS:
		return receive_digest(peers, ip, (enum peers_digest)bytes[1], bytes + HEADER_BYTES,
				      len - HEADER_BYTES);
	default:
		return dw_fail(DW_INVALID_ARGUMENT, "datagram from %s: unknown kind %u", ip,
			       bytes[1]);
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct peers *peers = handle->data;

	*buffer = uv_buf_init(peers->receive_buffer, sizeof(peers->receive_buffer));
}

static void on_datagram(uv_udp_t *socket, ssize_t len, const uv_buf_t *buffer,
			const struct sockaddr *from, unsigned int flags)
{
	struct peers *peers = socket->data;
	char ip[16] = "";

	if (len <= 0 || !from)
		return;
	uv_ip4_name((const struct sockaddr_in *)from, ip, sizeof(ip));
	if (receive(peers, ip, (const uint8_t *)buffer->base, (size_t)len) != DW_OK)
		dw_counters_add(peers->counters, DW_COUNTER_BAD_INPUTS, 1);
}

/* Names that the membership doesn't accept are replaced by their hash. */
static void set_name(char *out, size_t size, const char *name)
{
	if (dw_name_valid(name))
		snprintf(out, size, "%s", name);
	else
		snprintf(out, size, "%016" PRIx64, dw_rendezvous_key(name, strlen(name)));
}

static uint32_t updates_that_fit(const struct dw_member *self)
{
	size_t record = RECORD_BYTES + strlen(self->name) + strlen(self->failure_domain);
	size_t count = (DATAGRAM_MAX_BYTES - MESSAGE_BYTES - record) / record;

	if (count < UPDATES_MIN)
		return UPDATES_MIN;
	return count < UPDATES_MAX ? (uint32_t)count : UPDATES_MAX;
}

static struct dw_membership *join(struct peers *peers, uint64_t now_us)
{
	const struct gateway_settings *settings = peers->settings;
	const struct dw_endpoint *own = &settings->peer_address;
	struct dw_membership_options options = {
		.probe_period_us = PROBE_PERIOD_US,
		.probe_timeout_us = PROBE_TIMEOUT_US,
		.dead_retention_us = DEAD_RETENTION_US,
		.is_only_run = true,
	};

	options.self.key.instance_id = peers->instance_id;
	options.self.key.incarnation = dw_clock_wall_us();
	options.self.port = own->port;
	memcpy(options.self.ip, own->ip, sizeof(options.self.ip));
	set_name(options.self.name, sizeof(options.self.name), settings->instance);
	set_name(options.self.failure_domain, sizeof(options.self.failure_domain),
		 settings->failure_domain);
	options.updates_max = updates_that_fit(&options.self);
	return dw_membership_new(&options, now_us);
}

void peers_add_seed(struct peers *peers, const struct dw_endpoint *address)
{
	struct dw_member_address seed = { .port = address->port };

	if (!peers->membership || strcmp(address->ip, peers->settings->peer_address.ip) == 0)
		return;
	memcpy(seed.ip, address->ip, sizeof(seed.ip));
	dw_membership_add_seed(peers->membership, &seed);
}

static bool is_own_address(const struct peers *peers, const struct dw_endpoint *address)
{
	return strcmp(address->ip, peers->settings->peer_address.ip) == 0;
}

uint32_t peers_seed_count(const struct peers *peers)
{
	const struct dw_endpoint_list *seeds = &peers->settings->seeds;
	uint32_t count = 0;

	for (uint32_t i = 0; peers->membership && i < seeds->count; i++)
		count += !is_own_address(peers, &seeds->items[i]);
	return count;
}

struct dw_endpoint peers_seed(const struct peers *peers, uint32_t index)
{
	const struct dw_endpoint_list *seeds = &peers->settings->seeds;
	struct dw_endpoint seed = { 0 };

	for (uint32_t i = 0; i < seeds->count; i++) {
		if (is_own_address(peers, &seeds->items[i]))
			continue;
		seed = seeds->items[i];
		if (index-- == 0)
			break;
	}
	seed.port = peers->settings->peer_address.port;
	return seed;
}

bool peers_is_seed(const struct peers *peers)
{
	return peers->membership && peers_seed_count(peers) < peers->settings->seeds.count;
}

static enum dw_status open_socket(struct peers *peers, uv_loop_t *loop)
{
	const struct dw_endpoint *own = &peers->settings->peer_address;
	struct sockaddr_in address;
	int error;

	uv_udp_init(loop, &peers->socket);
	peers->socket.data = peers;
	uv_ip4_addr(own->ip, own->port, &address);
	error = uv_udp_bind(&peers->socket, (const struct sockaddr *)&address, 0);
	if (error == 0)
		error = uv_udp_recv_start(&peers->socket, on_alloc, on_datagram);
	if (error != 0)
		return dw_fail(DW_UNAVAILABLE, "cannot bind %s:%u: %s", own->ip, own->port,
			       uv_strerror(error));
	return DW_OK;
}

enum dw_status peers_start(struct peers *peers, uv_loop_t *loop, uint64_t seed,
			   const struct peers_callbacks *callbacks, void *owner)
{
	const struct gateway_settings *settings = peers->settings;

	peers->callbacks = callbacks;
	peers->owner = owner;
	peers->random = seed;
	peers->started_at_us = dw_clock_now_us();
	if (settings->peer_address.port == 0)
		return DW_OK;
	if (open_socket(peers, loop) != DW_OK)
		return DW_UNAVAILABLE;
	peers->membership = join(peers, peers->started_at_us);
	if (!peers->membership)
		return dw_fail(DW_INVALID_ARGUMENT, "the peer address %s can't be used",
			       settings->peer_address.ip);
	for (uint32_t i = 0; i < settings->seeds.count; i++) {
		struct dw_endpoint address = settings->seeds.items[i];

		address.port = settings->peer_address.port;
		peers_add_seed(peers, &address);
	}
	uv_timer_init(loop, &peers->timer);
	peers->timer.data = peers;
	uv_timer_start(&peers->timer, on_tick, 0, TICK_PERIOD_MS);
	return DW_OK;
}

void peers_leave(struct peers *peers)
{
	uint64_t now_us = dw_clock_now_us();

	if (!peers->membership)
		return;
	dw_membership_leave(peers->membership, now_us);
	handle_changes(peers, now_us);
}

bool peers_find(const struct peers *peers, uint64_t instance_id, struct dw_endpoint *address)
{
	const struct dw_member *member =
		peers->membership ? dw_membership_find(peers->membership, instance_id) : NULL;

	if (!member || member->state == DW_MEMBER_DEAD)
		return false;
	memcpy(address->ip, member->ip, sizeof(address->ip));
	address->port = member->port;
	return true;
}

static bool is_other(const struct peers *peers, const struct dw_member *member)
{
	return takes_part(member) && member->key.instance_id != peers->instance_id;
}

static uint32_t count_others(const struct peers *peers)
{
	uint32_t count = 0;

	for (size_t i = 0; i < dw_membership_count(peers->membership); i++)
		count += is_other(peers, dw_membership_at(peers->membership, i));
	return count;
}

static bool is_older(const struct dw_member *member, const struct dw_member *other)
{
	if (member->key.incarnation != other->key.incarnation)
		return member->key.incarnation < other->key.incarnation;
	return member->key.instance_id < other->key.instance_id;
}

/* The oldest of the other members that are younger than this one; NULL: of all. */
static const struct dw_member *next_oldest(const struct peers *peers, const struct dw_member *after)
{
	const struct dw_member *oldest = NULL;

	for (size_t i = 0; i < dw_membership_count(peers->membership); i++) {
		const struct dw_member *member = dw_membership_at(peers->membership, i);

		if (is_other(peers, member) && (!after || is_older(after, member)) &&
		    (!oldest || is_older(member, oldest)))
			oldest = member;
	}
	return oldest;
}

uint64_t peers_oldest(const struct peers *peers, uint32_t index)
{
	uint32_t count = peers->membership ? count_others(peers) : 0;
	const struct dw_member *member = NULL;

	if (count == 0)
		return 0;
	for (uint32_t i = 0; i <= index % count; i++)
		member = next_oldest(peers, member);
	return member->key.instance_id;
}

void peers_send_digest(struct peers *peers, uint64_t to, enum peers_digest kind,
		       const uint8_t *bytes, size_t len)
{
	uint8_t content[DATAGRAM_MAX_BYTES - HEADER_BYTES];
	struct dw_endpoint address;

	if (SENDER_BYTES + len > sizeof(content) || !peers_find(peers, to, &address))
		return;
	for (size_t i = 0; i < SENDER_BYTES; i++)
		content[i] = (uint8_t)(peers->instance_id >> (8 * (SENDER_BYTES - 1 - i)));
	memcpy(content + SENDER_BYTES, bytes, len);
	send_datagram(peers, address.ip, address.port, kind, content, SENDER_BYTES + len);
}

uint32_t peers_estimated_instances(const struct peers *peers, uint64_t now_us)
{
	uint32_t known;
	uint32_t uncounted;

	if (!peers->membership)
		return 1 + UNCOUNTED_MIN;
	known = (uint32_t)dw_membership_count(peers->membership);
	uncounted = known * UNCOUNTED_PERCENT / 100;
	if (now_us < peers->started_at_us + STARTUP_US ||
	    (known == 1 && peers_seed_count(peers) > 0))
		return STARTUP_INSTANCES;
	return known + (uncounted > UNCOUNTED_MIN ? uncounted : UNCOUNTED_MIN);
}

uint32_t peers_slack_rank(const struct peers *peers)
{
	return peers->membership && dw_membership_count(peers->membership) > 1 ? peers->slack_rank
									       : UINT32_MAX;
}

bool peers_are_few_heard(const struct peers *peers)
{
	size_t count = peers->membership ? dw_membership_count(peers->membership) : 0;
	uint32_t known = 0;
	uint32_t heard = 0;

	for (size_t i = 0; i < count; i++) {
		const struct dw_member *member = dw_membership_at(peers->membership, i);

		if (member->key.instance_id == peers->instance_id || member->leaving)
			continue;
		known++;
		heard += member->state != DW_MEMBER_DEAD;
	}
	return heard * 2 < known || known == 0;
}
