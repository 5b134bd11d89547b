#include "dragonflywharfd/store_history.h"

#include "dragonflywharfd/config_return.h"
#include "dragonflywharfd/ledger_sync.h"
#include "dragonflywharfd/once_sync.h"
#include "dragonflywharfd/peer_bus.h"

#define TELL_FANOUT 4U
/** Peers that tell of the same restore are heard once within this time. */
#define TOLD_AGAIN_US (5 * DW_US_PER_S)

static void tell_peers(struct daemon *daemon)
{
	struct peer_message_buffer buffer;

	peer_message_buffer_init(&buffer);
	msgpack_pack_nil(&buffer.packer);
	peer_bus_gossip(daemon, TELL_FANOUT, PEER_STORE_RESTORED, &buffer);
	peer_message_buffer_clear(&buffer);
}

static void store_restored(struct daemon *daemon)
{
	daemon->store_restored_at_us = dw_clock_now_us();
	tell_peers(daemon);
	config_return_store_restored(daemon->config_return);
	once_sync_store_restored(daemon->once_sync);
	ledger_sync_store_restored(daemon->ledger_sync);
}

static void on_restored(uint64_t revision_before, uint64_t revision, void *data)
{
	struct daemon *daemon = data;

	dw_log_event(&daemon->log, DW_EVENT_STORE_RESTORED,
		     DW_INT("revision_before", revision_before), DW_INT("revision", revision),
		     DW_INT("told", 0));
	store_restored(daemon);
}

static void on_back(void *data)
{
	struct daemon *daemon = data;

	once_sync_store_back(daemon->once_sync);
}

void store_history_start(struct daemon *daemon)
{
	daemon->store->on_restored = on_restored;
	daemon->store->on_back = on_back;
	daemon->store->history_data = daemon;
}

void store_history_receive(struct daemon *daemon)
{
	if (daemon->store_restored_at_us != 0 &&
	    dw_clock_now_us() < daemon->store_restored_at_us + TOLD_AGAIN_US)
		return;
	dw_log_event(&daemon->log, DW_EVENT_STORE_RESTORED,
		     DW_INT("revision", daemon->store->revision), DW_INT("told", 1));
	dw_store_forget_history(daemon->store);
	store_restored(daemon);
}
