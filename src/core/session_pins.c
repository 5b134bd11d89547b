#include <dragonflywharf/session_pins.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include <dragonflywharf/engine.h>
#include <dragonflywharf/fingerprint.h>
#include <dragonflywharf/rendezvous.h>

#include "core/msgpack_check.h"

#define US_PER_MS UINT64_C(1000)
/* Fields of a pin in a digest: the two halves of its fingerprint, version, age. */
#define DIGEST_FIELDS 4
/* Longest encoding of a pin, and of the header of a digest. */
#define DIGEST_PIN_BYTES (9 + 9 + 2 + DW_ENGINE_TEXT_BYTES + 5)
#define DIGEST_HEADER_BYTES 5
/* Older pins are ignored. */
#define AGE_MAX_MS 60000

/* A question is a pin of this session, which no session has, with a version that is never used. */
static const struct dw_fingerprint question_key;
#define QUESTION_VERSION "?"

struct pin {
	struct dw_fingerprint session; /**< hash of service and session */
	uint64_t service_key; /**< hash of the service; 0: told by another instance */
	uint64_t session_key;
	uint8_t scope; /**< enum dw_spread_scope: where it still has to be sent */
	char version[DW_ENGINE_TEXT_BYTES];
	uint64_t used_at_us;
	struct pin *next_free;
	UT_hash_handle hh;
};

struct dw_session_pins {
	struct pin *pins;
	struct pin *free_list; /**< removed pins, reused for new sessions */
	uint32_t unsent; /**< pins with a scope */
	bool is_asked; /**< another instance has asked for the pins */
};

struct dw_session_pins *dw_session_pins_new(void)
{
	struct dw_session_pins *pins = calloc(1, sizeof(*pins));

	if (!pins)
		abort();
	return pins;
}

static void set_scope(struct dw_session_pins *pins, struct pin *pin, int scope)
{
	pins->unsent -= pin->scope != DW_SPREAD_NOWHERE;
	pin->scope = (uint8_t)scope;
	pins->unsent += pin->scope != DW_SPREAD_NOWHERE;
}

static void remove_pin(struct dw_session_pins *pins, struct pin *pin)
{
	HASH_DEL(pins->pins, pin);
	set_scope(pins, pin, DW_SPREAD_NOWHERE);
	pin->next_free = pins->free_list;
	pins->free_list = pin;
}

void dw_session_pins_expire(struct dw_session_pins *pins, uint64_t since_us)
{
	struct pin *pin;
	struct pin *next;

	HASH_ITER(hh, pins->pins, pin, next) {
		if (pin->used_at_us < since_us)
			remove_pin(pins, pin);
	}
}

void dw_session_pins_free(struct dw_session_pins *pins)
{
	struct pin *pin;
	struct pin *next;

	dw_session_pins_expire(pins, UINT64_MAX);
	for (pin = pins->free_list; pin; pin = next) {
		next = pin->next_free;
		free(pin);
	}
	free(pins);
}

static struct pin *find_pin(const struct dw_session_pins *pins, const char *service,
			    const char *session)
{
	struct dw_fingerprint key = dw_fingerprint_strings(service, session);
	struct pin *pin;

	HASH_FIND(hh, pins->pins, &key, sizeof(key), pin);
	return pin;
}

static struct pin *allocate_pin(struct dw_session_pins *pins)
{
	struct pin *pin = pins->free_list;

	if (pin) {
		pins->free_list = pin->next_free;
		pin->service_key = 0;
		return pin;
	}
	pin = calloc(1, sizeof(*pin));
	if (!pin)
		abort();
	return pin;
}

static struct pin *find_or_add(struct dw_session_pins *pins, const struct dw_fingerprint *key)
{
	struct pin *pin;

	HASH_FIND(hh, pins->pins, key, sizeof(*key), pin);
	if (pin)
		return pin;
	pin = allocate_pin(pins);
	pin->session = *key;
	pin->used_at_us = 0;
	HASH_ADD(hh, pins->pins, session, sizeof(pin->session), pin);
	return pin;
}

void dw_session_pins_record(struct dw_session_pins *pins, const char *service, const char *session,
			    const char *version, uint64_t now_us)
{
	struct dw_fingerprint key = dw_fingerprint_strings(service, session);
	struct pin *pin = find_or_add(pins, &key);

	pin->service_key = dw_rendezvous_key(service, strlen(service));
	pin->session_key = dw_rendezvous_key(session, strlen(session));
	snprintf(pin->version, sizeof(pin->version), "%s", version);
	pin->used_at_us = now_us;
}

const char *dw_session_pins_find(const struct dw_session_pins *pins, const char *service,
				 const char *session, uint64_t since_us)
{
	const struct pin *pin = find_pin(pins, service, session);

	return pin && pin->used_at_us >= since_us ? pin->version : NULL;
}

size_t dw_session_pins_count(const struct dw_session_pins *pins)
{
	return HASH_COUNT(pins->pins);
}

void dw_session_pins_tell(struct dw_session_pins *pins, const char *service, const char *session)
{
	struct pin *pin = find_pin(pins, service, session);

	if (pin)
		set_scope(pins, pin, DW_SPREAD_EVERYWHERE);
}

void dw_session_pins_tell_all(struct dw_session_pins *pins, const char *service,
			      bool (*is_news)(uint64_t session_key, const char *version,
					      const void *data),
			      const void *data)
{
	uint64_t service_key = dw_rendezvous_key(service, strlen(service));

	for (struct pin *pin = pins->pins; pin; pin = pin->hh.next) {
		if (pin->service_key == service_key &&
		    is_news(pin->session_key, pin->version, data))
			set_scope(pins, pin, DW_SPREAD_EVERYWHERE);
	}
}

void dw_session_pins_ask(struct dw_session_pins *pins, uint64_t now_us)
{
	struct pin *pin = find_or_add(pins, &question_key);

	snprintf(pin->version, sizeof(pin->version), "%s", QUESTION_VERSION);
	pin->used_at_us = now_us;
	set_scope(pins, pin, DW_SPREAD_EVERYWHERE);
}

bool dw_session_pins_take_question(struct dw_session_pins *pins)
{
	bool is_asked = pins->is_asked;

	pins->is_asked = false;
	return is_asked;
}

static void write_pin(msgpack_packer *packer, const struct pin *pin, uint64_t now_us)
{
	msgpack_pack_uint64(packer, pin->session.high);
	msgpack_pack_uint64(packer, pin->session.low);
	msgpack_pack_str(packer, strlen(pin->version));
	msgpack_pack_str_body(packer, pin->version, strlen(pin->version));
	msgpack_pack_uint64(packer, (now_us - pin->used_at_us) / US_PER_MS);
}

/* A digest is one flat array with DIGEST_FIELDS elements for each pin. */
size_t dw_session_pins_write(struct dw_session_pins *pins, enum dw_spread_scope scope,
			     uint64_t now_us, uint8_t *out, size_t size)
{
	struct pin *due[DW_SESSION_PINS_DIGEST_BYTES / DIGEST_PIN_BYTES];
	size_t max = (size - DIGEST_HEADER_BYTES) / DIGEST_PIN_BYTES;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	size_t count = 0;
	size_t len;

	if (max > sizeof(due) / sizeof(due[0]))
		max = sizeof(due) / sizeof(due[0]);
	for (struct pin *pin = pins->pins; pins->unsent > 0 && pin && count < max;
	     pin = pin->hh.next) {
		if (pin->scope & scope)
			due[count++] = pin;
	}
	if (count == 0)
		return 0;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, count * DIGEST_FIELDS);
	for (size_t i = 0; i < count; i++) {
		write_pin(&packer, due[i], now_us);
		set_scope(pins, due[i], due[i]->scope & ~(int)scope);
	}
	len = buffer.size <= size ? buffer.size : 0;
	memcpy(out, buffer.data, len);
	msgpack_sbuffer_destroy(&buffer);
	return len;
}

static bool is_uint(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool is_pin(const msgpack_object *fields)
{
	return is_uint(&fields[0]) && is_uint(&fields[1]) && fields[2].type == MSGPACK_OBJECT_STR &&
	       fields[2].via.str.size > 0 && fields[2].via.str.size < DW_ENGINE_TEXT_BYTES &&
	       is_uint(&fields[3]);
}

static void apply_pin(struct dw_session_pins *pins, enum dw_spread_scope scope,
		      const msgpack_object *fields, uint64_t now_us)
{
	struct dw_fingerprint key = { .high = fields[0].via.u64, .low = fields[1].via.u64 };
	uint64_t age_ms = fields[3].via.u64;
	struct pin *pin;

	if (age_ms > AGE_MAX_MS || age_ms * US_PER_MS >= now_us)
		return;
	pin = find_or_add(pins, &key);
	if (pin->used_at_us >= now_us - age_ms * US_PER_MS)
		return;
	pin->used_at_us = now_us - age_ms * US_PER_MS;
	memcpy(pin->version, fields[2].via.str.ptr, fields[2].via.str.size);
	pin->version[fields[2].via.str.size] = '\0';
	set_scope(pins, pin, pin->scope | (int)scope);
	if (memcmp(&key, &question_key, sizeof(key)) == 0)
		pins->is_asked = true;
}

static enum dw_status apply_digest(struct dw_session_pins *pins, enum dw_spread_scope scope,
				   const msgpack_object *root, uint64_t now_us)
{
	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size % DIGEST_FIELDS != 0)
		return dw_fail(DW_INVALID_ARGUMENT, "pin digest: not an array of pins");
	for (uint32_t i = 0; i < root->via.array.size; i += DIGEST_FIELDS) {
		if (!is_pin(&root->via.array.ptr[i]))
			return dw_fail(DW_INVALID_ARGUMENT, "pin digest: malformed pin %u",
				       i / DIGEST_FIELDS);
		apply_pin(pins, scope, &root->via.array.ptr[i], now_us);
	}
	return DW_OK;
}

enum dw_status dw_session_pins_read(struct dw_session_pins *pins, enum dw_spread_scope scope,
				    const uint8_t *bytes, size_t len, uint64_t now_us)
{
	msgpack_unpacked unpacked;
	enum dw_status status = dw_msgpack_unpack(bytes, len, DW_SESSION_PINS_DIGEST_BYTES,
						  "a pin digest", &unpacked);

	if (status != DW_OK)
		return status;
	status = apply_digest(pins, scope, &unpacked.data, now_us);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
