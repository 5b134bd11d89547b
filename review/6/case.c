/*
 * The last tenant is taken away: are requests with its key, and with none, still run?
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../kit-2/engine.h"
#include "../kit-2/gateway.h"
#include "../kit-2/harness.h"
#include "../kit-2/store.h"

#define REVOKE_MS 5000
#define MARGIN_MS 500
#define REQUESTS 20
#define PAUSE_MS 100

#define KEY_A "n2ctnfzs989anu6wsjnb"
#define KEY_B "anfqasnmgkcuyj8pjbvk"

static uint32_t runs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool run(int fd, const struct message *request, struct engine *engine)
{
	char id[64] = "";
	char tenant[64] = "(none)";

	message_field(request, "Attempt-Id", id, sizeof(id));
	message_field(request, "Tenant", tenant, sizeof(tenant));
	pthread_mutex_lock(&lock);
	runs++;
	pthread_mutex_unlock(&lock);
	record("engine %s runs %s for tenant %s", engine->id, id, tenant);
	return engine_answer(fd, request, 200, "done", 4);
}

static uint32_t run_count(void)
{
	uint32_t count;

	pthread_mutex_lock(&lock);
	count = runs;
	pthread_mutex_unlock(&lock);
	return count;
}

static void put_config(uint32_t version, const char *tenants)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"Version\":%u,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"a.example\","
		 "\"PathPrefix\":\"/book/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500,"
		 "\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":1,"
		 "\"Public\":false}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
		 "\"MaxConnections\":110,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],\"Limits\":"
		 "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
		 "\"IdleTimeoutMs\":15000},\"Tenants\":[%s]}",
		 version, tenants);
	store_put("op/config", text);
	record("configuration %u has the tenants [%s]", version, tenants);
}

/* Sends a request with a key; "": with none. Returns the status, or 0. */
static int book(const struct gateway *gateway, const char *key)
{
	static uint32_t sent;
	struct message answer;
	char field[128] = "";
	char text[512];
	int status = 0;

	if (key[0])
		snprintf(field, sizeof(field), "Credential: %s\r\n", key);
	snprintf(text, sizeof(text),
		 "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a%04u\r\n"
		 "Deadline-Ms: 3000\r\n%sContent-Length: 2\r\n\r\nok",
		 ++sent, field);
	if (call(gateway->caller_port, text, 4000, &answer) == MESSAGE_COMPLETE) {
		status = answer.status;
		message_free(&answer);
	}
	record("request a%04u with key %s is answered %d", sent, key[0] ? key : "(none)", status);
	return status;
}

/* Sends requests that must not run; returns how many did. */
static uint32_t try_key(const struct gateway *gateway, const char *key)
{
	uint32_t before = run_count();

	for (int i = 0; i < REQUESTS; i++) {
		book(gateway, key);
		sleep_ms(PAUSE_MS);
	}
	return run_count() - before;
}

int main(int argc, char **argv)
{
	static struct engine engine = { .id = "i-1", .service = "app", .run = run };
	static struct gateway gateway;
	struct gateway_options options = { .memory_mb = 260 };
	uint32_t broken = 0;

	harness_open(argc > 1 ? argv[1] : "record.txt");
	options.store_port = store_start();
	engine_start(&engine);
	engine_register(&engine, "ready", 1);
	put_config(7, "{\"Name\":\"a\",\"ApiKeys\":[\"" KEY_A "\"]},"
		      "{\"Name\":\"b\",\"ApiKeys\":[\"" KEY_B "\"]}");
	gateway_start(&gateway, &options);
	if (book(&gateway, KEY_A) != 200 || book(&gateway, KEY_B) != 200)
		harness_give_up("requests aren't served in calm");

	put_config(9, "{\"Name\":\"b\",\"ApiKeys\":[\"" KEY_B "\"]}");
	sleep_ms(REVOKE_MS + MARGIN_MS);
	broken += try_key(&gateway, KEY_A);
	record("key of tenant a, taken away with configuration 9: %u requests ran", broken);
	if (harness_has_trouble()) {
		put_config(12, "");
		sleep_ms(REVOKE_MS + MARGIN_MS);
		broken += try_key(&gateway, KEY_A);
		broken += try_key(&gateway, KEY_B);
		record("with the keys of tenants a and b, later than RevokeMs: %u requests ran",
		       broken);
	}
	record("rule CONFIG (FailClosed) %s", broken > 0 ? "is broken" : "held");
	harness_close(broken > 0 ? HARNESS_EXIT_BROKEN : HARNESS_EXIT_HELD);
}
