/*
 * Callers send ordinary requests whose prompts have many short parts: does the process stay within the memory of
 * its machine?
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../kit-2/engine.h"
#include "../kit-2/gateway.h"
#include "../kit-2/harness.h"
#include "../kit-2/store.h"

#define KEY "n2ctnfzs989anu6wsjnb"
#define MEMORY_MB 120
#define KB_PER_MB 1024
#define ENGINES 60
#define PARTS 16
#define PART_TOKENS 10
#define ORDINARY_PARTS 3
#define ORDINARY_PART_TOKENS 240
#define REQUESTS 90000
#define CONNECTIONS 40
/* Each connection sends at most 30 requests a second, all of them below 1,300. */
#define PAUSE_MS 30
#define LENGTH_MS 105000
#define REQUEST_BYTES 2048
#define CHECK_EVERY 500
#define RECORD_EVERY 10000

static struct gateway gateway;
static uint32_t sent;
static uint32_t served;
static uint64_t peak_kb;
static bool is_over;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static bool run(int fd, const struct message *request, struct engine *engine)
{
	return engine_answer(fd, request, 200, "id: 1\ndata: done\n\n", 18);
}

static void put_config(void)
{
	store_put("op/config",
		  "{\"Version\":7,\"Routes\":[{\"Name\":\"r2\",\"Host\":\"a.example\","
		  "\"PathPrefix\":\"/chat/\",\"Kind\":\"stream\",\"TimeoutMs\":25000,"
		  "\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":3,"
		  "\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":800}],"
		  "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/health\","
		  "\"MaxConnections\":690,\"ColdStartS\":3.0,\"ColdPerS\":11.0,\"Engine\":"
		  "{\"Slots\":64,\"KvCapacity\":367527,\"Stride\":5,"
		  "\"Models\":[{\"Name\":\"large\",\"Cost\":0.2}]}}],"
		  "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
		  "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
		  "\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"" KEY "\"]}]}");
}

/* The parts of a prompt are those of its own session. */
static size_t write_request(char *out, uint32_t number)
{
	uint32_t parts = harness_has_trouble() ? PARTS : ORDINARY_PARTS;
	uint32_t tokens = harness_has_trouble() ? PART_TOKENS : ORDINARY_PART_TOKENS;
	size_t len = (size_t)snprintf(out, REQUEST_BYTES,
				      "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\n"
				      "Attempt-Id: a%06u\r\nDeadline-Ms: 25000\r\n"
				      "Credential: " KEY "\r\nModel: large\r\n"
				      "Token-Usage: %u,20\r\nPrompt-Prefix: ",
				      number, parts * tokens);

	for (uint32_t i = 0; i < parts; i++)
		len += (size_t)snprintf(out + len, REQUEST_BYTES - len, "%s%x:%u", i > 0 ? "," : "",
					number * PARTS + i, tokens);
	len += (size_t)snprintf(out + len, REQUEST_BYTES - len, "\r\nContent-Length: 2\r\n\r\nok");
	return len;
}

static int ask(void)
{
	struct message answer;
	char text[REQUEST_BYTES];
	int status = 0;

	write_request(text, 0);
	if (call(gateway.caller_port, text, 9000, &answer) == MESSAGE_COMPLETE) {
		status = answer.status;
		message_free(&answer);
	}
	return status;
}

/* Number of the next request; 0: it was the last one. */
static uint32_t next_number(void)
{
	uint32_t number = 0;

	pthread_mutex_lock(&lock);
	if (sent < REQUESTS && !is_over && now_ms() < LENGTH_MS)
		number = ++sent;
	pthread_mutex_unlock(&lock);
	return number;
}

/* The platform kills a process that exceeds the memory of its machine. */
static void check_memory(uint32_t number)
{
	uint64_t kb = gateway_memory_kb(&gateway);

	pthread_mutex_lock(&lock);
	if (kb > peak_kb)
		peak_kb = kb;
	if (number % RECORD_EVERY == 0)
		record("after %u requests the process holds %llu KB", number,
		       (unsigned long long)kb);
	if (!is_over && kb > (uint64_t)MEMORY_MB * KB_PER_MB) {
		is_over = true;
		record("after %u requests the process holds %llu KB, more than the %d MB of its "
		       "machine: the platform kills it",
		       number, (unsigned long long)kb, MEMORY_MB);
		kill(gateway.pid, SIGKILL);
	}
	pthread_mutex_unlock(&lock);
}

/* One connection: a request, its answer, the next request. */
static void *send_requests(void *data)
{
	struct input input = { .fd = connect_to(gateway.caller_port, 9000) };
	char text[REQUEST_BYTES];
	uint32_t number;

	while (input.fd >= 0 && (number = next_number()) > 0) {
		struct message answer;

		if (!send_all(input.fd, text, write_request(text, number)) ||
		    message_read(&input, true, &answer) != MESSAGE_COMPLETE)
			break;
		pthread_mutex_lock(&lock);
		served += answer.status == 200;
		if (number % RECORD_EVERY == 0)
			record("request a%06u is answered %d", number, answer.status);
		pthread_mutex_unlock(&lock);
		message_free(&answer);
		if (number % CHECK_EVERY == 0)
			check_memory(number);
		sleep_ms(PAUSE_MS);
	}
	if (input.fd >= 0)
		close(input.fd);
	free(input.data);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct engine engines[ENGINES];
	static char ids[ENGINES][16];
	struct gateway_options options = { .memory_mb = MEMORY_MB };
	pthread_t threads[CONNECTIONS];
	bool is_broken;

	harness_open(argc > 1 ? argv[1] : "record.txt");
	options.store_port = store_start();
	for (int i = 0; i < ENGINES; i++) {
		snprintf(ids[i], sizeof(ids[i]), "i-%d", i);
		engines[i] = (struct engine){ .id = ids[i], .service = "llm", .run = run };
		engine_start(&engines[i]);
		engine_register(&engines[i], "ready", 1);
	}
	put_config();
	gateway_start(&gateway, &options);
	if (ask() != 200)
		harness_give_up("requests aren't served in calm");
	for (int i = 0; i < CONNECTIONS; i++) {
		if (pthread_create(&threads[i], NULL, send_requests, NULL) != 0)
			abort();
	}
	for (int i = 0; i < CONNECTIONS; i++)
		pthread_join(threads[i], NULL);
	is_broken = is_over || !gateway_runs(&gateway);
	record("%u requests sent on %d connections, %u answered 200, at most %llu KB of %d MB",
	       sent, CONNECTIONS, served, (unsigned long long)peak_kb, MEMORY_MB);
	record("one more request is answered %d", ask());
	record("a process of the system %s", is_broken ? "ended" : "stayed within its memory");
	harness_close(is_broken ? HARNESS_EXIT_BROKEN : HARNESS_EXIT_HELD);
}
