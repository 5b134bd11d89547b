/**
 * @file byte_order.h
 * Reads and writes integers in big-endian byte order.
 */
#ifndef WHARF_CORE_BYTE_ORDER_H
#define WHARF_CORE_BYTE_ORDER_H

#include <stdint.h>

static inline void dw_put_be32(uint8_t *out, uint32_t value)
{
	out[0] = (uint8_t)(value >> 24);
	out[1] = (uint8_t)(value >> 16);
	out[2] = (uint8_t)(value >> 8);
	out[3] = (uint8_t)value;
}

static inline uint32_t dw_get_be32(const uint8_t *in)
{
	return (uint32_t)in[0] << 24 | (uint32_t)in[1] << 16 | (uint32_t)in[2] << 8 | in[3];
}

#endif
