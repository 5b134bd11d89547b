/**
 * @file standin.h
 * The frame of a stand-in program: command line, HTTP server, admin calls, faults and end.
 *
 * A stand-in prints "listening IP:PORT" once it serves and ends with exit code 0 at SIGTERM or
 * SIGINT. POST /admin/fault takes faults (fault.h) and GET /admin/stats tells the counts.
 */
#ifndef TESTS_STANDINS_STANDIN_H
#define TESTS_STANDINS_STANDIN_H

#include <argtable2.h>
#include <json-c/json.h>

#include "net/http_server.h"
#include "standins/fault.h"

enum standin_exit {
	STANDIN_EXIT_OK = 0,
	STANDIN_EXIT_LISTEN = 1, /**< the address can't be bound */
	STANDIN_EXIT_USAGE = 2, /**< bad command line */
	STANDIN_EXIT_CRASH = 70, /**< a crash that a fault or a request asked for */
};

struct standin;
struct standin_request;

typedef void (*standin_handler)(struct standin_request *request);

/** One request; it outlives a caller that goes away, so that its effect can still come. */
struct standin_request {
	struct standin *standin;
	struct dw_http_exchange *exchange; /**< NULL once the caller is gone */
	char method[8];
	char path[256];
	struct json_object *body; /**< NULL if there is none or it isn't JSON */
	standin_handler gone; /**< told when the caller goes; may be NULL */
	void *data; /**< the handler's own */
	uv_timer_t timer;
	standin_handler later;
};

struct standin {
	const char *name;
	const char *purpose;
	const char *const *fault_kinds; /**< closes with NULL */
	standin_handler on_request;
	/** Admin calls other than fault and stats; NULL if there are none. */
	standin_handler on_admin;
	/** Adds the stand-in's counts to @p stats. */
	void (*on_stats)(struct standin *standin, struct json_object *stats);
	/** Told after a fault was set; may be NULL. */
	void (*on_fault)(struct standin *standin, const char *kind);
	void (*on_start)(struct standin *standin);
	void *data;
	struct fault_set faults;
	uv_loop_t *loop;
	struct dw_http_server *server;
};

/** Options that all stand-ins have; they come first and last in the table. */
struct standin_common {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *ip;
	struct arg_int *port;
	struct arg_end *end;
};

void standin_common_init(struct standin_common *common);

/** Parses the command line. -1: go on; otherwise the exit code. */
int standin_parse(const struct standin *standin, struct standin_common *common, void **table,
		  int argc, char **argv);

/** Serves until a signal ends it; the program's exit code. */
int standin_run(struct standin *standin, const struct standin_common *common);

/** Answers with JSON, if the caller is still there, and frees the request; takes @p body. */
void standin_answer(struct standin_request *request, int status, struct json_object *body);

/** Answers {"error": message}. */
void standin_answer_error(struct standin_request *request, int status, const char *message);

/** Cuts the caller's connection without an answer and frees the request. */
void standin_cut(struct standin_request *request);

/** Calls @p later after @p delay_us, also if the caller goes away meanwhile. */
void standin_delay(struct standin_request *request, uint64_t delay_us, standin_handler later);

/** Frees a request whose exchange has been ended by other means. */
void standin_request_free(struct standin_request *request);

/** A request's header while the caller is there; "" if absent. */
const char *standin_header(const struct standin_request *request, const char *name);

#endif
