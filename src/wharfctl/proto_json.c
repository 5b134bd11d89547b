#include "wharfctl/proto_json.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HEX_DIGITS "0123456789abcdef"

static void *allocate(size_t bytes)
{
	void *out = calloc(1, bytes ? bytes : 1);

	if (!out)
		abort();
	return out;
}

/* Size of one value of the field in the C structure of its message. */
static size_t value_size(const ProtobufCFieldDescriptor *field)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	case PROTOBUF_C_TYPE_STRING:
	case PROTOBUF_C_TYPE_MESSAGE:
		return sizeof(void *);
	case PROTOBUF_C_TYPE_UINT64:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	default:
		return sizeof(uint32_t);
	}
}

static struct json_object *bytes_to_json(const ProtobufCBinaryData *data)
{
	char *text = allocate(2 * data->len + 1);
	struct json_object *out;

	for (size_t i = 0; i < data->len; i++) {
		text[2 * i] = HEX_DIGITS[data->data[i] >> 4];
		text[2 * i + 1] = HEX_DIGITS[data->data[i] & 0xf];
	}
	out = json_object_new_string(text);
	free(text);
	return out;
}

static struct json_object *value_to_json(const ProtobufCFieldDescriptor *field, const void *value)
{
	const ProtobufCEnumValue *enum_value;

	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		return json_object_new_string(*(char *const *)value);
	case PROTOBUF_C_TYPE_BYTES:
		return bytes_to_json(value);
	case PROTOBUF_C_TYPE_MESSAGE:
		return proto_json_from_message(*(ProtobufCMessage *const *)value);
	case PROTOBUF_C_TYPE_UINT64:
		return json_object_new_int64((int64_t) * (const uint64_t *)value);
	case PROTOBUF_C_TYPE_BOOL:
		return json_object_new_boolean(*(const protobuf_c_boolean *)value);
	case PROTOBUF_C_TYPE_ENUM:
		enum_value = protobuf_c_enum_descriptor_get_value(field->descriptor,
								  *(const int *)value);
		return json_object_new_string(enum_value ? enum_value->name : "?");
	default:
		return json_object_new_int64(*(const uint32_t *)value);
	}
}

static struct json_object *array_to_json(const ProtobufCFieldDescriptor *field, const uint8_t *base)
{
	size_t count = *(const size_t *)(base + field->quantifier_offset);
	const uint8_t *values = *(uint8_t *const *)(base + field->offset);
	struct json_object *array = json_object_new_array();

	for (size_t i = 0; i < count; i++)
		json_object_array_add(array, value_to_json(field, values + i * value_size(field)));
	return array;
}

static bool is_set(const ProtobufCFieldDescriptor *field, const uint8_t *base)
{
	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
		return *(const uint32_t *)(base + field->quantifier_offset) == field->id;
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return *(const size_t *)(base + field->quantifier_offset) > 0;
	if (field->type == PROTOBUF_C_TYPE_MESSAGE)
		return *(void *const *)(base + field->offset) != NULL;
	return true;
}

struct json_object *proto_json_from_message(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;
	const uint8_t *base = (const uint8_t *)message;
	struct json_object *object = json_object_new_object();

	for (unsigned int i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		if (!is_set(field, base))
			continue;
		if (field->label == PROTOBUF_C_LABEL_REPEATED)
			json_object_object_add(object, field->name, array_to_json(field, base));
		else
			json_object_object_add(object, field->name,
					       value_to_json(field, base + field->offset));
	}
	return object;
}

static bool json_to_number(const ProtobufCFieldDescriptor *field, struct json_object *json,
			   uint64_t max, uint64_t *out)
{
	int64_t number = json_object_get_int64(json);

	if (!json_object_is_type(json, json_type_int) || number < 0 || (uint64_t)number > max) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: expected an integer from 0 to %" PRIu64,
			field->name, max);
		return false;
	}
	*out = (uint64_t)number;
	return true;
}

static bool json_to_bytes(const ProtobufCFieldDescriptor *field, struct json_object *json,
			  ProtobufCBinaryData *out)
{
	const char *text = json_object_get_string(json);
	size_t len = text ? strlen(text) : 0;

	if (!text || !json_object_is_type(json, json_type_string) || len % 2 != 0 ||
	    strspn(text, HEX_DIGITS) != len) {
		dw_fail(DW_INVALID_ARGUMENT,
			"%s: expected an even number of lowercase hexadecimal digits", field->name);
		return false;
	}
	out->len = len / 2;
	out->data = allocate(out->len);
	for (size_t i = 0; i < out->len; i++) {
		const char *high = strchr(HEX_DIGITS, text[2 * i]);
		const char *low = strchr(HEX_DIGITS, text[2 * i + 1]);

		out->data[i] = (uint8_t)((high - HEX_DIGITS) << 4 | (low - HEX_DIGITS));
	}
	return true;
}

static bool json_to_string(const ProtobufCFieldDescriptor *field, struct json_object *json,
			   char **out)
{
	if (!json_object_is_type(json, json_type_string)) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: expected a string", field->name);
		return false;
	}
	*out = strdup(json_object_get_string(json));
	if (!*out)
		abort();
	return true;
}

static bool json_to_enum(const ProtobufCFieldDescriptor *field, struct json_object *json, int *out)
{
	const ProtobufCEnumValue *value = NULL;

	if (json_object_is_type(json, json_type_string))
		value = protobuf_c_enum_descriptor_get_value_by_name(field->descriptor,
								     json_object_get_string(json));
	if (!value) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: not a string, or an unknown enum value",
			field->name);
		return false;
	}
	*out = value->value;
	return true;
}

static bool json_to_value(const ProtobufCFieldDescriptor *field, struct json_object *json,
			  void *out)
{
	uint64_t number = 0;

	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		return json_to_string(field, json, out);
	case PROTOBUF_C_TYPE_BYTES:
		return json_to_bytes(field, json, out);
	case PROTOBUF_C_TYPE_ENUM:
		return json_to_enum(field, json, out);
	case PROTOBUF_C_TYPE_MESSAGE:
		*(ProtobufCMessage **)out = proto_json_to_message(field->descriptor, json);
		return *(ProtobufCMessage **)out != NULL;
	case PROTOBUF_C_TYPE_UINT64:
		return json_to_number(field, json, INT64_MAX, out);
	case PROTOBUF_C_TYPE_BOOL:
		*(protobuf_c_boolean *)out = json_object_get_boolean(json);
		return true;
	default:
		if (!json_to_number(field, json, UINT32_MAX, &number))
			return false;
		*(uint32_t *)out = (uint32_t)number;
		return true;
	}
}

static bool json_to_array(const ProtobufCFieldDescriptor *field, struct json_object *json,
			  uint8_t *base)
{
	size_t count;
	uint8_t *values;

	if (!json_object_is_type(json, json_type_array)) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: expected an array", field->name);
		return false;
	}
	count = json_object_array_length(json);
	values = allocate(count * value_size(field));
	*(uint8_t **)(base + field->offset) = values;
	for (size_t i = 0; i < count; i++) {
		if (!json_to_value(field, json_object_array_get_idx(json, i),
				   values + i * value_size(field)))
			return false;
		/* Updated for each element, so that a partly built message can be freed. */
		*(size_t *)(base + field->quantifier_offset) = i + 1;
	}
	return true;
}

static bool json_to_field(const ProtobufCMessageDescriptor *descriptor, const char *name,
			  struct json_object *json, uint8_t *base)
{
	const ProtobufCFieldDescriptor *field =
		protobuf_c_message_descriptor_get_field_by_name(descriptor, name);

	if (!field) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: unknown field of %s", name,
			descriptor->short_name);
		return false;
	}
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return json_to_array(field, json, base);
	/* A second one would replace the first one, which would never be freed. */
	if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) &&
	    *(const uint32_t *)(base + field->quantifier_offset) != 0) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: %s has another kind already", name,
			descriptor->short_name);
		return false;
	}
	if (!json_to_value(field, json, base + field->offset))
		return false;
	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
		*(uint32_t *)(base + field->quantifier_offset) = field->id;
	return true;
}

ProtobufCMessage *proto_json_to_message(const ProtobufCMessageDescriptor *descriptor,
					struct json_object *object)
{
	ProtobufCMessage *message;

	if (!json_object_is_type(object, json_type_object)) {
		dw_fail(DW_INVALID_ARGUMENT, "%s: expected an object", descriptor->short_name);
		return NULL;
	}
	message = allocate(descriptor->sizeof_message);
	protobuf_c_message_init(descriptor, message);
	json_object_object_foreach(object, name, value)
	{
		if (!json_to_field(descriptor, name, value, (uint8_t *)message)) {
			protobuf_c_message_free_unpacked(message, NULL);
			return NULL;
		}
	}
	return message;
}
