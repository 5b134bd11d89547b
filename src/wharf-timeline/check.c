#include "wharf-timeline/check.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define KEY_BYTES 320

/* A value recorded from the events checked so far. The key consists of kind, process and name, such
 * as "config|entry-1#4711|version/large/1". */
struct state_entry {
	char key[KEY_BYTES];
	uint64_t value;
	UT_hash_handle hh;
};

struct checker {
	struct state_entry *entries;
	FILE *out;
	size_t violations;
};

typedef void (*event_check)(struct checker *checker, const struct timeline_event *event);

static struct state_entry *find_or_add_entry(struct checker *checker, const char *kind,
					     const char *scope, const char *name)
{
	char key[KEY_BYTES];
	struct state_entry *entry;

	snprintf(key, sizeof(key), "%s|%s|%s", kind, scope, name);
	HASH_FIND_STR(checker->entries, key, entry);
	if (entry)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	memcpy(entry->key, key, sizeof(key));
	HASH_ADD_STR(checker->entries, key, entry);
	return entry;
}

static void report_violation(struct checker *checker, const struct timeline_event *event,
			     const char *rule)
{
	checker->violations++;
	fprintf(checker->out, "VIOLATION %s: %s\n", rule,
		json_object_to_json_string_ext(event->json, JSON_C_TO_STRING_PLAIN));
}

/* Instance and process id: a restarted instance begins with no state. */
static void process_scope(const struct timeline_event *event, char out[KEY_BYTES])
{
	snprintf(out, KEY_BYTES, "%.64s#%" PRIu64, event->instance, event->pid);
}

static void check_config_applied(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];
	struct state_entry *entry;
	uint64_t revision = timeline_number(event, "mod_revision");

	process_scope(event, scope);
	entry = find_or_add_entry(checker, "config", scope, timeline_text(event, "key"));
	if (revision <= entry->value)
		report_violation(checker, event,
				 "the revision of a configuration key did not increase");
	entry->value = revision;
}

static void check_roster_epoch(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];
	struct state_entry *entry;
	uint64_t epoch = timeline_number(event, "epoch");

	process_scope(event, scope);
	entry = find_or_add_entry(checker, "epoch", scope, "");
	if (epoch <= entry->value)
		report_violation(checker, event, "the roster epoch did not increase");
	entry->value = epoch;
}

static void set_out_of_service(struct checker *checker, const struct timeline_event *event,
			       const char *kind, const char *name, bool out_of_service)
{
	char scope[KEY_BYTES];

	process_scope(event, scope);
	find_or_add_entry(checker, kind, scope, name)->value = out_of_service;
}

static void check_upstream_leaving(struct checker *checker, const struct timeline_event *event)
{
	set_out_of_service(checker, event, "upstream", timeline_text(event, "upstream"), true);
}

static void check_upstream_returned(struct checker *checker, const struct timeline_event *event)
{
	set_out_of_service(checker, event, "upstream", timeline_text(event, "upstream"), false);
}

static void check_version_withdrawn(struct checker *checker, const struct timeline_event *event)
{
	set_out_of_service(checker, event, "version", timeline_text(event, "version"), true);
}

static void check_version_live(struct checker *checker, const struct timeline_event *event)
{
	set_out_of_service(checker, event, "version", timeline_text(event, "version"), false);
}

static void check_attempt_started(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];

	process_scope(event, scope);
	if (find_or_add_entry(checker, "upstream", scope, timeline_text(event, "upstream"))->value)
		report_violation(checker, event,
				 "an attempt started at an upstream that takes no new requests");
	if (find_or_add_entry(checker, "version", scope, timeline_text(event, "serves"))->value)
		report_violation(checker, event, "an attempt started on a withdrawn version");
	find_or_add_entry(checker, "attempt", scope, timeline_text(event, "attempt"))->value++;
}

static void end_attempt(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];
	struct state_entry *entry;

	process_scope(event, scope);
	entry = find_or_add_entry(checker, "attempt", scope, timeline_text(event, "attempt"));
	if (entry->value != 1)
		report_violation(checker, event, "an attempt ended that was not in progress");
	entry->value = 0;
}

/* The upstream may have received the request, so the request must not be refused as not run from
 * now on. */
static void mark_sent(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];

	process_scope(event, scope);
	find_or_add_entry(checker, "sent", scope, timeline_text(event, "request"))->value = 1;
}

static void check_attempt_ended(struct checker *checker, const struct timeline_event *event)
{
	end_attempt(checker, event);
	mark_sent(checker, event);
}

static void check_attempt_failed(struct checker *checker, const struct timeline_event *event)
{
	end_attempt(checker, event);
	if (strcmp(timeline_text(event, "status"), "unavailable") != 0)
		mark_sent(checker, event);
}

static void check_request_received(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];

	process_scope(event, scope);
	find_or_add_entry(checker, "open", scope, timeline_text(event, "request"))->value++;
	find_or_add_entry(checker, "sent", scope, timeline_text(event, "request"))->value = 0;
}

static void end_request(struct checker *checker, const struct timeline_event *event)
{
	const char *request = timeline_text(event, "request");
	char scope[KEY_BYTES];
	struct state_entry *entry;

	if (request[0] == '\0')
		return; /* refused before it was given an id */
	process_scope(event, scope);
	entry = find_or_add_entry(checker, "open", scope, request);
	if (entry->value == 0)
		report_violation(checker, event, "a request ended that was not in progress");
	else
		entry->value--;
}

static void check_request_refused(struct checker *checker, const struct timeline_event *event)
{
	char scope[KEY_BYTES];

	process_scope(event, scope);
	if (timeline_number(event, "not_run") &&
	    find_or_add_entry(checker, "sent", scope, timeline_text(event, "request"))->value)
		report_violation(checker, event,
				 "a request was refused as not run after it had been sent");
	if (timeline_number(event, "not_run"))
		find_or_add_entry(checker, "intent", "", timeline_text(event, "request"))->value =
			0;
	end_request(checker, event);
}

/* Intents are recorded without a process, because a key has one intent among all instances. */
static void check_intent(struct checker *checker, const struct timeline_event *event)
{
	struct state_entry *entry =
		find_or_add_entry(checker, "intent", "", timeline_text(event, "request"));

	if (entry->value)
		report_violation(checker, event, "a second intent for the same idempotency key");
	entry->value = 1;
}

struct rule {
	uint64_t number;
	event_check check;
};

/* By event number, see docs/EVENTS.md. */
static const struct rule rules[] = {
	{ 200, check_config_applied },
	{ 305, check_roster_epoch },
	{ 400, check_request_received },
	{ 401, check_request_refused },
	{ 402, end_request },
	{ 403, end_request },
	{ 404, end_request },
	{ 500, check_attempt_started },
	{ 502, check_attempt_ended },
	{ 503, check_attempt_failed },
	{ 602, check_upstream_leaving },
	{ 604, check_upstream_returned },
	{ 700, check_intent },
	{ 803, check_version_withdrawn },
	{ 804, check_version_live },
};

/* After a planned stop (process.stopped, event 102) that was not forced, no request or attempt may
 * be open. A process without that event was killed or is still running. */
static void check_stopped_processes(struct checker *checker, const struct timeline *timeline)
{
	for (size_t i = 0; i < timeline->count; i++) {
		const struct timeline_event *event = &timeline->events[i];
		char scope[KEY_BYTES];
		struct state_entry *entry;

		if (event->number != 102 || timeline_number(event, "forced"))
			continue;
		process_scope(event, scope);
		for (entry = checker->entries; entry; entry = entry->hh.next) {
			bool open = strncmp(entry->key, "open|", 5) == 0 ||
				    strncmp(entry->key, "attempt|", 8) == 0;

			if (open && entry->value > 0 && strstr(entry->key, scope))
				report_violation(checker, event, entry->key);
		}
	}
}

static void free_entries(struct checker *checker)
{
	struct state_entry *entry = checker->entries;

	HASH_CLEAR(hh, checker->entries);
	while (entry) {
		struct state_entry *next = entry->hh.next;

		free(entry);
		entry = next;
	}
}

size_t timeline_check(const struct timeline *timeline, FILE *out)
{
	struct checker checker = { .out = out };

	for (size_t i = 0; i < timeline->count; i++) {
		for (size_t j = 0; j < sizeof(rules) / sizeof(rules[0]); j++) {
			if (rules[j].number == timeline->events[i].number)
				rules[j].check(&checker, &timeline->events[i]);
		}
	}
	check_stopped_processes(&checker, timeline);
	fprintf(out, "%zu events, %zu violations\n", timeline->count, checker.violations);
	free_entries(&checker);
	return checker.violations;
}
