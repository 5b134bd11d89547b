/**
 * @file etcd_watch.h
 * One watch on etcd's JSON gateway. The response is a stream of lines, each a JSON message.
 */
#ifndef WHARF_PORT_ETCD_WATCH_H
#define WHARF_PORT_ETCD_WATCH_H

#include "net/http_client.h"
#include "port/store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct dw_etcd_watch_endpoint {
	struct dw_http_client *client;
	const char *ip;
	uint16_t port;
	/** Called before on_ended if the watch ended because the endpoint failed. */
	void (*on_endpoint_failed)(void *data);
	void *data;
};

/** Starts a watch; see dw_store_watch() in store.h. */
struct dw_store_watch *dw_etcd_watch_start(const struct dw_etcd_watch_endpoint *endpoint,
					   const struct dw_store_watch_options *options);

void dw_etcd_watch_cancel(struct dw_store_watch *watch);

#ifdef __cplusplus
}
#endif

#endif
