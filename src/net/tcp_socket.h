/**
 * @file tcp_socket.h
 * What libuv leaves to the socket itself: options that make a silent peer show, and the difference
 * between a close and a reset.
 */
#ifndef WHARF_NET_TCP_SOCKET_H
#define WHARF_NET_TCP_SOCKET_H

#include <stdbool.h>

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Sends without delay, probes an idle peer each second, and ends the connection when sent bytes
 * stay unacknowledged for @p unanswered_timeout_ms.
 */
void tcp_socket_set_options(uv_tcp_t *tcp, uint32_t unanswered_timeout_ms);

/**
 * Whether the peer reset the connection, asked when libuv reports its end. libuv reports an end of
 * file as soon as a hang-up follows the last bytes, a reset included.
 */
bool tcp_socket_was_reset(uv_tcp_t *tcp);

#ifdef __cplusplus
}
#endif

#endif
