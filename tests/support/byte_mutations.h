/** Decodes a packed value with each byte changed to each value in turn. */
#ifndef TESTS_SUPPORT_BYTE_MUTATIONS_H
#define TESTS_SUPPORT_BYTE_MUTATIONS_H

#include <msgpack.h>

#include <functional>
#include <string>

#include "core/msgpack_check.h"

inline void
for_each_byte_mutation(const msgpack_sbuffer &packed,
		       const std::function<void(const msgpack_object &, bool same)> &decode)
{
	for (size_t i = 0; i < packed.size * 256; i++) {
		std::string bytes(packed.data, packed.size);
		bool same = bytes[i / 256] == (char)(i % 256);
		msgpack_unpacked unpacked;

		bytes[i / 256] = (char)(i % 256);
		/* As the mesh does before it unpacks. */
		if (dw_msgpack_check((const uint8_t *)bytes.data(), bytes.size()) != DW_OK)
			continue;
		msgpack_unpacked_init(&unpacked);
		if (msgpack_unpack_next(&unpacked, bytes.data(), bytes.size(), nullptr) > 0)
			decode(unpacked.data, same);
		msgpack_unpacked_destroy(&unpacked);
	}
}

#endif
