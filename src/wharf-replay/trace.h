/**
 * @file trace.h
 * A trace: engines, organisations, requests and faults. docs/TRACES.md describes the file format,
 * one JSON object per line.
 */
#ifndef WHARF_REPLAY_TRACE_H
#define WHARF_REPLAY_TRACE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <dragonflywharf/status.h>

#define TRACE_NAME_BYTES 32
#define TRACE_MODELS_MAX 6
#define TRACE_CLASSES_MAX 8
#define TRACE_DOMAINS_MAX 8
#define TRACE_VERSIONS_MAX 12
#define TRACE_ENGINES_MAX 64
#define TRACE_ORGANISATIONS_MAX 32
#define TRACE_INSTANCES_MAX 32
#define TRACE_SLOTS_MAX 32 /* of an engine */

/* Models are in order of cost. The cascade for a model may run cheaper models first; services have
 * no cascade. */
struct trace_model {
	char name[TRACE_NAME_BYTES];
	bool service; /* not a language model: no cascade, no rating */
	uint32_t cost_micros_per_1k_tokens;
	uint32_t us_per_token;
	uint32_t us_per_prompt_token;
};

struct trace_version {
	char name[TRACE_NAME_BYTES];
	uint32_t model;
	uint32_t rollout_weight;
};

struct trace_engine {
	char name[TRACE_NAME_BYTES];
	uint32_t failure_domain;
	uint32_t model;
	uint32_t slots;
	uint32_t cold_slots;
	/* Number in flight above which the engine crashes; twice cold_slots in a cold start. */
	uint32_t fall_over;
	uint32_t cache_tokens;
};

struct trace_organisation {
	char name[TRACE_NAME_BYTES];
	uint32_t weight;
	uint32_t allowed_models; /* bit mask by model index */
};

struct trace_request {
	uint64_t at_us;
	uint64_t deadline_us;
	uint64_t session; /* 0 for none */
	uint64_t prefix; /* identity of the prompt's shared leading part; 0 for none */
	uint32_t organisation;
	uint32_t class;
	uint32_t model;
	uint32_t priority;
	uint32_t prompt_tokens;
	uint32_t prefix_tokens;
	uint32_t tokens; /* of the answer */
	uint32_t luck_permille; /* below a bad version's bad_permille: its answer is bad */
	uint32_t score_permille[TRACE_MODELS_MAX]; /* rating of the answer of a good version */
};

enum trace_fault_kind {
	TRACE_DOMAIN_OUT, /* a failure domain is taken out of service */
	TRACE_DOMAIN_BACK, /* it is back, its engines are cold */
	TRACE_VERSION_BAD, /* a version begins to give bad answers */
	TRACE_ENGINE_COLD, /* an engine begins a cold start */
	TRACE_FAULT_KIND_COUNT
};

struct trace_fault {
	uint64_t at_us;
	enum trace_fault_kind kind;
	uint32_t target; /* index of the domain, version or engine */
	uint32_t bad_permille; /* TRACE_VERSION_BAD: share of bad answers */
};

struct trace {
	char name[TRACE_NAME_BYTES];
	uint32_t instances;
	uint32_t quality_target_permille;
	uint64_t link_us; /* one-way latency between failure domains */
	uint64_t client_us; /* one-way latency to clients */
	uint32_t domain_count;
	uint32_t model_count;
	uint32_t version_count;
	uint32_t engine_count;
	uint32_t organisation_count;
	uint32_t class_count;
	char domains[TRACE_DOMAINS_MAX][TRACE_NAME_BYTES];
	char classes[TRACE_CLASSES_MAX][TRACE_NAME_BYTES];
	struct trace_model models[TRACE_MODELS_MAX];
	struct trace_version versions[TRACE_VERSIONS_MAX];
	struct trace_engine engines[TRACE_ENGINES_MAX];
	struct trace_organisation organisations[TRACE_ORGANISATIONS_MAX];
	struct trace_request *requests; /* by time */
	size_t request_count;
	struct trace_fault *faults; /* by time */
	size_t fault_count;
};

/* Append a copy; abort the process if memory runs out. */
void trace_add_request(struct trace *trace, const struct trace_request *request);
void trace_add_fault(struct trace *trace, const struct trace_fault *fault);

/* Reads and validates a trace; prints an error in a line to stderr, with the line number. */
enum dw_status trace_read(struct trace *trace, FILE *file);
void trace_write(const struct trace *trace, FILE *file);
void trace_free(struct trace *trace);

#endif
