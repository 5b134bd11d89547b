#include "port/rater_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#define HTTP_OK 200
#define IP_BYTES 16
#define MAX_RESPONSE_BYTES ((size_t)64 << 10)

struct rater_http {
	struct dw_rater rater; /* base; must be the first member */
	struct dw_http_client *client;
	char ip[IP_BYTES];
	uint16_t port;
};

struct rating {
	dw_rater_done done;
	void *data;
};

static enum dw_status parse_score(const char *body, size_t len, uint32_t *score_permille)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *object = json_tokener_parse_ex(tokener, body, (int)len);
	struct json_object *score = NULL;
	int64_t value = -1;

	if (json_object_is_type(object, json_type_object) &&
	    json_object_object_get_ex(object, "score_permille", &score) &&
	    json_object_is_type(score, json_type_int))
		value = json_object_get_int64(score);
	json_object_put(object);
	json_tokener_free(tokener);
	if (value < 0 || value > DW_RATER_MAX_SCORE_PERMILLE)
		return dw_fail(DW_UPSTREAM_FAILED,
			       "the rater's response has no valid score_permille");
	*score_permille = (uint32_t)value;
	return DW_OK;
}

static void on_response(const struct dw_http_fetch_result *fetched, void *data)
{
	struct rating *rating = data;
	struct dw_rater_result result = { .status = fetched->result.status };

	if (result.status == DW_OK && fetched->result.http_status != HTTP_OK)
		result.status = dw_fail(DW_UPSTREAM_FAILED, "the rater returned HTTP status %d",
					fetched->result.http_status);
	if (result.status == DW_OK)
		result.status =
			parse_score(fetched->body, fetched->body_len, &result.score_permille);
	rating->done(&result, rating->data);
	free(rating);
}

static void add_string(struct json_object *object, const char *field, const char *text)
{
	json_object_object_add(object, field, json_object_new_string(text));
}

static void http_rate(struct dw_rater *rater, const struct dw_rater_request *request,
		      dw_rater_done done, void *data)
{
	static const struct dw_http_name_value headers[] = {
		{ "content-type", "application/json" },
	};
	struct rater_http *http = (struct rater_http *)rater;
	struct rating *rating = calloc(1, sizeof(*rating));
	struct json_object *body = json_object_new_object();
	struct dw_http_call_options options = {
		.ip = http->ip,
		.port = http->port,
		.method = "POST",
		.path = "/rate",
		.headers = headers,
		.header_count = 1,
		.deadline_us = request->deadline_us,
	};

	add_string(body, "organisation", request->organisation);
	add_string(body, "model", request->model);
	add_string(body, "version", request->version);
	add_string(body, "prompt", request->prompt);
	add_string(body, "answer", request->answer);
	rating->done = done;
	rating->data = data;
	options.body = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	options.body_len = strlen(options.body);
	dw_http_fetch(http->client, &options, MAX_RESPONSE_BYTES, on_response, rating);
	json_object_put(body);
}

static const struct dw_rater_ops http_ops = { .rate = http_rate };

struct dw_rater *dw_rater_http_new(struct dw_http_client *client, const char *ip, uint16_t port)
{
	struct rater_http *http = calloc(1, sizeof(*http));

	http->rater.ops = &http_ops;
	http->client = client;
	snprintf(http->ip, sizeof(http->ip), "%s", ip);
	http->port = port;
	return &http->rater;
}

void dw_rater_http_free(struct dw_rater *rater)
{
	free(rater);
}
