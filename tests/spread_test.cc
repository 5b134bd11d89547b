#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include <dragonflywharf/spread.h>

namespace
{

constexpr uint64_t MS = 1000;

struct Fleet {
	std::vector<dw_view_member> members;
	std::vector<dw_spread *> spreads;
	std::vector<bool> is_silent;
	uint64_t now_us = 1000000 * MS;
	std::vector<uint32_t> received; /* messages, by instance */
	std::vector<uint32_t> sent;

	Fleet(uint32_t count, uint32_t domains) : is_silent(count), received(count), sent(count)
	{
		for (uint64_t i = 0; i < count; i++)
			members.push_back({ i + 1, i % domains + 100 });
		for (uint64_t i = 0; i < count; i++) {
			spreads.push_back(dw_spread_new());
			dw_spread_place(spreads[i], members.data(), count, i + 1);
		}
	}
	~Fleet()
	{
		for (auto *spread : spreads)
			dw_spread_free(spread);
	}
	std::vector<size_t> targets(size_t from, dw_spread_scope scope) const
	{
		std::vector<size_t> to;
		dw_spread_targets(
			spreads[from], scope, now_us,
			[](uint64_t id, void *data) {
				((std::vector<size_t> *)data)->push_back(id - 1);
			},
			&to);
		return to;
	}
	/* Sends one load of @p from all the way; returns the instances that have it. */
	std::set<size_t> spread_load(size_t from)
	{
		std::map<size_t, int> known; /* scope still due, by instance */
		std::set<size_t> reached{ from };
		known[from] = DW_SPREAD_EVERYWHERE;
		for (int period = 0; period < 4; period++) {
			auto due = known;
			for (auto &[i, scope] : known)
				scope = DW_SPREAD_NOWHERE;
			for (const auto &[i, scope] : due)
				send(i, scope, known, reached);
			now_us += 300 * MS;
		}
		return reached;
	}
	void send(size_t i, int scope, std::map<size_t, int> &known, std::set<size_t> &reached)
	{
		std::vector<dw_spread_scope> parts;
		if (is_silent[i] || scope == DW_SPREAD_NOWHERE)
			return;
		if (!dw_spread_is_relay(spreads[i]))
			parts = { DW_SPREAD_EVERYWHERE };
		if (parts.empty() && scope & DW_SPREAD_IN_DOMAIN)
			parts.push_back(DW_SPREAD_IN_DOMAIN);
		if (dw_spread_is_relay(spreads[i]) && scope & DW_SPREAD_TO_DOMAINS)
			parts.push_back(DW_SPREAD_TO_DOMAINS);
		for (dw_spread_scope part : parts) {
			for (size_t to : targets(i, part)) {
				sent[i]++;
				received[to]++;
				if (is_silent[to])
					continue;
				dw_spread_scope next =
					dw_spread_received(spreads[to], i + 1, now_us);
				if (reached.insert(to).second)
					known[to] = next;
			}
		}
	}
};

struct Spread : testing::TestWithParam<uint32_t> {
};

TEST_P(Spread, ALoadReachesEveryInstance)
{
	Fleet fleet(GetParam(), 6);
	for (size_t from : { size_t{ 0 }, size_t{ 1 }, fleet.members.size() - 1 })
		EXPECT_EQ(fleet.spread_load(from).size(), GetParam());
}

/* With every instance reporting each period, an instance receives messages in the number of the other
 * instances of its failure domain at most, if it is a relay, and a few otherwise. */
TEST_P(Spread, MessagesDoNotGrowWithTheFleet)
{
	Fleet fleet(GetParam(), GetParam() / 50 + 1);
	for (size_t from = 0; from < GetParam(); from++)
		fleet.spread_load(from);
	uint64_t sum = 0;
	for (uint32_t count : fleet.received)
		sum += count;
	/* A load costs each instance one message, and the relays a few more; loads of one period
	 * travel together. */
	EXPECT_LE(sum, (uint64_t)GetParam() * (GetParam() + 2 * fleet.members.size() / 50 + 8));
	uint32_t leaves_sent = 0;
	for (size_t i = 0; i < GetParam(); i++) {
		if (!dw_spread_is_relay(fleet.spreads[i]) && GetParam() > 24)
			leaves_sent = std::max(leaves_sent, fleet.sent[i]);
	}
	EXPECT_LE(leaves_sent, 1U) << "an instance that isn't a relay sends its load once";
}

/* A relay that falls silent is replaced within two seconds. */
TEST_P(Spread, ASilentRelayIsReplaced)
{
	Fleet fleet(GetParam(), 6);
	if (GetParam() <= 24)
		return;
	for (size_t from = 0; from < GetParam(); from += 7)
		fleet.spread_load(from);
	size_t relay = 0;
	while (!dw_spread_is_relay(fleet.spreads[relay]))
		relay++;
	for (size_t i = 0; i < GetParam(); i++) {
		if (dw_spread_is_relay(fleet.spreads[i]) &&
		    fleet.targets(GetParam() - 1, DW_SPREAD_EVERYWHERE)[0] == i)
			relay = i;
	}
	fleet.is_silent[relay] = true;
	fleet.now_us += 2000 * MS;
	size_t reached = 0;
	for (size_t from = 0; from < GetParam(); from++) {
		if (!fleet.is_silent[from])
			reached = std::max(reached, fleet.spread_load(from).size());
	}
	EXPECT_EQ(reached, GetParam() - 1);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Spread, testing::Values(9, 24, 60, 351));

} // namespace
