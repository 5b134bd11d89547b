/**
 * @file json.h
 * Short ways to read and build JSON in the stand-ins.
 */
#ifndef TESTS_STANDINS_JSON_H
#define TESTS_STANDINS_JSON_H

#include <stdint.h>

#include <json-c/json.h>

/** How the stand-ins write JSON. */
#define JSON_TEXT (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/** A field's value; NULL if @p object is NULL, isn't an object or has no such field. */
struct json_object *json_field(struct json_object *object, const char *field);

/** A field's text, or @p fallback. */
const char *json_text(struct json_object *object, const char *field, const char *fallback);

/** A field's number, also if it is written as text, or @p fallback. */
uint64_t json_u64(struct json_object *object, const char *field, uint64_t fallback);

void json_set_u64(struct json_object *object, const char *field, uint64_t value);
void json_set_text(struct json_object *object, const char *field, const char *value);

/** Adds one to the number in @p field, which is 0 if absent. */
void json_count(struct json_object *object, const char *field, uint64_t amount);

/** The object in @p field, made if it is absent. */
struct json_object *json_child(struct json_object *object, const char *field);

#endif
