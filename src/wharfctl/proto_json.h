/**
 * @file proto_json.h
 * Converts protobuf messages to JSON and back by means of their descriptors.
 *
 * Fields have the names of the schema, enums are written as the names of their values, and bytes as
 * hexadecimal digits.
 */
#ifndef WHARFCTL_PROTO_JSON_H
#define WHARFCTL_PROTO_JSON_H

#include <json-c/json.h>
#include <protobuf-c/protobuf-c.h>

#include <dragonflywharf/status.h>

/**
 * Returns @p message as a JSON object, owned by the caller. Empty arrays, absent messages and unset
 * oneof members are left out; other fields are written even if they are 0 or empty.
 */
struct json_object *proto_json_from_message(const ProtobufCMessage *message);

/**
 * Builds a message from a JSON object; the caller frees it with protobuf_c_message_free_unpacked().
 * @return NULL on an invalid field or a value that is not an object, which dw_last_message() names.
 */
ProtobufCMessage *proto_json_to_message(const ProtobufCMessageDescriptor *descriptor,
					struct json_object *object);

#endif
