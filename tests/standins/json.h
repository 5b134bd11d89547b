/**
 * @file json.h
 * Helpers to read and build JSON in the stand-ins.
 */
#ifndef TESTS_STANDINS_JSON_H
#define TESTS_STANDINS_JSON_H

#include <stdint.h>

#include <json-c/json.h>

/** Without white space, and without escaping slashes. */
#define JSON_OUTPUT_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/** Returns a field's value; NULL if @p object is NULL, isn't an object or has no such field. */
struct json_object *json_field(struct json_object *object, const char *field);

/** Returns a string field, or @p fallback if it is absent or not a string. */
const char *json_text(struct json_object *object, const char *field, const char *fallback);

/** Returns an integer field, also if it is given as a string, or @p fallback if it is absent. */
uint64_t json_u64(struct json_object *object, const char *field, uint64_t fallback);

void json_set_u64(struct json_object *object, const char *field, uint64_t value);
void json_set_text(struct json_object *object, const char *field, const char *value);

/** Adds @p amount to the number in @p field, which is 0 if absent. */
void json_increment(struct json_object *object, const char *field, uint64_t amount);

/** Returns the object in @p field, which is created if absent. */
struct json_object *json_ensure_object(struct json_object *object, const char *field);

#endif
