/*
 * A configuration brings a ninth model and takes a key away: is a request with that key still run?
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
#define MODELS_BEFORE 8
#define MODELS_AFTER 9

#define KEY_KEPT "n2ctnfzs989anu6wsjnb"
#define KEY_TAKEN "anfqasnmgkcuyj8pjbvk"

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

static void put_config(uint32_t version, uint32_t models, const char *keys)
{
	char sizes[512] = "";
	char costs[1024] = "";
	char text[4096];

	for (uint32_t i = 0; i < models; i++) {
		size_t used = strlen(sizes);
		const char *comma = i > 0 ? "," : "";

		snprintf(sizes + used, sizeof(sizes) - used, "%s\"model%u\"", comma, i);
		used = strlen(costs);
		snprintf(costs + used, sizeof(costs) - used,
			 "%s{\"Name\":\"model%u\",\"Cost\":0.%u}", comma, i, i + 1);
	}
	snprintf(text, sizeof(text),
		 "{\"Version\":%u,\"Routes\":["
		 "{\"Name\":\"r1\",\"Host\":\"a.example\",\"PathPrefix\":\"/book/"
		 "\",\"Kind\":\"unsafe\","
		 "\"TimeoutMs\":1500,\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"app\","
		 "\"MaxAttempts\":1,\"Public\":false},"
		 "{\"Name\":\"r2\",\"Host\":\"a.example\",\"PathPrefix\":\"/draft/"
		 "\",\"Kind\":\"stream\","
		 "\"TimeoutMs\":8000,\"TargetLatencyMs\":2000,\"Priority\":1,\"Service\":\"llm\","
		 "\"MaxAttempts\":3,\"Public\":false,\"Sticky\":true,\"Resumable\":true,"
		 "\"TargetGapMs\":1200,\"Sizes\":[%s]}],\"Services\":["
		 "{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":110,"
		 "\"ColdStartS\":0.0,\"ColdPerS\":0.0},"
		 "{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConnections\":370,"
		 "\"ColdStartS\":3.0,\"ColdPerS\":11.0,\"Engine\":{\"Slots\":64,"
		 "\"KvCapacity\":375946,\"Stride\":3,\"Models\":[%s]}}],"
		 "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
		 "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
		 "\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[%s]}]}",
		 version, sizes, costs, keys);
	store_put("op/config", text);
	record("configuration %u has %u models and the keys [%s]", version, models, keys);
}

/* Sends a request with a key. Returns the status, or 0. */
static int book(const struct gateway *gateway, const char *key)
{
	static uint32_t sent;
	struct message answer;
	char text[512];
	int status = 0;

	snprintf(text, sizeof(text),
		 "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a%04u\r\n"
		 "Deadline-Ms: 3000\r\nCredential: %s\r\nContent-Length: 2\r\n\r\nok",
		 ++sent, key);
	if (call(gateway->caller_port, text, 4000, &answer) == MESSAGE_COMPLETE) {
		status = answer.status;
		message_free(&answer);
	}
	record("request a%04u with key %s is answered %d", sent, key, status);
	return status;
}

int main(int argc, char **argv)
{
	static struct engine engine = { .id = "i-1", .service = "app", .run = run };
	static struct gateway gateway;
	struct gateway_options options = { .memory_mb = 260 };
	uint32_t before;
	uint32_t broken;

	harness_open(argc > 1 ? argv[1] : "record.txt");
	options.store_port = store_start();
	engine_start(&engine);
	engine_register(&engine, "ready", 1);
	put_config(7, MODELS_BEFORE, "\"" KEY_KEPT "\",\"" KEY_TAKEN "\"");
	gateway_start(&gateway, &options);
	if (book(&gateway, KEY_KEPT) != 200 || book(&gateway, KEY_TAKEN) != 200)
		harness_give_up("requests aren't served in calm");

	put_config(9, harness_has_trouble() ? MODELS_AFTER : MODELS_BEFORE, "\"" KEY_KEPT "\"");
	sleep_ms(REVOKE_MS + MARGIN_MS);
	before = run_count();
	for (int i = 0; i < REQUESTS; i++) {
		book(&gateway, KEY_TAKEN);
		sleep_ms(PAUSE_MS);
	}
	broken = run_count() - before;
	record("with the key taken away, later than RevokeMs: %u of %d requests ran", broken,
	       REQUESTS);
	record("the gateway says it is %s", gateway_is_ready(&gateway) ? "ready" : "not ready");
	record("rule CONFIG (FailClosed) %s", broken > 0 ? "is broken" : "held");
	harness_close(broken > 0 ? HARNESS_EXIT_BROKEN : HARNESS_EXIT_HELD);
}
