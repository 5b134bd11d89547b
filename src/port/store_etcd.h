/**
 * @file store_etcd.h
 * Adapter of store.h to etcd v3 through its published JSON gateway.
 */
#ifndef WHARF_PORT_STORE_ETCD_H
#define WHARF_PORT_STORE_ETCD_H

#include "net/http_client.h"
#include "port/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DW_STORE_ETCD_MAX_ENDPOINTS 16

struct dw_store_etcd_endpoint {
	char ip[16]; /**< numeric IPv4 address */
	uint16_t port;
};

/**
 * A store that tries its endpoints in turn, starting from the last one that worked.
 *
 * A read goes on to the next endpoint after any failure; a write only where the failed try
 * provably had no effect. NULL if @p count is 0 or over DW_STORE_ETCD_MAX_ENDPOINTS. The client
 * must outlive the store.
 */
struct dw_store *dw_store_etcd_new(struct dw_http_client *client,
				   const struct dw_store_etcd_endpoint *endpoints, size_t count);

/** Frees a store that has no calls under way and no watches. */
void dw_store_etcd_free(struct dw_store *store);

/** Parses "ip:port"; DW_INVALID_ARGUMENT if it isn't one. */
enum dw_status dw_store_etcd_parse_endpoint(const char *text, struct dw_store_etcd_endpoint *out);

#ifdef __cplusplus
}
#endif

#endif
