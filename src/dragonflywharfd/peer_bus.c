#include "dragonflywharfd/peer_bus.h"

#include <string.h>

#include "dragonflywharfd/config_sync.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/session_sync.h"
#include "dragonflywharfd/store_history.h"
#include "dragonflywharfd/upstream_table.h"
#include "net/member_codec.h"
#include "net/msgpack_read.h"
#include "net/quarantine_codec.h"
#include "net/rollout_codec.h"
#include "net/limiter_codec.h"

/** Peers that new evidence is sent to; each of them forwards it to as many. */
#define EVIDENCE_FANOUT 4
/** Newly held versions that are logged for one message. */
#define NEWLY_HELD_MAX 16
/** All roll-out evidence and holds are resent part by part, limited to this rate. */
#define RESEND_PERIOD_US DW_US_PER_S
#define RESEND_BYTES_PER_S 1024U
/** Requests for roll-out evidence after a start; each is an empty message to a random peer. */
#define EVIDENCE_REQUESTS 3U
/** Messages sent in reply to such a request. */
#define EVIDENCE_REPLY_MESSAGES_MAX 4

typedef void (*message_handler)(struct daemon *daemon, const struct dw_peer_identity *from,
				const struct dw_peer_payload *payload);

void peer_message_buffer_init(struct peer_message_buffer *buffer)
{
	msgpack_sbuffer_init(&buffer->bytes);
	msgpack_packer_init(&buffer->packer, &buffer->bytes, msgpack_sbuffer_write);
}

void peer_message_buffer_clear(struct peer_message_buffer *buffer)
{
	msgpack_sbuffer_destroy(&buffer->bytes);
}

static void send_to(struct daemon *daemon, const char *ip, uint16_t port,
		    enum peer_message_type type, const struct peer_message_buffer *buffer)
{
	dw_peer_mesh_send(daemon->mesh, ip, port, (uint8_t)type, buffer->bytes.data,
			  buffer->bytes.size);
}

void peer_bus_send(struct daemon *daemon, uint64_t instance_id, enum peer_message_type type,
		   const struct peer_message_buffer *buffer)
{
	const struct dw_member *member = dw_membership_find(daemon->membership, instance_id);

	if (member)
		send_to(daemon, member->ip, member->port, type, buffer);
}

static bool is_live_peer(const struct daemon *daemon, const struct dw_member *member)
{
	return member->state != DW_MEMBER_DEAD && !dw_member_key_equal(member->key, daemon->key);
}

const struct dw_member *peer_bus_random_member(struct daemon *daemon)
{
	size_t count = dw_membership_count(daemon->membership);
	size_t start = count ? daemon_random(daemon) % count : 0;

	for (size_t i = 0; i < count; i++) {
		const struct dw_member *member =
			dw_membership_at(daemon->membership, (start + i) % count);

		if (is_live_peer(daemon, member))
			return member;
	}
	return NULL;
}

void peer_bus_gossip(struct daemon *daemon, uint32_t fanout, enum peer_message_type type,
		     const struct peer_message_buffer *buffer)
{
	size_t count = dw_membership_count(daemon->membership);
	size_t start = count ? daemon_random(daemon) % count : 0;

	for (size_t i = 0; i < count && fanout > 0; i++) {
		const struct dw_member *member =
			dw_membership_at(daemon->membership, (start + i) % count);

		if (!is_live_peer(daemon, member))
			continue;
		send_to(daemon, member->ip, member->port, type, buffer);
		fanout--;
	}
}

static void reject_message(struct daemon *daemon, const struct dw_peer_identity *from)
{
	dw_counters_add(&daemon->counters, DW_COUNTER_BAD_INPUTS, 1);
	dw_log_event(&daemon->log, DW_EVENT_PEER_REFUSED, DW_STR("peer", from->name),
		     DW_STR("reason", dw_last_message()));
}

static void handle_membership(struct daemon *daemon, const struct dw_peer_identity *from,
			      const struct dw_peer_payload *payload)
{
	static struct dw_member_message message;

	if (dw_member_message_unpack(payload->value, &message) != DW_OK ||
	    dw_membership_receive(daemon->membership, &message, dw_clock_now_us()) != DW_OK)
		reject_message(daemon, from);
}

static void handle_config_delta(struct daemon *daemon, const struct dw_peer_identity *from,
				const struct dw_peer_payload *payload)
{
	if (config_sync_receive_delta(daemon->config_sync, payload->value) == DW_INVALID_ARGUMENT)
		reject_message(daemon, from);
}

static void handle_config_pull(struct daemon *daemon, const struct dw_peer_identity *from,
			       const struct dw_peer_payload *payload)
{
	if (config_sync_receive_pull(daemon->config_sync, from->key.instance_id, payload->value) !=
	    DW_OK)
		reject_message(daemon, from);
}

static void handle_config_confirm(struct daemon *daemon, const struct dw_peer_identity *from,
				  const struct dw_peer_payload *payload)
{
	if (config_sync_receive_confirm(daemon->config_sync, payload->value) != DW_OK)
		reject_message(daemon, from);
}

static void handle_session_query(struct daemon *daemon, const struct dw_peer_identity *from,
				 const struct dw_peer_payload *payload)
{
	if (session_sync_receive_query(daemon->session_sync, from->key.instance_id,
				       payload->value) != DW_OK)
		reject_message(daemon, from);
}

static void handle_session_reply(struct daemon *daemon, const struct dw_peer_identity *from,
				 const struct dw_peer_payload *payload)
{
	if (session_sync_receive_reply(daemon->session_sync, payload->value) != DW_OK)
		reject_message(daemon, from);
}

static void handle_limiter(struct daemon *daemon, const struct dw_peer_identity *from,
			   const struct dw_peer_payload *payload)
{
	struct dw_limiter_message message;

	if (dw_limiter_message_unpack(payload->value, &message) != DW_OK) {
		reject_message(daemon, from);
		return;
	}
	dw_limiter_receive(daemon->limiter, from->key, &message, dw_clock_now_us());
	dw_limiter_message_clear(&message);
}

/*
 * dw_rollout_collect_all() returns the holds first, so that they are sent even if the evidence
 * exceeds the number of messages.
 */
static void send_all_evidence(struct daemon *daemon, uint64_t instance_id)
{
	static struct dw_rollout_message message;
	uint64_t cursor = 0;

	for (int i = 0; i < EVIDENCE_REPLY_MESSAGES_MAX; i++) {
		struct peer_message_buffer buffer;

		if (!dw_rollout_collect_all(daemon->rollout, &cursor, &message))
			return;
		peer_message_buffer_init(&buffer);
		dw_rollout_encode(&message, &buffer.packer);
		peer_bus_send(daemon, instance_id, PEER_ROLLOUT, &buffer);
		peer_message_buffer_clear(&buffer);
	}
}

static void handle_rollout(struct daemon *daemon, const struct dw_peer_identity *from,
			   const struct dw_peer_payload *payload)
{
	static struct dw_rollout_message message;
	uint64_t newly_held[NEWLY_HELD_MAX];
	size_t count;

	if (dw_rollout_decode(payload->value, &message) != DW_OK) {
		reject_message(daemon, from);
		return;
	}
	if (message.entry_count == 0 && message.hold_count == 0) {
		send_all_evidence(daemon, from->key.instance_id);
		return;
	}
	count = dw_rollout_merge(daemon->rollout, &message, newly_held, NEWLY_HELD_MAX);
	for (size_t i = 0; i < count; i++)
		dw_log_event(&daemon->log, DW_EVENT_VERSION_HELD,
			     DW_INT("version_id", newly_held[i]), DW_STR("told_by", from->name));
}

static void merge_evidence(struct daemon *daemon, const struct dw_peer_identity *from,
			   const struct dw_peer_payload *payload, bool is_abandoned)
{
	struct dw_quarantine_evidence evidence[DW_QUARANTINE_MESSAGE_ENTRIES];
	uint64_t now_us = dw_clock_now_us();
	size_t count;

	if (dw_quarantine_message_decode(payload->bytes, payload->len, evidence, &count) != DW_OK) {
		reject_message(daemon, from);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		evidence[i].is_abandoned = is_abandoned;
		if (dw_quarantine_merge(daemon->quarantine, &evidence[i], now_us) &&
		    dw_quarantine_check(daemon->quarantine, evidence[i].fingerprint, now_us) !=
			    DW_OK)
			dw_log_event(&daemon->log, DW_EVENT_REQUEST_QUARANTINED,
				     DW_INT("fingerprint_low", evidence[i].fingerprint.low));
	}
}

static void handle_quarantine(struct daemon *daemon, const struct dw_peer_identity *from,
			      const struct dw_peer_payload *payload)
{
	merge_evidence(daemon, from, payload, false);
}

static void handle_abandoned(struct daemon *daemon, const struct dw_peer_identity *from,
			     const struct dw_peer_payload *payload)
{
	merge_evidence(daemon, from, payload, true);
}

static void handle_ledger(struct daemon *daemon, const struct dw_peer_identity *from,
			  const struct dw_peer_payload *payload)
{
	ledger_sync_receive(daemon->ledger_sync, from, payload);
}

static void handle_warmup(struct daemon *daemon, const struct dw_peer_identity *from,
			  const struct dw_peer_payload *payload)
{
	const msgpack_object *value = payload->value;
	struct dw_warmup_evidence evidence;
	const msgpack_object *fields;
	uint64_t cold_restarts = 0;

	if (value->type != MSGPACK_OBJECT_ARRAY ||
	    value->via.array.size != UPSTREAM_EVIDENCE_FIELDS) {
		dw_fail(DW_INVALID_ARGUMENT, "warm-up evidence: not an array of 4 fields");
		reject_message(daemon, from);
		return;
	}
	fields = value->via.array.ptr;
	if (!dw_msgpack_read_uint(&fields[0], UINT64_MAX, &evidence.upstream_id) ||
	    !dw_msgpack_read_uint(&fields[1], UINT64_MAX, &evidence.incarnation) ||
	    !dw_msgpack_read_uint(&fields[2], UINT32_MAX, &cold_restarts) ||
	    !dw_msgpack_read_uint(&fields[3], UINT64_MAX, &evidence.age_us)) {
		dw_fail(DW_INVALID_ARGUMENT, "warm-up evidence: a field is out of bounds");
		reject_message(daemon, from);
		return;
	}
	evidence.cold_restarts = (uint32_t)cold_restarts;
	upstream_table_merge_evidence(daemon->upstreams, &evidence);
}

static void handle_store_restored(struct daemon *daemon, const struct dw_peer_identity *from,
				  const struct dw_peer_payload *payload)
{
	store_history_receive(daemon);
}

static const message_handler handlers[PEER_MESSAGE_LIMIT] = {
	[PEER_MEMBERSHIP] = handle_membership,
	[PEER_CONFIG_DELTA] = handle_config_delta,
	[PEER_CONFIG_PULL] = handle_config_pull,
	[PEER_CONFIG_CONFIRM] = handle_config_confirm,
	[PEER_SESSION_QUERY] = handle_session_query,
	[PEER_SESSION_REPLY] = handle_session_reply,
	[PEER_LIMITER] = handle_limiter,
	[PEER_ROLLOUT] = handle_rollout,
	[PEER_QUARANTINE] = handle_quarantine,
	[PEER_ABANDONED] = handle_abandoned,
	[PEER_LEDGER] = handle_ledger,
	[PEER_WARMUP] = handle_warmup,
	[PEER_STORE_RESTORED] = handle_store_restored,
};

static void on_message(const struct dw_peer_identity *from, uint8_t type,
		       const struct dw_peer_payload *payload, void *data)
{
	struct daemon *daemon = data;

	/* Newer releases may send types that this one doesn't know. */
	if (type >= PEER_MESSAGE_LIMIT || !handlers[type])
		return;
	handlers[type](daemon, from, payload);
	daemon_pump(daemon);
}

enum dw_status peer_bus_start(struct daemon *daemon)
{
	const struct daemon_settings *settings = &daemon->settings;
	struct dw_peer_mesh_options options = {
		.bind_ip = settings->ip,
		.bind_port = (uint16_t)settings->peer_port,
		.log = &daemon->log,
		.on_message = on_message,
		.data = daemon,
	};
	struct dw_peer_identity *self = &options.self;
	bool advertised = settings->advertised_peer.port != 0;

	self->key = daemon->key;
	snprintf(self->name, sizeof(self->name), "%s", settings->instance);
	snprintf(self->failure_domain, sizeof(self->failure_domain), "%s",
		 settings->failure_domain);
	snprintf(self->ip, sizeof(self->ip), "%s",
		 advertised ? settings->advertised_peer.ip : settings->ip);
	self->port = advertised ? settings->advertised_peer.port : (uint16_t)settings->peer_port;
	memcpy(options.cluster_key, settings->cluster_key, sizeof(options.cluster_key));
	return dw_peer_mesh_start(&daemon->mesh, &daemon->loop, &options);
}

static void flush_membership(struct daemon *daemon)
{
	static struct dw_member_message message;

	while (dw_membership_next_message(daemon->membership, &message)) {
		struct peer_message_buffer buffer;

		peer_message_buffer_init(&buffer);
		dw_member_message_pack(&buffer.packer, &message);
		send_to(daemon, message.to.ip, message.to.port, PEER_MEMBERSHIP, &buffer);
		peer_message_buffer_clear(&buffer);
	}
}

static void flush_limiter(struct daemon *daemon)
{
	struct dw_limiter_message message;
	struct dw_member_key to;

	while (dw_limiter_next_message(daemon->limiter, &to, &message)) {
		struct peer_message_buffer buffer;

		peer_message_buffer_init(&buffer);
		dw_limiter_message_pack(&buffer.packer, &message);
		peer_bus_send(daemon, to.instance_id, PEER_LIMITER, &buffer);
		peer_message_buffer_clear(&buffer);
		dw_limiter_message_clear(&message);
	}
}

static void flush_rollout(struct daemon *daemon)
{
	static struct dw_rollout_message message;

	while (dw_rollout_collect(daemon->rollout, &message)) {
		struct peer_message_buffer buffer;

		peer_message_buffer_init(&buffer);
		dw_rollout_encode(&message, &buffer.packer);
		peer_bus_gossip(daemon, EVIDENCE_FANOUT, PEER_ROLLOUT, &buffer);
		peer_message_buffer_clear(&buffer);
	}
}

/* The next part of all roll-out evidence and holds; starts over after the last one. */
static bool next_evidence_part(struct daemon *daemon, struct dw_rollout_message *message)
{
	if (dw_rollout_collect_all(daemon->rollout, &daemon->evidence_cursor, message))
		return true;
	daemon->evidence_cursor = 0;
	return dw_rollout_collect_all(daemon->rollout, &daemon->evidence_cursor, message);
}

/*
 * After a start and once the versions are known, asks a peer for its roll-out evidence; true if it
 * did.
 */
static bool request_evidence(struct daemon *daemon)
{
	static const struct dw_rollout_message empty;
	struct peer_message_buffer buffer;

	if (daemon->evidence_requests >= EVIDENCE_REQUESTS ||
	    !config_sync_is_ready(daemon->config_sync))
		return false;
	daemon->evidence_requests++;
	peer_message_buffer_init(&buffer);
	dw_rollout_encode(&empty, &buffer.packer);
	peer_bus_gossip(daemon, 1, PEER_ROLLOUT, &buffer);
	peer_message_buffer_clear(&buffer);
	return true;
}

void peer_bus_resend_evidence(struct daemon *daemon, uint64_t now_us)
{
	static struct dw_rollout_message message;
	struct peer_message_buffer buffer;

	if (now_us < daemon->resend_at_us)
		return;
	daemon->resend_at_us = now_us + RESEND_PERIOD_US;
	if (!peer_bus_random_member(daemon) || request_evidence(daemon) ||
	    !next_evidence_part(daemon, &message))
		return;
	peer_message_buffer_init(&buffer);
	dw_rollout_encode(&message, &buffer.packer);
	peer_bus_gossip(daemon, 1, PEER_ROLLOUT, &buffer);
	/* A large message delays the next one, to keep the rate. */
	daemon->resend_at_us += buffer.bytes.size * DW_US_PER_S / RESEND_BYTES_PER_S;
	peer_message_buffer_clear(&buffer);
}

static void flush_quarantine(struct daemon *daemon)
{
	struct dw_quarantine_evidence evidence;

	while (dw_quarantine_next_evidence(daemon->quarantine, dw_clock_now_us(), &evidence)) {
		struct peer_message_buffer buffer;

		peer_message_buffer_init(&buffer);
		dw_quarantine_message_encode(&evidence, 1, &buffer.bytes);
		peer_bus_gossip(daemon, EVIDENCE_FANOUT,
				evidence.is_abandoned ? PEER_ABANDONED : PEER_QUARANTINE, &buffer);
		peer_message_buffer_clear(&buffer);
	}
}

void peer_bus_flush(struct daemon *daemon)
{
	flush_membership(daemon);
	flush_limiter(daemon);
	flush_rollout(daemon);
	flush_quarantine(daemon);
}
