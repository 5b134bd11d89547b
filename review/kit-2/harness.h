/**
 * @file harness.h
 * What the scripts of this review share: a record of what happened, and small blocking HTTP clients and
 * servers on loopback addresses. Each connection of a server has a thread of its own.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HARNESS_EXIT_HELD 0
#define HARNESS_EXIT_BROKEN 1
#define HARNESS_EXIT_UNABLE 2
#define HARNESS_PATH_BYTES 512
#define HARNESS_TARGET_BYTES 1024

/** Opens the record and makes a temporary folder; the process exits with HARNESS_EXIT_UNABLE if it can't. */
void harness_open(const char *record_path);

/** Whether the disruption is played: TROUBLE isn't "0". */
bool harness_has_trouble(void);

/** Path of the temporary folder, which harness_close() removes. */
const char *harness_folder(void);

/** Writes a line with the time since harness_open(). */
__attribute__((format(printf, 1, 2))) void record(const char *format, ...);

/** Ends all processes that were started, removes the temporary folder and exits. */
_Noreturn void harness_close(int exit_code);

/** Records why the case can't run, and exits with HARNESS_EXIT_UNABLE. */
_Noreturn void harness_give_up(const char *reason);

/** Time since harness_open(). */
uint64_t now_ms(void);

void sleep_ms(uint64_t ms);

void sleep_until_ms(uint64_t at_ms);

/** A port of 127.0.0.1 that is free now. */
uint16_t free_port(void);

/** Input of a connection that was read beyond the current message. */
struct input {
	int fd;
	char *data;
	size_t len;
	size_t size;
};

/** An HTTP message; valid until message_free(). */
struct message {
	char *head; /**< with the empty line, and a NUL byte after it */
	char *body;
	size_t body_len;
	char method[16];
	char target[HARNESS_TARGET_BYTES];
	int status; /**< of a response */
};

enum message_result {
	MESSAGE_COMPLETE,
	MESSAGE_NONE, /**< the connection ended, or timed out, before a message began */
	MESSAGE_BROKEN /**< it ended within one */
};

/** Reads the next message; a response without a length ends with its connection. */
enum message_result message_read(struct input *input, bool is_response, struct message *out);

void message_free(struct message *message);

/** Copies the value of a header field to @p out; false if there is none. */
bool message_field(const struct message *message, const char *name, char *out, size_t size);

/** Copies a parameter of the target's query to @p out, decoded; false if there is none. */
bool message_parameter(const struct message *message, const char *name, char *out, size_t size);

/** Sends all bytes; false if the connection has ended. */
bool send_all(int fd, const void *bytes, size_t len);

/** Sends a response with a body of JSON. */
bool send_json(int fd, int status, const char *text);

/** Connects to 127.0.0.1; reads and writes time out. Returns -1 if it fails. */
int connect_to(uint16_t port, int timeout_ms);

/**
 * Sends a request on a new connection and reads its answer, which message_free() frees if it is complete.
 */
enum message_result call(uint16_t port, const char *request, int timeout_ms,
			 struct message *answer);

/** Serves one connection until it ends; the caller closes it. */
typedef void (*serve_connection)(int fd, void *context);

/** Listens on a port of 127.0.0.1; 0: a free one, which is stored. */
int listen_on(uint16_t *port, int backlog);

/** Starts a server on a port of 127.0.0.1; 0: a free one, which is stored. server_close() ends it. */
int server_open(uint16_t *port, serve_connection serve, void *context);

void server_close(int fd);

/** Starts a server on 127.0.0.1 and returns its port. */
uint16_t server_start(serve_connection serve, void *context);

#endif
