#include "standins/json.h"

#include <stdlib.h>

struct json_object *json_field(struct json_object *object, const char *field)
{
	struct json_object *value = NULL;

	if (json_object_is_type(object, json_type_object))
		json_object_object_get_ex(object, field, &value);
	return value;
}

const char *json_text(struct json_object *object, const char *field, const char *fallback)
{
	struct json_object *value = json_field(object, field);

	return json_object_is_type(value, json_type_string) ? json_object_get_string(value)
							    : fallback;
}

uint64_t json_u64(struct json_object *object, const char *field, uint64_t fallback)
{
	struct json_object *value = json_field(object, field);

	return value ? strtoull(json_object_get_string(value), NULL, 10) : fallback;
}

void json_set_u64(struct json_object *object, const char *field, uint64_t value)
{
	json_object_object_add(object, field, json_object_new_uint64(value));
}

void json_set_text(struct json_object *object, const char *field, const char *value)
{
	json_object_object_add(object, field, json_object_new_string(value));
}

void json_increment(struct json_object *object, const char *field, uint64_t amount)
{
	json_set_u64(object, field, json_u64(object, field, 0) + amount);
}

struct json_object *json_ensure_object(struct json_object *object, const char *field)
{
	struct json_object *child = json_field(object, field);

	if (!child) {
		child = json_object_new_object();
		json_object_object_add(object, field, child);
	}
	return child;
}
