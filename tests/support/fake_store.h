/**
 * @file fake_store.h
 * A store for tests of what writes to it: it grants all leases, and keeps writes, readings and renewals, to be answered
 * by the test.
 */
#ifndef TESTS_SUPPORT_FAKE_STORE_H
#define TESTS_SUPPORT_FAKE_STORE_H

#include <cstdint>
#include <string>
#include <vector>

extern "C" {
#include "port/store.h"
}

namespace support
{

struct fake_store {
	struct write {
		std::string key;
		std::string value;
		uint64_t expected; /**< revision */
		uint64_t guard_revision; /**< 0: without a guard */
		uint64_t era; /**< in which it was prepared */
		uint64_t lease;
		dw_store_put_done done;
		void *data;
	};

	dw_store base{}; /**< first: its address is that of the fake */
	dw_store_ops ops{};
	std::vector<write> writes;
	std::vector<uint64_t> renewed; /**< leases */
	uint64_t leases = 0; /**< granted */
	dw_store_range_done read_done = nullptr; /**< of the last reading */
	void *read_data = nullptr;

	fake_store()
	{
		ops.range = [](dw_store *store, const struct dw_store_range *,
			       dw_store_range_done done, void *data) {
			of(store).read_done = done;
			of(store).read_data = data;
		};
		ops.put = [](dw_store *store, const struct dw_store_put *put,
			     dw_store_put_done done, void *data) {
			std::string value((const char *)put->value, put->value_len);
			of(store).writes.push_back({ put->key, value, put->expected_revision,
						     put->guard_key ? put->guard_revision : 0,
						     put->era, put->lease_id, done, data });
		};
		ops.lease_grant = [](dw_store *store, uint64_t, uint64_t, dw_store_lease_done done,
				     void *data) {
			dw_store_lease_result result{ DW_OK, ++of(store).leases, 0 };
			done(&result, data);
		};
		ops.lease_keep_alive = [](dw_store *store, uint64_t lease, uint64_t,
					  dw_store_lease_done done, void *data) {
			dw_store_lease_result result{ DW_OK, lease, 0 };
			of(store).renewed.push_back(lease);
			done(&result, data);
		};
		base.ops = &ops;
	}
	/** Answers a write. */
	void answer(size_t i, dw_store_outcome outcome, uint64_t revision) const
	{
		dw_store_put_result result{ outcome, revision };
		writes[i].done(&result, writes[i].data);
	}

      private:
	/* The base is the first member. */
	static fake_store &of(dw_store *store)
	{
		return *(fake_store *)store;
	}
};

} // namespace support

#endif
