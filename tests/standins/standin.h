/**
 * @file standin.h
 * Common part of the stand-ins: command line, HTTP server, admin calls, faults and shutdown.
 *
 * A stand-in is a program that takes the place of an external service in tests. It prints
 * "listening IP:PORT" once it accepts connections and exits with code 0 on SIGTERM or SIGINT.
 * POST /admin/fault sets a fault (see fault.h); GET /admin/stats returns the counters.
 */
#ifndef TESTS_STANDINS_STANDIN_H
#define TESTS_STANDINS_STANDIN_H

#include <argtable2.h>
#include <json-c/json.h>

#include "net/http_server.h"
#include "standins/fault.h"

enum standin_exit {
	STANDIN_EXIT_OK = 0,
	STANDIN_EXIT_LISTEN = 1, /**< can't bind the address */
	STANDIN_EXIT_USAGE = 2, /**< invalid command line */
	STANDIN_EXIT_CRASH = 70, /**< crash requested by a fault or a request */
};

struct standin;
struct standin_request;

typedef void (*standin_handler)(struct standin_request *request);

/** One request. It stays allocated if the client disconnects, as it may still be executed. */
struct standin_request {
	struct standin *standin;
	struct dw_http_exchange *exchange; /**< NULL once the client has disconnected */
	char method[8];
	char path[256];
	struct json_object *body; /**< NULL if absent or not JSON */
	standin_handler on_disconnect; /**< called when the client disconnects; may be NULL */
	void *data; /**< for use by the handler */
	uv_timer_t timer;
	standin_handler on_delay_end; /**< called when the timer expires */
};

struct standin {
	const char *name;
	const char *purpose;
	const char *const *fault_kinds; /**< NULL-terminated */
	standin_handler on_request;
	/** Handles admin calls other than fault and stats; may be NULL. */
	standin_handler on_admin;
	/** Adds the stand-in's counters to @p stats. */
	void (*on_stats)(struct standin *standin, struct json_object *stats);
	/** Called after a fault was set; may be NULL. */
	void (*on_fault)(struct standin *standin, const char *kind);
	/** Called before "listening" is printed; may be NULL. */
	void (*on_start)(struct standin *standin);
	void *data;
	struct fault_set faults;
	uv_loop_t *loop;
	struct dw_http_server *server;
};

/** Options of all stand-ins. In the argtable, @c end comes last and the others first. */
struct standin_common {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *ip;
	struct arg_int *port;
	struct arg_end *end;
};

void standin_common_init(struct standin_common *common);

/** Parses the command line. Returns -1 to continue, otherwise the exit code. */
int standin_parse(const struct standin *standin, struct standin_common *common, void **table,
		  int argc, char **argv);

/** Runs until SIGTERM or SIGINT. Returns the exit code. */
int standin_run(struct standin *standin, const struct standin_common *common);

/** Responds with JSON if the client is still connected. Frees the request and @p body. */
void standin_answer(struct standin_request *request, int status, struct json_object *body);

/** Responds with {"error": message} and frees the request. */
void standin_answer_error(struct standin_request *request, int status, const char *message);

/** Closes the connection before a complete response was sent and frees the request. */
void standin_close_connection(struct standin_request *request);

/** Calls @p later after @p delay_us, even if the client disconnects in the meantime. */
void standin_delay(struct standin_request *request, uint64_t delay_us, standin_handler later);

/** Frees a request without responding; the caller ends the exchange if the client is connected. */
void standin_request_free(struct standin_request *request);

/** Returns a request header; "" if absent or if the client has disconnected. */
const char *standin_header(const struct standin_request *request, const char *name);

#endif
