// Conditional writes to the store across a restore: one that was prepared in an earlier era isn't sent.
#include <gtest/gtest.h>

#include <string>

#include "base/clock.h"
#include "platform/metadata_store.h"
#include "support/raw_server.h"

namespace
{

struct MetadataWrite : testing::Test {
	std::string era = "1"; /* of era 2: a store counts from 0 */
	int received = 0;
	support::raw_server server{ [this](support::raw_connection &connection,
					   const std::string &request) {
		std::string body = "{\"Revision\":140}";
		received++;
		connection.send("HTTP/1.1 200 OK\r\nStore-Era: " + era + "\r\nContent-Length: " +
				std::to_string(body.size()) + "\r\n\r\n" + body);
	} };
	uv_loop_t loop{};
	dw_store *store = nullptr;
	dw_store_put_result result{};
	bool is_done = false;

	void SetUp() override
	{
		metadata_store_options options{};
		uv_loop_init(&loop);
		options.loop = &loop;
		snprintf(options.address.ip, sizeof(options.address.ip), "127.0.0.1");
		options.address.port = server.port();
		options.max_poll_wait_us = DW_US_PER_S;
		store = metadata_store_new(&options);
	}
	void TearDown() override
	{
		metadata_store_free(store);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
	}
	static void on_done(const dw_store_put_result *result, void *data)
	{
		auto *test = (MetadataWrite *)data;
		test->result = *result;
		test->is_done = true;
	}
	void put(uint64_t prepared_in_era)
	{
		struct dw_store_put params {
		};
		params.key = "wharf/x";
		params.value = (const uint8_t *)"1";
		params.value_len = 1;
		params.era = prepared_in_era;
		params.deadline_us = dw_clock_now_us() + DW_US_PER_S;
		is_done = false;
		dw_store_put(store, &params, on_done, this);
		while (!is_done)
			uv_run(&loop, UV_RUN_ONCE);
	}
};

/* Guards against instances that learn the era from another one and never write again: their own client of the store has
 * made no call in it. */
TEST_F(MetadataWrite, AnEraThatAnotherInstanceToldIsSent)
{
	store->era.newest = 1;
	put(2);
	EXPECT_EQ(result.outcome, DW_STORE_DONE);
	EXPECT_EQ(result.revision, dw_revision_make(2, 140));
	EXPECT_EQ(received, 1);
}

/* Guards against a write whose expected revision was given out again in a later era. */
TEST_F(MetadataWrite, OneOfAnEarlierEraIsNotSent)
{
	store->era.newest = 2;
	put(1);
	EXPECT_EQ(result.outcome, DW_STORE_UNAVAILABLE);
	EXPECT_EQ(received, 0);
}

/* Guards against a lease of an earlier era that is another holder's now. */
TEST_F(MetadataWrite, WhatWasExecutedInAnotherEraIsUnknown)
{
	store->era.newest = 1;
	put(1);
	EXPECT_EQ(result.outcome, DW_STORE_UNKNOWN);
	EXPECT_EQ(store->era.newest, 2U);
}

} // namespace
