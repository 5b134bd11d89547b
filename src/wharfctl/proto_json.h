/**
 * @file proto_json.h
 * Protobuf messages as JSON and back, by their descriptors.
 *
 * Field names are those of the schema, enums are their value names, bytes are hexadecimal digits.
 */
#ifndef WHARFCTL_PROTO_JSON_H
#define WHARFCTL_PROTO_JSON_H

#include <json-c/json.h>
#include <protobuf-c/protobuf-c.h>

#include <dragonflywharf/status.h>

/** The message's set fields as a JSON object. */
struct json_object *proto_json_from_message(const ProtobufCMessage *message);

/**
 * Builds a message from a JSON object; freed by protobuf_c_message_free_unpacked().
 * NULL with dw_last_message() naming the field at fault.
 */
ProtobufCMessage *proto_json_to_message(const ProtobufCMessageDescriptor *descriptor,
					struct json_object *object);

#endif
