#include "engine.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "store.h"

#define SLOTS 64
#define BORN UINT64_C(1765000000000)

static bool is_expected(const struct message *request, const struct engine *engine)
{
	char id[128];

	return !message_field(request, "Expect-Instance", id, sizeof(id)) ||
	       strcmp(id, engine->id) == 0;
}

static bool answer_health(int fd, const struct engine *engine)
{
	char text[160];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\n"
			   "Content-Length: 0\r\n\r\n",
			   engine->id, SLOTS);

	return send_all(fd, text, (size_t)len);
}

static bool reject(int fd, const struct engine *engine, const struct message *request)
{
	char text[512];
	char id[128] = "";
	int len;

	message_field(request, "Attempt-Id", id, sizeof(id));
	len = snprintf(text, sizeof(text),
		       "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\n"
		       "Content-Length: 0\r\n\r\n",
		       engine->id, id);
	return send_all(fd, text, (size_t)len);
}

static void serve(int fd, void *context)
{
	struct engine *engine = context;
	struct input input = { .fd = fd };
	struct message request;
	bool is_open = true;

	while (is_open && message_read(&input, false, &request) == MESSAGE_COMPLETE) {
		if (strcmp(request.target, "/health") == 0)
			is_open = answer_health(fd, engine);
		else if (!is_expected(&request, engine))
			is_open = reject(fd, engine, &request);
		else
			is_open = engine->run(fd, &request, engine);
		message_free(&request);
	}
	free(input.data);
}

static int start_connecting(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 && errno != EINPROGRESS)
		record("an engine that is silent may still be reached");
	return fd;
}

void engine_start(struct engine *engine)
{
	engine->listener = server_open(&engine->port, serve, engine);
}

/* A listener whose queue of new connections is full: nobody answers them. */
void engine_fall_silent(struct engine *engine)
{
	server_close(engine->listener);
	engine->listener = listen_on(&engine->port, 0);
	for (int i = 0; i < ENGINE_FILLERS; i++)
		engine->fillers[i] = start_connecting(engine->port);
}

void engine_come_back(struct engine *engine)
{
	for (int i = 0; i < ENGINE_FILLERS; i++)
		close(engine->fillers[i]);
	close(engine->listener);
	engine_start(engine);
}

void engine_register(const struct engine *engine, const char *state, uint32_t sequence)
{
	char key[128];
	char value[512];

	snprintf(key, sizeof(key), "servers/%s", engine->id);
	snprintf(value, sizeof(value),
		 "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"haarlem\","
		 "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\",\"ColdRemainingMs\":0,"
		 "\"Sequence\":%" PRIu32 ",\"born\":%" PRIu64 "}",
		 engine->service, engine->port, SLOTS, state, sequence,
		 engine->born > 0 ? engine->born : BORN);
	store_put(key, value);
}

bool engine_answer(int fd, const struct message *request, int status, const char *body,
		   size_t body_len)
{
	char head[512];
	char id[128] = "";
	int len;

	message_field(request, "Attempt-Id", id, sizeof(id));
	len = snprintf(head, sizeof(head),
		       "HTTP/1.1 %d Status\r\nAttempt-Id: %s\r\nResponse-Seal: 3e1b.07.%s\r\n"
		       "Server-Load: 1,0,%d\r\nContent-Length: %zu\r\n\r\n",
		       status, id, id, SLOTS, body_len);
	return send_all(fd, head, (size_t)len) && send_all(fd, body, body_len);
}
