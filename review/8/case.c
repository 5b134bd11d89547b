/*
 * A request crashes each engine that begins to run it; the engines fall silent and are back after 3 s as new
 * lifetimes. Its caller sends it again and again: how many engines does it end?
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "../kit-2/engine.h"
#include "../kit-2/gateway.h"
#include "../kit-2/harness.h"
#include "../kit-2/store.h"

#define KEY "n2ctnfzs989anu6wsjnb"
#define ENGINES 9
#define GATEWAYS 4
#define ID_BYTES 16
#define CONTACT_MS 3000
#define SILENT_MS 3100
#define RESET_AFTER_MS 20
#define HEARTBEAT_MS 1200
#define BEATS_MISSED 3
/* The last report came half an interval before the crash. */
#define LAST_BEAT_MS (HEARTBEAT_MS / 2)
#define ATTEMPTS 8
#define PATIENCE_MS 8000
#define PAUSE_MS 1000
#define RETRIES_ALLOWED 3

static struct engine engines[ENGINES];
static char ids[ENGINES][ID_BYTES];
static struct gateway gateways[GATEWAYS];
static uint32_t lifetimes;
static uint32_t crashes;
static uint32_t late_runs;
static uint64_t third_crash_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* The engine of a crash: silent until its entry has run out, then a new lifetime at the same address. */
static void *restart(void *data)
{
	struct engine *engine = data;
	char old_key[64];
	uint64_t crashed_ms = now_ms();

	snprintf(old_key, sizeof(old_key), "servers/%s", engine->id);
	sleep_until_ms(crashed_ms + BEATS_MISSED * HEARTBEAT_MS - LAST_BEAT_MS);
	store_remove(old_key);
	sleep_until_ms(crashed_ms + SILENT_MS);
	pthread_mutex_lock(&lock);
	snprintf((char *)engine->id, ID_BYTES, "n-%u", ++lifetimes);
	engine->born = UINT64_C(1765000000000) + crashed_ms + SILENT_MS;
	pthread_mutex_unlock(&lock);
	engine_come_back(engine);
	engine_register(engine, "ready", 1);
	return NULL;
}

static void note_crash(const struct message *request, struct engine *engine)
{
	char id[64] = "";
	pthread_t thread;

	message_field(request, "Attempt-Id", id, sizeof(id));
	pthread_mutex_lock(&lock);
	crashes++;
	if (third_crash_ms > 0 && now_ms() > third_crash_ms + CONTACT_MS)
		late_runs++;
	if (crashes == 3)
		third_crash_ms = now_ms();
	record("engine %s begins to run %s and crashes: crash %u", engine->id, id, crashes);
	pthread_mutex_unlock(&lock);
	engine_fall_silent(engine);
	if (pthread_create(&thread, NULL, restart, engine) != 0)
		abort();
	pthread_detach(thread);
}

static bool run(int fd, const struct message *request, struct engine *engine)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	if (!strstr(request->body, "deadly"))
		return engine_answer(fd, request, 200, "id: 1\ndata: done\n\n", 18);
	note_crash(request, engine);
	/* The channels of the old lifetime are reset when its address answers again. */
	sleep_ms(SILENT_MS + RESET_AFTER_MS);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return false;
}

static void put_config(void)
{
	store_put("op/config",
		  "{\"Version\":7,\"Routes\":[{\"Name\":\"r2\",\"Host\":\"a.example\","
		  "\"PathPrefix\":\"/draft/\",\"Kind\":\"stream\",\"TimeoutMs\":10000,"
		  "\"TargetLatencyMs\":2000,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":3,"
		  "\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":1200}],"
		  "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/health\","
		  "\"MaxConnections\":370,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"Engine\":"
		  "{\"Slots\":64,\"KvCapacity\":375946,\"Stride\":3,"
		  "\"Models\":[{\"Name\":\"large\",\"Cost\":0.2}]}}],"
		  "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
		  "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
		  "\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"" KEY "\"]}]}");
}

/* The same path, caller and body each time. */
static int ask(uint32_t gateway, const char *body)
{
	static uint32_t sent;
	struct message answer;
	char text[1024];
	int status = 0;

	snprintf(text, sizeof(text),
		 "POST /draft/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a%04u\r\n"
		 "Deadline-Ms: 10000\r\nCredential: " KEY "\r\nModel: large\r\n"
		 "Token-Usage: 715,200\r\nPrompt-Prefix: 5c1e07a2:172,91bd3f06:543\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 ++sent, strlen(body), body);
	record("the caller sends a%04u to gateway %u", sent, gateway + 1);
	if (call(gateways[gateway].caller_port, text, PATIENCE_MS, &answer) == MESSAGE_COMPLETE) {
		status = answer.status;
		message_free(&answer);
	}
	record("a%04u is answered %d", sent, status);
	return status;
}

int main(int argc, char **argv)
{
	struct gateway_options options = { .memory_mb = 260 };
	bool is_broken;

	harness_open(argc > 1 ? argv[1] : "record.txt");
	options.store_port = store_start();
	options.peer_port = free_port();
	for (int i = 0; i < ENGINES; i++) {
		snprintf(ids[i], sizeof(ids[i]), "i-%d", i);
		engines[i] = (struct engine){ .id = ids[i], .service = "llm", .run = run };
		engine_start(&engines[i]);
		engine_register(&engines[i], "ready", 1);
	}
	put_config();
	for (uint32_t i = 0; i < GATEWAYS; i++) {
		options.number = i;
		gateway_start(&gateways[i], &options);
	}
	sleep_ms(CONTACT_MS + 2 * PAUSE_MS);
	for (uint32_t i = 0; i < GATEWAYS; i++) {
		if (ask(i, "fine") != 200)
			harness_give_up("requests aren't served in calm");
	}
	for (uint32_t i = 0; i < ATTEMPTS; i++) {
		ask(i % GATEWAYS, harness_has_trouble() ? "deadly" : "sound!");
		sleep_ms(PAUSE_MS);
	}
	is_broken = late_runs > RETRIES_ALLOWED;
	record("%u crashes; %u runs later than ContactMs after the third, %d retries are allowed",
	       crashes, late_runs, RETRIES_ALLOWED);
	record("rule BUDGET %s", is_broken ? "is broken" : "held");
	harness_close(is_broken ? HARNESS_EXIT_BROKEN : HARNESS_EXIT_HELD);
}
