/** Support for decoder tests: single-byte mutations of a valid MessagePack value. */
#ifndef TESTS_SUPPORT_BYTE_MUTATIONS_H
#define TESTS_SUPPORT_BYTE_MUTATIONS_H

#include <msgpack.h>

#include <functional>
#include <string>

#include "core/msgpack_check.h"

/**
 * Sets each byte of @p packed to each of the 256 values in turn and calls @p decode with every
 * result that passes dw_msgpack_check() and can be unpacked. @p is_unchanged tells that the byte
 * has its original value.
 */
inline void
for_each_byte_mutation(const msgpack_sbuffer &packed,
		       const std::function<void(const msgpack_object &, bool is_unchanged)> &decode)
{
	for (size_t i = 0; i < packed.size * 256; i++) {
		std::string bytes(packed.data, packed.size);
		bool is_unchanged = bytes[i / 256] == (char)(i % 256);
		msgpack_unpacked unpacked;

		bytes[i / 256] = (char)(i % 256);
		/* Peer messages get the same check before they are unpacked. */
		if (dw_msgpack_check((const uint8_t *)bytes.data(), bytes.size()) != DW_OK)
			continue;
		msgpack_unpacked_init(&unpacked);
		if (msgpack_unpack_next(&unpacked, bytes.data(), bytes.size(), nullptr) > 0)
			decode(unpacked.data, is_unchanged);
		msgpack_unpacked_destroy(&unpacked);
	}
}

#endif
