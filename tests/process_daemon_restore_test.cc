// The daemons' own store comes back from an older copy, with real processes: what it had acknowledged since the
// copy is gone, and its revisions are given out again.
#include <gtest/gtest.h>

#include "support/cluster.h"
#include "support/json.h"

using support::cluster;
using support::http_answer;

namespace
{

struct DaemonRestore : public ::testing::Test {
	cluster c;
	support::standin *booking = nullptr;
	support::daemon *a = nullptr;
	support::daemon *b = nullptr;

	void SetUp() override
	{
		booking = &c.add_service("booking", "haarlem");
		a = &c.add_daemon("entry-1", { .failure_domain = "haarlem" });
		b = &c.add_daemon("entry-2", { .failure_domain = "zaandam" });
		c.apply({
			"{\"failure_domain\":{\"name\":\"haarlem\"}}",
			cluster::service_entity(*booking, "haarlem", 64),
			"{\"service\":{\"name\":\"booking\",\"idempotent_paths\":[\"/slots\"]}}",
			cluster::organisation_entity("mill", {}, { "booking" }),
		});
		for (support::daemon *d : { a, b })
			cluster::wait_until("a permit for " + d->name, [&] {
				return c.service(*d, "mill", "booking/slots", "{}").status == 200;
			});
	}

	http_answer reserve(const support::daemon &d, const std::string &key)
	{
		return c.service(
			d, "mill", "booking/reserve", "{}",
			{ { "idempotency-key", key }, { "x-request-timeout-ms", "10000" } });
	}

	int64_t executions(const std::string &key)
	{
		return std::max<int64_t>(0, booking->stat("executions." + key + " /reserve"));
	}

	/*
	 * The store is away until both instances have seen it, and comes back as it was at /admin/backup. An instance
	 * calls it again 0.2 s after a failure, and once a second otherwise.
	 */
	void restore()
	{
		int64_t before = std::max<int64_t>(0, c.kv.stat("refused./v3/kv/range"));

		c.kv.fault("{\"kind\":\"outage\"}");
		cluster::wait_until("both instances miss the store", [&] {
			return c.kv.stat("refused./v3/kv/range") >= before + 10;
		});
		c.kv.admin("/admin/restore");
		c.kv.fault("{\"kind\":\"none\"}");
	}

	/* Writes configuration until the store's revision is above @p revision. */
	void raise_revision_above(int64_t revision)
	{
		for (int n = 0; c.kv.stat("revision") <= revision; n++)
			c.ctl({ "limit", "booking-1", std::to_string(64 + n) });
	}
};

// Guards against a second execution of a call whose record the store has lost.
TEST_F(DaemonRestore, ACallThatTheStoreForgotIsNotRunAgain)
{
	c.kv.admin("/admin/backup");
	for (int i = 0; i < 4; i++)
		ASSERT_EQ(reserve(*a, "lost" + std::to_string(i)).status, 200);
	restore();
	for (int i = 0; i < 4; i++) {
		std::string key = "lost" + std::to_string(i);

		for (support::daemon *d : { b, a })
			reserve(*d, key);
		cluster::wait_until("the stored answer of " + key,
				    [&] { return reserve(*b, key).status == 200; });
		EXPECT_EQ(executions(key), 1) << key;
	}
}

} // namespace
