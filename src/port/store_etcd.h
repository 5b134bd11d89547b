/**
 * @file store_etcd.h
 * Implements store.h for etcd v3, over its JSON gateway.
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
 * Creates a store that tries its endpoints in turn, starting with the last one that worked.
 *
 * A put is retried at the next endpoint only if the failed attempt was certainly not applied. Other
 * calls, lease calls included, are also retried if the response is lost or malformed. Returns NULL
 * if @p count is 0 or above DW_STORE_ETCD_MAX_ENDPOINTS. The client must outlive the store.
 */
struct dw_store *dw_store_etcd_new(struct dw_http_client *client,
				   const struct dw_store_etcd_endpoint *endpoints, size_t count);

/** Frees a store that has no calls in progress and no watches. */
void dw_store_etcd_free(struct dw_store *store);

/** Parses "ip:port". DW_INVALID_ARGUMENT if malformed. */
enum dw_status dw_store_etcd_parse_endpoint(const char *text, struct dw_store_etcd_endpoint *out);

#ifdef __cplusplus
}
#endif

#endif
