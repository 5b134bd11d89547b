#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "support/entities.h"

using namespace dw_test;

namespace
{

class RulesetTest : public ::testing::Test
{
      protected:
	dw_ruleset *ruleset = dw_ruleset_new();
	dw_ruleset_result result = {};

	~RulesetTest() override
	{
		dw_ruleset_free(ruleset);
	}

	uint32_t limit(const char *name) const
	{
		const dw_upstream *found = dw_ruleset_upstream(ruleset, name);

		return found ? found->limit : 0;
	}
};

Change with_limit(uint64_t revision, uint32_t limit)
{
	UpstreamSpec spec;

	spec.limit = limit;
	return at(revision, upstream(spec));
}

Change deletion(uint64_t revision, const std::string &key)
{
	return { key, revision, true, "" };
}

TEST_F(RulesetTest, ChecksEntities)
{
	std::string long_name(65, 'a');
	UpstreamSpec over, zero, ip, port, domain, serves;

	over.limit = 2;
	over.cold_limit = 3;
	zero.cold_limit = 0;
	ip.ip = "127.0.0.256";
	port.port = 65536;
	domain.failure_domain = "Haarlem";
	serves.serves = { "m/v1", "m/v1" };
	const std::vector<Change> bad = {
		organisation("o", { "m/v/w" }),
		organisation("o", { "" }),
		organisation("o", {}, { "a b" }),
		organisation("o", {}, {}, { "short" }),
		model("m", { "m" }),
		model("m", { "a", "a" }),
		service("s", { "no-slash" }),
		service("s", { "/a\n" }),
		upstream(over),
		upstream(zero),
		upstream(ip),
		upstream(port),
		upstream(domain),
		upstream(serves),
		{ "model/m", 0, false, "\xff\xff" },
		{ "model/other", 0, false, model("m").bytes },
		{ "model/m", 0, false, "" },
		{ "model/" + long_name, 0, false, "" },
	};
	uint64_t revision = 0;

	for (const auto &change : bad) {
		revision++;
		EXPECT_EQ(DW_OK, apply(ruleset, revision - 1, revision, { at(revision, change) },
				       &result));
		EXPECT_EQ(1u, result.refused) << "row " << revision;
	}
	EXPECT_EQ(0u, dw_ruleset_count(ruleset));
	for (const char *good : { "0.0.0.0", "10.1.255.9" })
		EXPECT_TRUE(dw_ipv4_valid(good));
	for (const char *text : { "", "1.2.3", "1.2.3.4.", "01.2.3.4", "1.2.3.4567", "a.b.c.d" })
		EXPECT_FALSE(dw_ipv4_valid(text)) << text;
}

TEST_F(RulesetTest, RefusedValueKeepsThePreviousOneAndOthersAreApplied)
{
	UpstreamSpec bad;
	std::string reported;
	dw_ruleset_observer observer = {};

	bad.limit = 0;
	observer.data = &reported;
	observer.refused = [](const char *key, uint64_t, enum dw_status status, const char *message,
			      void *data) {
		*static_cast<std::string *>(data) =
			std::string(key) + " " + dw_status_name(status) + " " + message;
	};
	dw_ruleset_set_observer(ruleset, &observer);
	EXPECT_EQ(DW_OK, apply(ruleset, 0, 1, { with_limit(1, 8) }));
	EXPECT_EQ(DW_OK,
		  apply(ruleset, 1, 3, { at(2, upstream(bad)), at(3, model("m")) }, &result));
	EXPECT_EQ("upstream/e1 invalid_argument limit: must be 1 to 100000, is 0", reported);
	EXPECT_EQ(1u, result.refused);
	EXPECT_EQ(8u, limit("e1"));
	EXPECT_NE(nullptr, dw_ruleset_model(ruleset, "m"));
	EXPECT_EQ(3u, dw_ruleset_revision(ruleset));
}

/* Guards against keys and permissions that stay in force after a value that may take them away, and that can't
 * be read. The next value that can be read holds again. */
TEST_F(RulesetTest, AnOrganisationWhoseValueIsRefusedHasNoKeysAndNoPermissions)
{
	const std::string hash(DW_KEY_HASH_BYTES, 'h');
	const auto *key = reinterpret_cast<const uint8_t *>(hash.data());
	const std::vector<Change> unreadable = {
		{ "organisation/o", 0, false, "\xff\xff" },
		{ "organisation/o", 0, false, "" },
		organisation("o", { "m" }, {}, { hash, "short" }),
		organisation("o", { "m" }, {},
			     std::vector<std::string>(DW_KEY_HASHES_MAX + 1, hash)),
	};
	uint64_t revision = 0;

	for (const Change &change : unreadable) {
		EXPECT_EQ(DW_OK,
			  apply(ruleset, revision, revision + 1,
				{ at(revision + 1, organisation("o", { "m" }, {}, { hash })) }));
		ASSERT_NE(nullptr, dw_ruleset_authenticate(ruleset, key));
		revision += 2;
		EXPECT_EQ(DW_OK, apply(ruleset, revision - 1, revision, { at(revision, change) },
				       &result));
		EXPECT_EQ(1u, result.refused);
		EXPECT_EQ(nullptr, dw_ruleset_authenticate(ruleset, key)) << revision;
		const dw_organisation *found = dw_ruleset_organisation(ruleset, "o");
		ASSERT_NE(nullptr, found);
		EXPECT_EQ(0u, found->allowed_count);
	}
}

TEST_F(RulesetTest, OlderRevisionsAreRejected)
{
	EXPECT_EQ(DW_OK, apply(ruleset, 0, 5, { with_limit(5, 16) }));
	EXPECT_EQ(DW_STALE, apply(ruleset, 0, 4, { with_limit(4, 8) }));
	EXPECT_EQ(DW_STALE, apply_snapshot(ruleset, 4, { with_limit(4, 8) }));
	EXPECT_EQ(DW_UNAVAILABLE, apply(ruleset, 6, 7, { with_limit(7, 32) }));
	EXPECT_EQ(DW_INVALID_ARGUMENT, apply(ruleset, 5, 6, { with_limit(7, 32) }));
	EXPECT_EQ(DW_STALE, apply(ruleset, 4, 5, { with_limit(5, 16) }))
		<< "instances would pass a known delta on to each other without end";
	EXPECT_EQ(16u, limit("e1"));
	EXPECT_EQ(DW_OK, apply(ruleset, 2, 6, { with_limit(3, 8), at(6, model("m")) }, &result));
	EXPECT_EQ(1u, result.unchanged);
	EXPECT_EQ(16u, limit("e1"));
}

TEST_F(RulesetTest, RestoredStoreRevertsNothing)
{
	EXPECT_EQ(DW_OK,
		  apply(ruleset, 0, 9,
			{ with_limit(7, 16), at(8, model("kept")), deletion(9, "model/gone") }));
	/* The store was restored from a backup of revision 5 and then written up to revision 12. */
	EXPECT_EQ(DW_OK,
		  apply_snapshot(ruleset, 12,
				 { with_limit(3, 8), at(4, model("gone")), at(11, model("fresh")) },
				 &result));
	EXPECT_TRUE(result.diverged);
	EXPECT_EQ(16u, limit("e1"));
	EXPECT_NE(nullptr, dw_ruleset_model(ruleset, "kept"));
	EXPECT_EQ(nullptr, dw_ruleset_model(ruleset, "gone"));
	EXPECT_NE(nullptr, dw_ruleset_model(ruleset, "fresh"));
}

TEST_F(RulesetTest, SnapshotDeletesAbsentKeys)
{
	EXPECT_EQ(DW_OK, apply(ruleset, 0, 2, { at(1, model("a")), at(2, model("b")) }));
	EXPECT_EQ(DW_OK, apply_snapshot(ruleset, 4, { at(2, model("b")) }, &result));
	EXPECT_EQ(nullptr, dw_ruleset_model(ruleset, "a"));
	EXPECT_NE(nullptr, dw_ruleset_model(ruleset, "b"));
	EXPECT_FALSE(result.diverged);
}

TEST_F(RulesetTest, EqualDigestsAdvanceTheRevision)
{
	dw_ruleset *peer = dw_ruleset_new();
	bool snapshot;

	EXPECT_EQ(DW_UNAVAILABLE,
		  dw_ruleset_confirm_revision(ruleset, 4, dw_ruleset_digest(ruleset)));
	EXPECT_EQ(DW_OK, apply(ruleset, 0, 2, { at(1, model("a")), at(2, model("b")) }));
	EXPECT_EQ(DW_OK, apply_snapshot(peer, 90, { at(1, model("a")), at(2, model("b")) }));
	EXPECT_EQ(DW_UNAVAILABLE,
		  dw_ruleset_confirm_revision(ruleset, 90, dw_ruleset_digest(peer) + 1));
	EXPECT_EQ(2u, dw_ruleset_revision(ruleset));
	EXPECT_EQ(DW_OK, dw_ruleset_confirm_revision(ruleset, 90, dw_ruleset_digest(peer)));
	EXPECT_EQ(90u, dw_ruleset_revision(ruleset));
	EXPECT_EQ(DW_STALE, dw_ruleset_confirm_revision(ruleset, 90, dw_ruleset_digest(peer)));
	items_since(ruleset, 50, &snapshot);
	EXPECT_TRUE(snapshot) << "there are no tombstones for deletions up to 90";
	dw_ruleset_free(peer);
}

TEST_F(RulesetTest, DroppedTombstonesForceASnapshot)
{
	std::vector<Change> changes;
	uint64_t revision = 1;
	bool snapshot;

	changes.push_back(at(1, model("m")));
	while (changes.size() <= DW_RULESET_TOMBSTONES_MAX + 1) {
		revision++;
		changes.push_back(deletion(revision, "model/x" + std::to_string(revision)));
	}
	EXPECT_EQ(DW_OK, apply(ruleset, 0, revision, changes));
	EXPECT_EQ(1u, items_since(ruleset, 1, &snapshot).size());
	EXPECT_TRUE(snapshot);
	items_since(ruleset, revision - 10, &snapshot);
	EXPECT_FALSE(snapshot);
	EXPECT_EQ(DW_OK, apply(ruleset, revision, revision + 1, { at(2, model("x2")) }));
	EXPECT_EQ(nullptr, dw_ruleset_model(ruleset, "x2"))
		<< "a deletion whose tombstone was dropped was undone";
}

TEST_F(RulesetTest, LinksEntitiesAndFindsUsableUpstreams)
{
	UpstreamSpec engine, booking;

	booking.name = "b1";
	booking.service = "booking";
	booking.serves = {};
	EXPECT_EQ(DW_OK, apply(ruleset, 0, 1, { at(1, upstream(engine)) }));
	EXPECT_TRUE(dw_ruleset_upstream_is_usable(ruleset, "e1", false));
	EXPECT_EQ(DW_OK,
		  apply(ruleset, 1, 5,
			{ at(2, version("m", "v1")), at(3, model("m")), at(4, upstream(booking)),
			  at(5, service("booking", { "/status" })) }));
	const dw_version *served = dw_ruleset_version(ruleset, "m", "v1");
	ASSERT_EQ(1u, served->upstream_count);
	EXPECT_STREQ("e1", served->upstreams[0]->name);
	ASSERT_EQ(1u, dw_ruleset_model(ruleset, "m")->version_count);
	const dw_service *plain = dw_ruleset_service(ruleset, "booking");
	ASSERT_EQ(1u, plain->upstream_count);
	EXPECT_TRUE(dw_service_path_idempotent(plain, "/status"));
	EXPECT_FALSE(dw_service_path_idempotent(plain, "/reserve"));
	EXPECT_FALSE(dw_ruleset_upstream_is_usable(ruleset, "e1", true));
	EXPECT_EQ(DW_OK, apply(ruleset, 5, 6, { at(6, failure_domain("haarlem", false)) }));
	EXPECT_FALSE(dw_ruleset_upstream_is_usable(ruleset, "e1", false));
	EXPECT_EQ(DW_OK, apply(ruleset, 6, 7, { at(7, failure_domain("haarlem", true)) }));
	EXPECT_TRUE(dw_ruleset_upstream_is_usable(ruleset, "e1", false));
	engine.leaving = true;
	EXPECT_EQ(DW_OK, apply(ruleset, 7, 8, { at(8, upstream(engine)) }));
	EXPECT_FALSE(dw_ruleset_upstream_is_usable(ruleset, "e1", false));
	EXPECT_EQ(DW_OK, apply(ruleset, 8, 9, { deletion(9, "upstream/e1") }));
	EXPECT_EQ(0u, dw_ruleset_version(ruleset, "m", "v1")->upstream_count);
}

TEST_F(RulesetTest, KeyHashOfTwoOrganisationsAuthenticatesNeither)
{
	std::string one(32, 'a'), both(32, 'b');
	auto owner = [this](const std::string &hash) {
		auto *found = dw_ruleset_authenticate(
			ruleset, reinterpret_cast<const uint8_t *>(hash.data()));

		return std::string(found ? found->name : "");
	};

	EXPECT_EQ(DW_OK, apply(ruleset, 0, 2,
			       { at(1, organisation("o", {}, {}, { one, both })),
				 at(2, organisation("p", {}, {}, { both })) }));
	EXPECT_EQ("o", owner(one));
	EXPECT_EQ("", owner(both));
	EXPECT_EQ(DW_OK, apply(ruleset, 2, 3, { at(3, organisation("p", {})) }));
	EXPECT_EQ("o", owner(both));
}

/* Model of the store: all changes in order, and the latest one of each key. */
struct Store {
	std::vector<Change> log;
	std::map<std::string, Change> latest;

	uint64_t revision() const
	{
		return log.size();
	}

	/* Compare-and-swap: of two operators that read the same revision, only the first one
	 * writes. */
	bool put(Change change, uint64_t expected)
	{
		auto found = latest.find(change.key);
		uint64_t now = found == latest.end() ? 0 : found->second.revision;

		if (now != expected)
			return false;
		change.revision = revision() + 1;
		log.push_back(change);
		latest[change.key] = change;
		return true;
	}

	std::vector<Change> live() const
	{
		std::vector<Change> out;

		for (const auto &entry : latest)
			if (!entry.second.deleted)
				out.push_back(entry.second);
		return out;
	}
};

struct Message {
	size_t to;
	bool snapshot;
	uint64_t from_revision, to_revision;
	std::vector<Change> changes;
	uint64_t digest = 0; /* of the peer that sent the message */
};

/* Simulates four instances, the store and the messages in flight between them; a seed determines
 * all random choices. */
struct Simulation {
	explicit Simulation(uint32_t seed) : random(seed)
	{
		for (size_t i = 0; i < 4; i++)
			instances.push_back(dw_ruleset_new());
		seen.resize(4);
	}

	~Simulation()
	{
		for (auto *instance : instances)
			dw_ruleset_free(instance);
	}

	std::mt19937 random;
	Store store;
	std::vector<dw_ruleset *> instances;
	std::vector<std::map<std::string, uint64_t>> seen;
	std::vector<uint32_t> generations = { 0, 0, 0, 0 };
	std::deque<Message> in_flight;
	uint32_t limits[3] = { 1, 1, 1 };

	uint32_t pick(uint32_t below)
	{
		return random() % below;
	}

	uint64_t current(const std::string &key)
	{
		return store.latest.count(key) ? store.latest[key].revision : 0;
	}

	Change random_change()
	{
		std::string digit = std::to_string(pick(3));
		UpstreamSpec spec;

		switch (pick(6)) {
		case 0: {
			std::string name = "v" + std::to_string(pick(3));
			bool is_live = pick(2);
			return version("m" + digit, name, is_live, pick(4));
		}
		case 1:
			return organisation("o" + digit,
					    { pick(2) ? "m0" : "m0/v1", pick(3) ? "m1/v2" : "*" });
		case 2:
			return failure_domain("d" + digit, pick(2));
		case 3:
			return deletion(0, pick(2) ? "model/m" + digit : "version/m0/v" + digit);
		case 4:
			return model("m" + digit);
		default:
			spec.name = "e" + digit;
			spec.limit = limits[digit[0] - '0'] + 1 + pick(9);
			spec.failure_domain = "d" + std::to_string(pick(3));
			spec.serves = { "m0/v" + std::to_string(pick(3)),
					"m1/v" + std::to_string(pick(3)) };
			return upstream(spec);
		}
	}

	void write_random_change()
	{
		Change one = random_change(), other = random_change();
		uint64_t expected = current(one.key), other_expected = current(other.key);

		if (store.put(one, expected) && one.key.rfind("upstream/", 0) == 0)
			limits[one.key.back() - '0'] = limit_of(one);
		if (other.key == one.key) {
			EXPECT_FALSE(store.put(other, other_expected));
		}
	}

	static uint32_t limit_of(const Change &change)
	{
		auto *entity = dragonflywharf__entity__unpack(
			nullptr, change.bytes.size(),
			reinterpret_cast<const uint8_t *>(change.bytes.data()));
		uint32_t limit = entity->upstream->limit;

		dragonflywharf__entity__free_unpacked(entity, nullptr);
		return limit;
	}

	void send_store_delta(size_t to)
	{
		uint64_t from = dw_ruleset_revision(instances[to]);
		uint64_t until = from + pick(static_cast<uint32_t>(store.revision() - from) + 1);

		in_flight.push_back({ to,
				      false,
				      from,
				      until,
				      { store.log.begin() + from, store.log.begin() + until } });
	}

	void send_peer_delta(size_t to, size_t peer)
	{
		uint64_t since = dw_ruleset_revision(instances[to]);
		bool snapshot;
		auto changes = items_since(instances[peer], since, &snapshot);

		in_flight.push_back({ to, snapshot, since, dw_ruleset_revision(instances[peer]),
				      changes, dw_ruleset_digest(instances[peer]) });
	}

	void replace_instance(size_t which)
	{
		dw_ruleset_free(instances[which]);
		instances[which] = dw_ruleset_new();
		seen[which].clear();
		generations[which]++;
		send_peer_delta(which, (which + 1) % instances.size());
	}

	void deliver()
	{
		size_t index = pick(static_cast<uint32_t>(in_flight.size()));
		Message message = in_flight[index];

		if (pick(3) > 0)
			in_flight.erase(in_flight.begin() + static_cast<long>(index));
		if (pick(5) == 0)
			return;
		std::shuffle(message.changes.begin(), message.changes.end(), random);
		auto *instance = instances[message.to];
		if (message.digest && pick(2))
			dw_ruleset_confirm_revision(instance, message.to_revision, message.digest);
		else if (message.snapshot)
			apply_snapshot(instance, message.to_revision, message.changes);
		else
			apply(instance, message.from_revision, message.to_revision,
			      message.changes);
		check_history(message.to);
	}

	/* No key reverts, and every value is the one that the store has at that revision. */
	void check_history(size_t which)
	{
		bool snapshot;

		for (const auto &change : items_since(instances[which], 0, &snapshot)) {
			EXPECT_GE(change.revision, seen[which][change.key]) << change.key;
			seen[which][change.key] = change.revision;
			if (!change.deleted) {
				EXPECT_EQ(store.log[change.revision - 1].bytes, change.bytes);
			}
		}
	}

	void step()
	{
		size_t to = pick(static_cast<uint32_t>(instances.size()));

		switch (pick(12)) {
		case 0:
		case 1:
		case 2:
			return write_random_change();
		case 3:
			return send_store_delta(to);
		case 4:
		case 5:
			return send_peer_delta(to, pick(static_cast<uint32_t>(instances.size())));
		case 6:
			in_flight.push_back({ to, true, 0, store.revision(), store.live() });
			return;
		case 7:
			return pick(8) ? void() : replace_instance(to);
		default:
			return in_flight.empty() ? void() : deliver();
		}
	}

	void synchronise()
	{
		bool snapshot;

		apply(instances[0], dw_ruleset_revision(instances[0]), store.revision(),
		      { store.log.begin() + static_cast<long>(dw_ruleset_revision(instances[0])),
			store.log.end() });
		for (size_t i = 1; i < instances.size(); i++) {
			uint64_t since = dw_ruleset_revision(instances[i]);
			auto changes = items_since(instances[i - 1], since, &snapshot);

			if (snapshot)
				apply_snapshot(instances[i], store.revision(), changes);
			else
				apply(instances[i], since, store.revision(), changes);
		}
	}
};

/* Reference implementation of the permission check: linear search in the store's latest values. */
enum dw_status expected_permission(const Store &store, const std::string &organisation,
				   const std::string &model, const std::string &version)
{
	Dragonflywharf__Entity *caller = nullptr, *found = nullptr;
	enum dw_status status = DW_OK;
	bool allowed = false;

	for (const auto &entry : store.latest) {
		if (entry.second.deleted)
			continue;
		auto *entity = dragonflywharf__entity__unpack(
			nullptr, entry.second.bytes.size(),
			reinterpret_cast<const uint8_t *>(entry.second.bytes.data()));
		if (entry.first == "organisation/" + organisation)
			caller = entity;
		else if (entry.first == "version/" + model + "/" + version)
			found = entity;
		else
			dragonflywharf__entity__free_unpacked(entity, nullptr);
	}
	for (size_t i = 0; caller && i < caller->organisation->n_allowed; i++) {
		std::string text = caller->organisation->allowed[i];

		allowed |= text == "*" || text == model || text == model + "/" + version;
	}
	if (!caller)
		status = DW_FORBIDDEN;
	else if (!found)
		status = DW_NOT_FOUND;
	else if (!allowed)
		status = DW_FORBIDDEN;
	else if (found->version->state != DRAGONFLYWHARF__VERSION_STATE__VERSION_LIVE)
		status = DW_WITHDRAWN;
	if (caller)
		dragonflywharf__entity__free_unpacked(caller, nullptr);
	if (found)
		dragonflywharf__entity__free_unpacked(found, nullptr);
	return status;
}

/* Names of the upstreams that serve each version, according to the store's latest values. */
std::map<std::string, std::set<std::string>> expected_links(const Store &store)
{
	std::map<std::string, std::set<std::string>> links;

	for (const auto &change : store.live()) {
		auto *entity = dragonflywharf__entity__unpack(
			nullptr, change.bytes.size(),
			reinterpret_cast<const uint8_t *>(change.bytes.data()));

		if (entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_VERSION)
			links[entity->version->model + std::string("/") + entity->version->name];
		dragonflywharf__entity__free_unpacked(entity, nullptr);
	}
	for (const auto &change : store.live()) {
		auto *entity = dragonflywharf__entity__unpack(
			nullptr, change.bytes.size(),
			reinterpret_cast<const uint8_t *>(change.bytes.data()));

		if (entity->kind_case == DRAGONFLYWHARF__ENTITY__KIND_UPSTREAM)
			for (size_t i = 0; i < entity->upstream->n_serves; i++)
				if (links.count(entity->upstream->serves[i]))
					links[entity->upstream->serves[i]].insert(
						entity->upstream->name);
		dragonflywharf__entity__free_unpacked(entity, nullptr);
	}
	return links;
}

void compare_links(const Store &store, const dw_ruleset *instance)
{
	for (const auto &link : expected_links(store)) {
		size_t slash = link.first.find('/');
		const dw_version *version =
			dw_ruleset_version(instance, link.first.substr(0, slash).c_str(),
					   link.first.substr(slash + 1).c_str());
		std::set<std::string> served;

		for (size_t i = 0; i < version->upstream_count; i++) {
			const dw_upstream *upstream = version->upstreams[i];

			served.insert(upstream->name);
			EXPECT_EQ(
				dw_ruleset_failure_domain(instance, upstream->failure_domain_name),
				upstream->failure_domain);
		}
		EXPECT_EQ(link.second, served) << link.first;
		EXPECT_EQ(served.size(), version->upstream_count);
		const dw_model *model = dw_ruleset_model(instance, version->model);
		if (model) {
			EXPECT_EQ(1, std::count(model->versions,
						model->versions + model->version_count, version));
		}
	}
}

void compare_links_and_permissions(const Simulation &simulation)
{
	for (auto *instance : simulation.instances)
		compare_links(simulation.store, instance);
	for (int o = 0; o < 3; o++)
		for (int m = 0; m < 3; m++)
			for (int v = 0; v < 3; v++) {
				std::string names[] = { "o" + std::to_string(o),
							"m" + std::to_string(m),
							"v" + std::to_string(v) };

				for (auto *instance : simulation.instances)
					EXPECT_EQ(expected_permission(simulation.store, names[0],
								      names[1], names[2]),
						  dw_ruleset_version_permitted(
							  instance, names[0].c_str(),
							  names[1].c_str(), names[2].c_str()));
			}
}

TEST(RulesetProperty, KeysNeverRevertAndInstancesConverge)
{
	for (uint32_t seed = 1; seed <= 200 && !::testing::Test::HasFailure(); seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Simulation simulation(seed);
		std::vector<std::map<std::string, uint32_t>> limits(simulation.instances.size());

		for (int i = 0; i < 400; i++) {
			auto before = simulation.generations;

			simulation.step();
			for (size_t j = 0; j < before.size(); j++) {
				if (simulation.generations[j] != before[j])
					limits[j].clear();
				for (const char *name : { "e0", "e1", "e2" }) {
					auto *found =
						dw_ruleset_upstream(simulation.instances[j], name);
					uint32_t limit = found ? found->limit : 0;

					ASSERT_GE(limit, limits[j][name]) << "a limit was lowered";
					limits[j][name] = limit;
				}
			}
		}
		simulation.synchronise();
		compare_links_and_permissions(simulation);
		for (size_t i = 0; i < simulation.instances.size(); i++) {
			simulation.check_history(i);
			EXPECT_EQ(simulation.store.live().size(),
				  dw_ruleset_count(simulation.instances[i]));
			EXPECT_EQ(dw_ruleset_digest(simulation.instances[0]),
				  dw_ruleset_digest(simulation.instances[i]));
			for (const auto &change : simulation.store.live())
				EXPECT_EQ(change.revision, simulation.seen[i][change.key])
					<< change.key;
		}
	}
}

} // namespace
