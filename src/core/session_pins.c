#include <dragonflywharf/session_pins.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include <dragonflywharf/engine.h>
#include <dragonflywharf/fingerprint.h>

struct pin {
	struct dw_fingerprint session; /**< of service and session */
	char version[DW_ENGINE_TEXT_BYTES];
	uint64_t used_at_us;
	struct pin *next_unused;
	UT_hash_handle hh;
};

struct dw_session_pins {
	struct pin *pins;
	struct pin *unused; /**< dropped ones, taken again for new sessions */
};

struct dw_session_pins *dw_session_pins_new(void)
{
	struct dw_session_pins *pins = calloc(1, sizeof(*pins));

	if (!pins)
		abort();
	return pins;
}

static void remove_pin(struct dw_session_pins *pins, struct pin *pin)
{
	HASH_DEL(pins->pins, pin);
	pin->next_unused = pins->unused;
	pins->unused = pin;
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
	for (pin = pins->unused; pin; pin = next) {
		next = pin->next_unused;
		free(pin);
	}
	free(pins);
}

static struct pin *find(const struct dw_session_pins *pins, const char *service,
			const char *session)
{
	struct dw_fingerprint key = dw_fingerprint_strings(service, session);
	struct pin *pin;

	HASH_FIND(hh, pins->pins, &key, sizeof(key), pin);
	return pin;
}

static struct pin *new_pin(struct dw_session_pins *pins)
{
	struct pin *pin = pins->unused;

	if (pin) {
		pins->unused = pin->next_unused;
		return pin;
	}
	pin = calloc(1, sizeof(*pin));
	if (!pin)
		abort();
	return pin;
}

void dw_session_pins_record(struct dw_session_pins *pins, const char *service, const char *session,
			    const char *version, uint64_t now_us)
{
	struct pin *pin = find(pins, service, session);

	if (!pin) {
		pin = new_pin(pins);
		pin->session = dw_fingerprint_strings(service, session);
		HASH_ADD(hh, pins->pins, session, sizeof(pin->session), pin);
	}
	snprintf(pin->version, sizeof(pin->version), "%s", version);
	pin->used_at_us = now_us;
}

const char *dw_session_pins_find(const struct dw_session_pins *pins, const char *service,
				 const char *session, uint64_t since_us)
{
	const struct pin *pin = find(pins, service, session);

	return pin && pin->used_at_us >= since_us ? pin->version : NULL;
}

size_t dw_session_pins_count(const struct dw_session_pins *pins)
{
	return HASH_COUNT(pins->pins);
}
