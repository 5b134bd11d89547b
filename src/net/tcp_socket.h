/**
 * @file tcp_socket.h
 * Socket operations that libuv does not offer: options that detect an unresponsive peer, and
 * telling a connection reset from an orderly close.
 */
#ifndef WHARF_NET_TCP_SOCKET_H
#define WHARF_NET_TCP_SOCKET_H

#include <stdbool.h>

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Disables Nagle's algorithm, enables keep-alive probes every second, and closes the connection
 * when sent data stays unacknowledged for @p unacknowledged_timeout_ms (TCP_USER_TIMEOUT).
 */
void tcp_socket_set_options(uv_tcp_t *tcp, uint32_t unacknowledged_timeout_ms);

/**
 * Whether the peer reset the connection. Call it when libuv reports UV_EOF: libuv reports that for
 * any hang-up that follows the last bytes, including a reset.
 */
bool tcp_socket_was_reset(uv_tcp_t *tcp);

#ifdef __cplusplus
}
#endif

#endif
