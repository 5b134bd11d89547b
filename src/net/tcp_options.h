/**
 * @file tcp_options.h
 * Options of the gateway's TCP connections that make a silent peer show.
 */
#ifndef WHARF_NET_TCP_OPTIONS_H
#define WHARF_NET_TCP_OPTIONS_H

#include <uv.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Sends without delay, probes an idle peer each second, and ends the connection when sent bytes
 * stay unacknowledged for @p unanswered_timeout_ms.
 */
void tcp_options_apply(uv_tcp_t *tcp, uint32_t unanswered_timeout_ms);

#ifdef __cplusplus
}
#endif

#endif
