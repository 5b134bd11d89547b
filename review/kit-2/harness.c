#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "gateway.h"

#define INPUT_BYTES 65536
#define BACKLOG 512
#define BIND_TRIES 50
#define BIND_PAUSE_MS 5
#define MS_PER_S 1000
#define NS_PER_MS 1000000

static FILE *record_file;
static uint64_t opened_at_ms;
static char folder[HARNESS_PATH_BYTES];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

uint64_t now_ms(void)
{
	return clock_ms() - opened_at_ms;
}

void sleep_ms(uint64_t ms)
{
	struct timespec left = { .tv_sec = (time_t)(ms / MS_PER_S),
				 .tv_nsec = (long)(ms % MS_PER_S) * NS_PER_MS };

	while (nanosleep(&left, &left) != 0 && errno == EINTR)
		continue;
}

void sleep_until_ms(uint64_t at_ms)
{
	uint64_t now = now_ms();

	if (at_ms > now)
		sleep_ms(at_ms - now);
}

bool harness_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

const char *harness_folder(void)
{
	return folder;
}

void harness_open(const char *record_path)
{
	const char *parent = getenv("TMPDIR");

	signal(SIGPIPE, SIG_IGN);
	opened_at_ms = clock_ms();
	record_file = fopen(record_path, "w");
	if (!record_file) {
		fprintf(stderr, "can't write %s\n", record_path);
		exit(HARNESS_EXIT_UNABLE);
	}
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX", parent ? parent : "/tmp");
	if (!mkdtemp(folder))
		harness_give_up("no temporary folder");
	record("disruption: %s", harness_has_trouble() ? "yes" : "no");
}

void record(const char *format, ...)
{
	va_list arguments;
	uint64_t now = now_ms();

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%7.3f s  ", (double)now / MS_PER_S);
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void harness_close(int exit_code)
{
	gateways_end();
	if (folder[0])
		rmdir(folder);
	record("exit %d", exit_code);
	exit(exit_code);
}

void harness_give_up(const char *reason)
{
	record("the case can't run: %s", reason);
	harness_close(HARNESS_EXIT_UNABLE);
}

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons(port) };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* The port of a listener that has just been closed may still be taken for some milliseconds. */
static bool bind_to(int fd, struct sockaddr_in *address)
{
	for (int tries = 0; tries < BIND_TRIES; tries++) {
		if (bind(fd, (struct sockaddr *)address, sizeof(*address)) == 0)
			return true;
		sleep_ms(BIND_PAUSE_MS);
	}
	return false;
}

int listen_on(uint16_t *port, int backlog)
{
	struct sockaddr_in address = loopback(*port);
	socklen_t len = sizeof(address);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		harness_give_up("no socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind_to(fd, &address) || listen(fd, backlog) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		harness_give_up("no free port");
	*port = ntohs(address.sin_port);
	return fd;
}

uint16_t free_port(void)
{
	uint16_t port = 0;
	int fd = listen_on(&port, BACKLOG);

	close(fd);
	return port;
}

int connect_to(uint16_t port, int timeout_ms)
{
	struct sockaddr_in address = loopback(port);
	struct timeval timeout = { .tv_sec = timeout_ms / MS_PER_S,
				   .tv_usec = (timeout_ms % MS_PER_S) * 1000 };
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool send_all(int fd, const void *bytes, size_t len)
{
	const char *at = bytes;

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		at += sent;
		len -= (size_t)sent;
	}
	return true;
}

bool send_json(int fd, int status, const char *text)
{
	char head[256];
	int len = snprintf(head, sizeof(head),
			   "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
			   "Content-Length: %zu\r\n\r\n",
			   status, strlen(text));

	return send_all(fd, head, (size_t)len) && send_all(fd, text, strlen(text));
}

/* Reads more input; false at the connection's end. */
static bool input_fill(struct input *input)
{
	ssize_t got;

	if (input->size - input->len < INPUT_BYTES) {
		input->size = input->size * 2 + INPUT_BYTES;
		input->data = realloc(input->data, input->size);
		if (!input->data)
			abort();
	}
	do
		got = recv(input->fd, input->data + input->len, INPUT_BYTES, 0);
	while (got < 0 && errno == EINTR);
	if (got <= 0)
		return false;
	input->len += (size_t)got;
	return true;
}

static void input_take(struct input *input, size_t len, char *out)
{
	if (out)
		memcpy(out, input->data, len);
	input->len -= len;
	memmove(input->data, input->data + len, input->len);
}

/* Reads until there are so many bytes. */
static bool input_want(struct input *input, size_t len)
{
	while (input->len < len) {
		if (!input_fill(input))
			return false;
	}
	return true;
}

/* Length up to and including the first @p end, which is read as far as necessary; 0: the input ended. */
static size_t input_find(struct input *input, const char *end)
{
	size_t end_len = strlen(end);

	for (;;) {
		char *found = input->len > 0 ? memmem(input->data, input->len, end, end_len) : NULL;

		if (found)
			return (size_t)(found - input->data) + end_len;
		if (!input_fill(input))
			return 0;
	}
}

static void body_append(struct message *message, struct input *input, size_t len)
{
	message->body = realloc(message->body, message->body_len + len + 1);
	if (!message->body)
		abort();
	input_take(input, len, message->body + message->body_len);
	message->body_len += len;
	message->body[message->body_len] = '\0';
}

static bool read_chunks(struct input *input, struct message *message)
{
	for (;;) {
		size_t line_len = input_find(input, "\r\n");
		size_t len;

		if (line_len == 0)
			return false;
		len = strtoul(input->data, NULL, 16);
		input_take(input, line_len, NULL);
		if (!input_want(input, len + 2))
			return false;
		body_append(message, input, len);
		input_take(input, 2, NULL);
		if (len == 0)
			return true;
	}
}

static bool read_body(struct input *input, bool is_response, struct message *message)
{
	char text[64];
	size_t len = 0;

	if (message_field(message, "Transfer-Encoding", text, sizeof(text)))
		return read_chunks(input, message);
	if (message_field(message, "Content-Length", text, sizeof(text))) {
		len = strtoul(text, NULL, 10);
		if (!input_want(input, len))
			return false;
	} else if (is_response) {
		while (input_fill(input))
			continue;
		len = input->len;
	}
	body_append(message, input, len);
	return true;
}

enum message_result message_read(struct input *input, bool is_response, struct message *out)
{
	size_t head_len = input_find(input, "\r\n\r\n");

	memset(out, 0, sizeof(*out));
	if (head_len == 0)
		return input->len == 0 ? MESSAGE_NONE : MESSAGE_BROKEN;
	out->head = malloc(head_len + 1);
	if (!out->head)
		abort();
	input_take(input, head_len, out->head);
	out->head[head_len] = '\0';
	if (is_response)
		out->status = (int)strtol(out->head + strcspn(out->head, " \r"), NULL, 10);
	else
		sscanf(out->head, "%15s %1023s", out->method, out->target);
	if (read_body(input, is_response, out))
		return MESSAGE_COMPLETE;
	message_free(out);
	return MESSAGE_BROKEN;
}

void message_free(struct message *message)
{
	free(message->head);
	free(message->body);
	message->head = NULL;
	message->body = NULL;
}

bool message_field(const struct message *message, const char *name, char *out, size_t size)
{
	size_t name_len = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, name_len) != 0 || line[name_len] != ':')
			continue;
		line += name_len + 1;
		line += strspn(line, " ");
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r"), line);
		return true;
	}
	return false;
}

static void decode(const char *text, size_t len, char *out, size_t size)
{
	size_t used = 0;

	for (size_t i = 0; i < len && used + 1 < size; i++) {
		char digits[3] = { 0 };

		if (text[i] != '%' || i + 2 >= len) {
			out[used++] = text[i];
			continue;
		}
		memcpy(digits, text + i + 1, 2);
		out[used++] = (char)strtoul(digits, NULL, 16);
		i += 2;
	}
	out[used] = '\0';
}

bool message_parameter(const struct message *message, const char *name, char *out, size_t size)
{
	const char *at = strchr(message->target, '?');
	size_t name_len = strlen(name);

	while (at) {
		at++;
		if (strncmp(at, name, name_len) == 0 && at[name_len] == '=') {
			at += name_len + 1;
			decode(at, strcspn(at, "&"), out, size);
			return true;
		}
		at = strchr(at, '&');
	}
	return false;
}

enum message_result call(uint16_t port, const char *request, int timeout_ms, struct message *answer)
{
	struct input input = { .fd = connect_to(port, timeout_ms) };
	enum message_result result = MESSAGE_NONE;

	if (input.fd < 0)
		return MESSAGE_NONE;
	if (send_all(input.fd, request, strlen(request)))
		result = message_read(&input, true, answer);
	close(input.fd);
	free(input.data);
	return result;
}

struct server {
	int fd;
	serve_connection serve;
	void *context;
};

struct connection {
	const struct server *server;
	int fd;
};

static void *run_connection(void *data)
{
	struct connection *connection = data;

	connection->server->serve(connection->fd, connection->server->context);
	close(connection->fd);
	free(connection);
	return NULL;
}

static void *run_server(void *data)
{
	struct server *server = data;

	for (;;) {
		struct connection *connection;
		pthread_t thread;
		int on = 1;
		int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0 && errno == EINTR)
			continue;
		if (fd < 0)
			break;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = malloc(sizeof(*connection));
		if (!connection)
			abort();
		*connection = (struct connection){ server, fd };
		if (pthread_create(&thread, NULL, run_connection, connection) != 0)
			abort();
		pthread_detach(thread);
	}
	return NULL;
}

int server_open(uint16_t *port, serve_connection serve, void *context)
{
	struct server *server = malloc(sizeof(*server));
	pthread_t thread;
	int fd = listen_on(port, BACKLOG);

	if (!server)
		abort();
	*server = (struct server){ fd, serve, context };
	if (pthread_create(&thread, NULL, run_server, server) != 0)
		abort();
	pthread_detach(thread);
	return fd;
}

void server_close(int fd)
{
	shutdown(fd, SHUT_RDWR);
	close(fd);
}

uint16_t server_start(serve_connection serve, void *context)
{
	uint16_t port = 0;

	server_open(&port, serve, context);
	return port;
}
