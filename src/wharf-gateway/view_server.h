/**
 * @file view_server.h
 * Passes this instance's copy of the store's records on to other instances, over HTTP on the peer address:
 * GET /view/4?after=REVISION, followed by &with=kept or &with=past for more than the changes (enum view_ask). The request
 * is held until there are newer records or a newer proof that the copy is current, but not for long, so that the other
 * side can tell a silent instance from one without news; one for more is answered at once. 409: the changes since that
 * revision have been forgotten, or are too large: the store has them.
 */
#ifndef GATEWAY_VIEW_SERVER_H
#define GATEWAY_VIEW_SERVER_H

#include <uv.h>

#include "wharf-gateway/caller.h"
#include "wharf-gateway/view.h"

#define VIEW_TARGET "/view/4?after="
#define VIEW_TARGET_WITH "&with="
/** The changes since that revision aren't all known, or too large; after=0 asks for all records. */
#define VIEW_STATUS_ASK_STORE 409

struct view_request;

struct view_server {
	struct view *view;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct caller_list connections;
	struct view_request *held;
	uint64_t answers; /**< since the start */
	uint64_t answer_bytes;
};

/** Listens on the peer address; does nothing if the settings have none. */
enum dw_status view_server_start(struct view_server *server, uv_loop_t *loop, struct view *view);

/** Answers the held requests for which there is news; call it after each proof. */
void view_server_confirmed(struct view_server *server);

#endif
