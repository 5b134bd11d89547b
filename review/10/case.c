/*
 * A caller reads its answer slowly while its gateway is stopped as planned: does it get the whole answer?
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../kit-2/engine.h"
#include "../kit-2/gateway.h"
#include "../kit-2/harness.h"
#include "../kit-2/store.h"

#define KEY "n2ctnfzs989anu6wsjnb"
#define GRACE_MS 8000
#define ANSWER_BYTES 8000000
/* The caller reads this much at a time, with this pause: at most 1.5 MB/s, so that it is done within 6 s. */
#define READ_BYTES 60000
#define READ_PAUSE_MS 40
/* Of a caller on an ordinary network: segments of 1,460 bytes and a window of 64 KB. */
#define SEGMENT_BYTES 1460
#define WINDOW_BYTES 65536
#define STOP_AFTER_MS 700

static char body[ANSWER_BYTES + 1];

static bool run(int fd, const struct message *request, struct engine *engine)
{
	char id[64] = "";

	message_field(request, "Attempt-Id", id, sizeof(id));
	record("engine %s runs %s and answers it at once, whole, with a body of %d bytes",
	       engine->id, id, ANSWER_BYTES);
	return engine_answer(fd, request, 200, body, ANSWER_BYTES);
}

static void put_config(void)
{
	store_put("op/config",
		  "{\"Version\":7,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"a.example\","
		  "\"PathPrefix\":\"/book/\",\"Kind\":\"unsafe\",\"TimeoutMs\":20000,"
		  "\"TargetLatencyMs\":2000,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":1,"
		  "\"Public\":false}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
		  "\"MaxConnections\":110,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],\"Limits\":"
		  "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
		  "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"" KEY
		  "\"]}]}");
}

static int connect_as_slow_caller(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(port) };
	int segment = SEGMENT_BYTES;
	int window = WINDOW_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		harness_give_up("no connection to the gateway");
	return fd;
}

/* Whether the answer has come to its end: a body of this size with a length, or in chunks. */
static bool is_answer_complete(const char *text, size_t len)
{
	static const char last_chunk[] = "\r\n0\r\n\r\n";
	const char *end = strstr(text, "\r\n\r\n");
	size_t tail = strlen(last_chunk);

	if (!end || len < ANSWER_BYTES)
		return false;
	if (strcasestr(text, "Transfer-Encoding: chunked"))
		return memcmp(text + len - tail, last_chunk, tail) == 0;
	return len >= (size_t)(end + 4 - text) + ANSWER_BYTES;
}

/* Reads slowly until the answer is complete or the connection ends, and stops the gateway meanwhile. */
static bool read_answer(int fd, pid_t gateway_pid)
{
	size_t size = ANSWER_BYTES + 65536;
	char *text = calloc(1, size + 1);
	uint64_t began_ms = now_ms();
	uint64_t stopped_ms = 0;
	size_t len = 0;
	bool is_complete;

	if (!text)
		abort();
	for (;;) {
		ssize_t got =
			recv(fd, text + len, size - len < READ_BYTES ? size - len : READ_BYTES, 0);

		if (got <= 0) {
			record("the connection ended: %s", got == 0 ? "closed" : "reset");
			break;
		}
		len += (size_t)got;
		if (is_answer_complete(text, len))
			break;
		if (harness_has_trouble() && stopped_ms == 0 &&
		    now_ms() >= began_ms + STOP_AFTER_MS) {
			stopped_ms = now_ms();
			record("%zu bytes read; the gateway gets SIGTERM", len);
			kill(gateway_pid, SIGTERM);
		}
		sleep_ms(READ_PAUSE_MS);
	}
	is_complete = is_answer_complete(text, len);
	record("the caller has %zu bytes after %.1f s%s", len, (double)(now_ms() - began_ms) / 1000,
	       is_complete ? ": complete" : ": cut");
	if (stopped_ms > 0)
		record("that is %.1f s after SIGTERM; GraceS is %.1f s",
		       (double)(now_ms() - stopped_ms) / 1000, (double)GRACE_MS / 1000);
	free(text);
	return is_complete;
}

int main(int argc, char **argv)
{
	static const char request[] = "POST /book/1 HTTP/1.1\r\nHost: a.example\r\n"
				      "Attempt-Id: a0001\r\nDeadline-Ms: 20000\r\n"
				      "Credential: " KEY "\r\nContent-Length: 2\r\n\r\nok";
	static struct engine engine = { .id = "i-1", .service = "app", .run = run };
	static struct gateway gateway;
	struct gateway_options options = { .memory_mb = 260 };
	bool is_complete;
	int fd;

	harness_open(argc > 1 ? argv[1] : "record.txt");
	memset(body, 'b', ANSWER_BYTES);
	options.store_port = store_start();
	engine_start(&engine);
	engine_register(&engine, "ready", 1);
	put_config();
	gateway_start(&gateway, &options);
	fd = connect_as_slow_caller(gateway.caller_port);
	record("the caller sends request a0001");
	if (!send_all(fd, request, strlen(request)))
		harness_give_up("the request can't be sent");
	is_complete = read_answer(fd, gateway.pid);
	record("rule LOST %s", is_complete ? "held" : "is broken");
	harness_close(is_complete ? HARNESS_EXIT_HELD : HARNESS_EXIT_BROKEN);
}
