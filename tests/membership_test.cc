#include <algorithm>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include <dragonflywharf/membership.h>

namespace
{

constexpr uint64_t kStepUs = 50000;
constexpr uint64_t kSecondUs = 1000000;

dw_member make_member(size_t index, uint64_t incarnation)
{
	dw_member member = {};

	member.key = { index + 1, incarnation };
	snprintf(member.name, sizeof(member.name), "entry-%zu", index);
	snprintf(member.failure_domain, sizeof(member.failure_domain), "d%zu", index % 3);
	strcpy(member.ip, "127.0.0.1");
	member.port = static_cast<uint16_t>(1000 + index);
	return member;
}

/* Instances that exchange messages over a network with losses, cuts and pauses. */
struct Network {
	Network(size_t count, uint32_t seed)
	    : random(seed), members(count), paused(count), cut(count, std::vector<bool>(count)),
	      deaths(count)
	{
		for (size_t i = 0; i < count; i++)
			start(i);
	}

	~Network()
	{
		for (auto *member : members)
			dw_membership_free(member);
	}

	std::mt19937 random;
	std::vector<dw_membership *> members; /* nullptr: stopped */
	std::vector<bool> paused;
	std::vector<std::vector<bool>> cut; /* [from][to] */
	std::vector<std::set<uint64_t>> deaths; /* by member: whom it has seen die */
	std::vector<dw_member_message> wire;
	uint64_t now_us = kSecondUs;
	uint32_t loss_percent = 0;

	void start(size_t index)
	{
		dw_membership_options options = {};

		options.self = make_member(index, now_us);
		options.seed_count = 2;
		for (uint16_t i = 0; i < 2; i++) {
			strcpy(options.seeds[i].ip, "127.0.0.1");
			options.seeds[i].port = 1000 + i;
		}
		members[index] = dw_membership_new(&options, now_us);
	}

	void stop(size_t index)
	{
		dw_membership_free(members[index]);
		members[index] = nullptr;
	}

	void drain(size_t index)
	{
		dw_member_message message;
		dw_member_event event;

		while (dw_membership_next_message(members[index], &message))
			if (random() % 100 >= loss_percent)
				wire.push_back(message);
		while (dw_membership_next_event(members[index], &event))
			if (event.member.state == DW_MEMBER_DEAD)
				deaths[index].insert(event.member.key.instance_id);
	}

	void deliver(const dw_member_message &message)
	{
		size_t to = message.to.port - 1000u;
		size_t from = message.sender.port - 1000u;

		if (to >= members.size() || !members[to] || cut[from][to])
			return;
		if (paused[to]) {
			if (wire.size() < 10000)
				wire.push_back(message);
			return;
		}
		EXPECT_EQ(DW_OK, dw_membership_receive(members[to], &message, now_us));
		drain(to);
	}

	void step()
	{
		std::vector<dw_member_message> arriving;

		now_us += kStepUs;
		arriving.swap(wire);
		std::shuffle(arriving.begin(), arriving.end(), random);
		for (const auto &message : arriving)
			deliver(message);
		for (size_t i = 0; i < members.size(); i++) {
			if (!members[i] || paused[i])
				continue;
			dw_membership_tick(members[i], now_us, random());
			drain(i);
		}
	}

	void run(uint64_t seconds)
	{
		for (uint64_t end = now_us + seconds * kSecondUs; now_us < end;)
			step();
	}

	dw_member_state state(size_t of, size_t at) const
	{
		const dw_member *found = dw_membership_find(members[at], of + 1);

		return found ? found->state : DW_MEMBER_DEAD;
	}

	/* True if every running member sees exactly the running ones, of their latest run. */
	bool converged() const
	{
		for (size_t at = 0; at < members.size(); at++)
			for (size_t of = 0; members[at] && of < members.size(); of++) {
				dw_member_state seen = state(of, at);

				if (seen != (members[of] ? DW_MEMBER_ALIVE : DW_MEMBER_DEAD))
					return false;
				if (members[of] &&
				    !dw_member_key_equal(
					    dw_membership_find(members[at], of + 1)->key,
					    dw_membership_self(members[of])->key))
					return false;
			}
		return true;
	}

	/* Seconds until convergence, or the bound if it didn't come. */
	uint64_t seconds_to_converge(uint64_t bound)
	{
		uint64_t start_us = now_us;

		while (!converged() && now_us < start_us + bound * kSecondUs)
			step();
		return (now_us - start_us) / kSecondUs;
	}

	size_t death_count() const
	{
		size_t sum = 0;

		for (const auto &seen : deaths)
			sum += seen.size();
		return sum;
	}
};

class MembershipTest : public ::testing::TestWithParam<uint32_t>
{
};

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipTest, ::testing::Range(1u, 13u));

TEST_P(MembershipTest, JoinsThroughSeedsDespiteLosses)
{
	Network network(9, GetParam());

	network.loss_percent = 20;
	EXPECT_LT(network.seconds_to_converge(30), 30u);
}

TEST_P(MembershipTest, FindsADeadMemberWithinTheBound)
{
	Network network(9, GetParam());

	network.run(20);
	ASSERT_TRUE(network.converged());
	network.loss_percent = 5;
	network.stop(5);
	EXPECT_LT(network.seconds_to_converge(20), 15u);
	EXPECT_EQ(8u, network.death_count()) << "others were declared dead";
}

TEST_P(MembershipTest, CutLinksAreNoDeath)
{
	Network network(9, GetParam());

	network.run(20);
	network.cut[1][2] = true;
	network.cut[3][4] = network.cut[4][3] = true;
	network.cut[5][7] = network.cut[6][7] = network.cut[8][7] = true;
	network.run(180);
	EXPECT_EQ(0u, network.death_count());
	EXPECT_EQ(DW_MEMBER_ALIVE, network.state(2, 1));
}

TEST_P(MembershipTest, PausedMemberComesBackAndJudgesNobody)
{
	Network network(9, GetParam());

	network.run(20);
	/* It suspects others when it is stopped, and their answers come while it is. */
	for (size_t i = 0; i < 9; i++)
		network.cut[4][i] = network.cut[i][4] = true;
	network.run(3);
	for (auto &row : network.cut)
		row.assign(9, false);
	network.paused[4] = true;
	network.run(40);
	EXPECT_EQ(DW_MEMBER_DEAD, network.state(4, 0));
	network.paused[4] = false;
	EXPECT_LT(network.seconds_to_converge(20), 20u);
	EXPECT_TRUE(network.deaths[4].empty()) << "the paused member declared others dead";
	EXPECT_EQ(8u, network.death_count());
}

TEST_P(MembershipTest, HalvesFindEachOtherAfterACut)
{
	const size_t count = 40;
	Network network(count, GetParam());

	EXPECT_LT(network.seconds_to_converge(60), 60u);
	for (size_t i = 0; i < count / 2; i++)
		for (size_t j = count / 2; j < count; j++)
			network.cut[i][j] = network.cut[j][i] = true;
	network.run(60);
	EXPECT_EQ(DW_MEMBER_DEAD, network.state(count - 1, 0));
	/* Without the seeds, only remembered members lead to the other half. */
	network.stop(0);
	network.stop(1);
	for (auto &row : network.cut)
		row.assign(count, false);
	size_t before = network.death_count();
	EXPECT_LT(network.seconds_to_converge(60), 60u);
	EXPECT_EQ(before + 2 * (count / 2 - 2), network.death_count())
		<< "old verdicts of the other half killed members";
}

TEST_P(MembershipTest, ConvergesAfterRandomFaults)
{
	Network network(7, GetParam());

	network.loss_percent = 10;
	for (int i = 0; i < 60; i++) {
		size_t a = network.random() % 7, b = network.random() % 7;

		switch (network.random() % 5) {
		case 0:
			if (network.members[a] && a > 1)
				network.stop(a);
			break;
		case 1:
			if (!network.members[a])
				network.start(a);
			break;
		case 2:
			network.paused[a] = !network.paused[a];
			break;
		case 3:
			network.cut[a][b] = !network.cut[a][b];
			break;
		default:
			network.run(3);
		}
	}
	network.paused.assign(7, false);
	for (auto &row : network.cut)
		row.assign(7, false);
	network.loss_percent = 0;
	EXPECT_LT(network.seconds_to_converge(90), 90u);
}

TEST(Membership, LeavingSpreadsAtOnceAndTakesNoRoles)
{
	Network network(9, 3);
	std::set<size_t> watchers;
	const dw_member *homes[2];

	network.run(20);
	for (size_t i = 0; i < 9; i++)
		if (dw_membership_is_watcher(network.members[i], i % 3 == 0 ? "d0" : "d1", 2))
			watchers.insert(i);
	EXPECT_EQ(4u, watchers.size());
	ASSERT_EQ(2u, dw_membership_owners(network.members[0], 77, homes));
	EXPECT_STRNE(homes[0]->failure_domain, homes[1]->failure_domain);
	size_t home = homes[0]->port - 1000u;
	dw_membership_leave(network.members[home], network.now_us);
	network.drain(home);
	network.step();
	for (size_t i = 0; i < 9; i++) {
		EXPECT_EQ(DW_MEMBER_LEAVING, network.state(home, i));
		dw_membership_owners(network.members[i], 77, homes);
		EXPECT_NE(home, homes[0]->port - 1000u);
	}
	EXPECT_FALSE(dw_membership_is_watcher(network.members[home], "d0", 9));
}

TEST(Membership, RevisionsAreSeenByPeers)
{
	Network network(3, 1);

	dw_membership_set_revision(network.members[1], 42);
	network.run(10);
	EXPECT_EQ(42u, dw_membership_highest_revision(network.members[2]));
}

TEST(Membership, StaleRumoursDontResurrectButALaterRunReplaces)
{
	Network network(4, 2);
	dw_member_message rumour = {};
	dw_membership *at = network.members[0];

	network.run(10);
	const dw_member dead = *dw_membership_find(at, 4);
	network.stop(3);
	network.run(20);
	ASSERT_EQ(DW_MEMBER_DEAD, network.state(3, 0));
	rumour.kind = DW_MEMBER_SYNC;
	rumour.sender = *dw_membership_self(network.members[1]);
	rumour.update_count = 1;
	rumour.updates[0] = dead;
	EXPECT_EQ(DW_OK, dw_membership_receive(at, &rumour, network.now_us));
	EXPECT_EQ(DW_MEMBER_DEAD, network.state(3, 0));
	rumour.updates[0].key.incarnation++;
	EXPECT_EQ(DW_OK, dw_membership_receive(at, &rumour, network.now_us));
	EXPECT_EQ(DW_MEMBER_ALIVE, network.state(3, 0));
	rumour.updates[0] = dead;
	rumour.updates[0].refutation = 9;
	EXPECT_EQ(DW_OK, dw_membership_receive(at, &rumour, network.now_us));
	EXPECT_EQ(dead.key.incarnation + 1, dw_membership_find(at, 4)->key.incarnation);
	rumour.updates[0].state = static_cast<dw_member_state>(DW_MEMBER_STATE_COUNT);
	EXPECT_EQ(DW_INVALID_ARGUMENT, dw_membership_receive(at, &rumour, network.now_us));
	rumour.update_count = DW_MEMBER_UPDATES_MAX + 1;
	EXPECT_EQ(DW_INVALID_ARGUMENT, dw_membership_receive(at, &rumour, network.now_us));
}

TEST(Membership, RumourOfADeathOnlyStartsASuspicionAndAProbe)
{
	Network network(4, 2);
	dw_member_message rumour = {}, sent;
	dw_membership *at = network.members[0];
	auto probes = [&](uint16_t port) {
		bool found = false;

		dw_membership_tick(at, network.now_us += kSecondUs / 2, 1);
		while (dw_membership_next_message(at, &sent))
			found |= sent.kind == DW_MEMBER_PING && sent.to.port == port;
		return found;
	};

	network.run(10);
	rumour.kind = DW_MEMBER_SYNC;
	rumour.sender = *dw_membership_self(network.members[1]);
	rumour.update_count = 1;
	rumour.updates[0] = *dw_membership_find(at, 4);
	rumour.updates[0].state = DW_MEMBER_DEAD;
	EXPECT_EQ(DW_OK, dw_membership_receive(at, &rumour, network.now_us));
	EXPECT_EQ(DW_MEMBER_SUSPECT, network.state(3, 0));
	EXPECT_TRUE(probes(1003));
	network.run(20);
	EXPECT_EQ(DW_MEMBER_ALIVE, network.state(3, 0));
	EXPECT_EQ(0u, network.death_count());
	network.stop(3);
	network.run(20);
	rumour.updates[0] = *dw_membership_find(at, 4);
	EXPECT_EQ(DW_MEMBER_DEAD, rumour.updates[0].state);
	rumour.updates[0].state = DW_MEMBER_ALIVE;
	EXPECT_EQ(DW_OK, dw_membership_receive(at, &rumour, network.now_us));
	EXPECT_TRUE(probes(1003)) << "dead here, alive to another";
}

} // namespace
