#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <dragonflywharf/ledger.h>

#include "net/ledger_codec.h"

namespace
{

constexpr uint64_t MS = 1000;
constexpr int REQUESTS = 40;

dw_usage_record record_of(int request, uint64_t finished_at_us)
{
	dw_usage_record record{};
	record.request_id = dw_fingerprint_strings("haarlem", std::to_string(request).c_str());
	snprintf(record.organisation, sizeof(record.organisation), "org-%d", request % 3);
	strcpy(record.model, "draft");
	strcpy(record.version, request % 2 ? "v1" : "v2");
	record.prompt_tokens = 10 + request;
	record.completion_tokens = 5;
	record.cost_micros = 100 + request;
	record.finished_at_us = finished_at_us;
	return record;
}

struct Message {
	int from;
	dw_member_key from_key;
	dw_member_key to;
	dw_ledger_message body;
};

struct Write {
	dw_member_key from;
	uint64_t id;
	std::string key;
	std::string bytes;
	bool is_request; /* false: the response to the write */
	dw_status status;
};

struct Instance {
	std::unique_ptr<dw_ledger, void (*)(dw_ledger *)> ledger{ nullptr, dw_ledger_free };
	dw_member_key key{};
	/* by sequence number: requests whose answers are held back */
	std::map<uint64_t, std::vector<int>> waiting;
	std::map<int, uint64_t> seqs;
};

struct Simulation {
	std::mt19937_64 random;
	std::vector<Instance> instances;
	std::deque<Message> network;
	std::deque<Write> writes;
	std::map<std::string, std::string> store;
	std::vector<bool> answered;
	std::set<int> exposed;
	uint64_t now_us = 1000 * MS;
	uint64_t kills = 0;
	bool faults_disabled = false;

	explicit Simulation(uint64_t seed) : random(seed), answered(REQUESTS)
	{
		instances.resize(3 + random() % 2);
		for (size_t i = 0; i < instances.size(); i++)
			start(i);
		for (size_t i = 0; i < instances.size(); i++)
			choose_holder(i);
	}

	bool chance(int percent)
	{
		return (int)(random() % 100) < percent;
	}

	void start(size_t index)
	{
		dw_ledger *ledger = nullptr;
		instances[index] = Instance();
		Instance &instance = instances[index];
		instance.key = { index + 1, ++now_us };
		dw_ledger_options options = dw_ledger_default_options(instance.key);
		options.max_batch_records = 3;
		ASSERT_EQ(dw_ledger_new(&ledger, &options), DW_OK);
		instance.ledger.reset(ledger);
	}

	void choose_holder(size_t index)
	{
		size_t holder = (index + 1 + random() % (instances.size() - 1)) % instances.size();
		dw_ledger_set_holder(instances[index].ledger.get(), &instances[holder].key, now_us);
	}

	Instance *find(dw_member_key key)
	{
		for (Instance &instance : instances) {
			if (dw_member_key_equal(instance.key, key))
				return &instance;
		}
		return nullptr;
	}

	/*
	 * Delivers all copies without loss. The ledger tolerates one lost instance at a time, so
	 * the copies must be complete before the next is killed.
	 */
	void copy_all()
	{
		faults_disabled = true;
		for (int round = 0; round < 2; round++) {
			now_us += 200 * MS;
			for (size_t i = 0; i < instances.size(); i++)
				pump(i);
			while (!network.empty()) {
				deliver();
				for (size_t i = 0; i < instances.size(); i++)
					pump(i);
			}
		}
		faults_disabled = false;
	}

	void write_all()
	{
		copy_all();
		faults_disabled = true;
		for (int i = 0; i < 5000 && !all_written(); i++)
			step();
		EXPECT_TRUE(all_written());
		faults_disabled = false;
	}

	bool all_written()
	{
		for (Instance &instance : instances) {
			if (dw_ledger_unwritten(instance.ledger.get()) > 0)
				return false;
		}
		return true;
	}

	void kill(size_t index)
	{
		dw_member_key dead = instances[index].key;
		kills++;
		start(index);
		for (Instance &instance : instances)
			dw_ledger_member_dead(instance.ledger.get(), &dead, now_us);
		for (size_t i = 0; i < instances.size(); i++)
			choose_holder(i);
		copy_all();
	}

	void serve(size_t index, int request)
	{
		Instance &instance = instances[index];
		dw_usage_record record = record_of(request, now_us);
		uint64_t seq;
		if (dw_ledger_reserve(instance.ledger.get()) != DW_OK)
			return;
		ASSERT_EQ(dw_ledger_append(instance.ledger.get(), &record, now_us, &seq), DW_OK);
		if (dw_ledger_protection_of(instance.ledger.get(), seq) !=
		    DW_LEDGER_PROTECTION_COUNT)
			answered[request] = true;
		else
			instance.waiting[seq].push_back(request);
	}

	void pump(size_t index)
	{
		Instance &instance = instances[index];
		Message message{};
		dw_ledger_write write;
		uint64_t seq;
		dw_ledger_protection protection;
		while (dw_ledger_next_message(instance.ledger.get(), now_us, &message.to,
					      &message.body)) {
			message.from_key = instance.key;
			if (faults_disabled || !chance(15))
				network.push_back(message);
		}
		if (dw_ledger_next_write(instance.ledger.get(), now_us, &write))
			writes.push_back({ instance.key, write.id, write.key,
					   std::string((const char *)write.bytes, write.len), true,
					   DW_OK });
		while (dw_ledger_next_protected(instance.ledger.get(), &seq, &protection)) {
			for (int request : instance.waiting[seq]) {
				answered[request] = true;
				if (protection == DW_LEDGER_EXPOSED)
					exposed.insert(request);
			}
			instance.waiting.erase(seq);
		}
	}

	void deliver()
	{
		size_t index = chance(80) ? 0 : random() % network.size();
		Message message = network[index];
		network.erase(network.begin() + (long)index);
		Instance *to = find(message.to);
		if (to)
			dw_ledger_receive(to->ledger.get(), &message.from_key, &message.body,
					  now_us);
	}

	void store_step()
	{
		Write write = writes.front();
		writes.pop_front();
		if (write.is_request) {
			bool lost_before = !faults_disabled && chance(15);
			if (lost_before)
				write.status = DW_UNAVAILABLE;
			else if (store.count(write.key))
				write.status = DW_CONFLICT;
			else
				store[write.key] = write.bytes;
			if (!faults_disabled && chance(20))
				write.status = DW_UNKNOWN_OUTCOME;
			EXPECT_TRUE(lost_before || store[write.key] == write.bytes);
			write.is_request = false;
			writes.push_back(write);
			return;
		}
		Instance *from = find(write.from);
		if (from)
			dw_ledger_write_done(from->ledger.get(), write.id, write.status, now_us);
	}

	void step()
	{
		size_t index = random() % instances.size();
		uint64_t action = random() % 100;
		if (action < 15 && !faults_disabled)
			serve(index, (int)(random() % REQUESTS));
		else if (action < 45 && !network.empty())
			deliver();
		else if (action < 55 && !writes.empty())
			store_step();
		else if (action < 57 && !faults_disabled && chance(40))
			kill(index);
		else
			now_us += random() % (faults_disabled ? 20 * MS : 60 * MS);
		dw_ledger_tick(instances[index].ledger.get(), now_us);
		pump(index);
	}
};

struct Totals {
	uint64_t requests = 0;
	uint64_t cost_micros = 0;
	int rows = 0;
};

void add_total(const dw_ledger_total *total, void *data)
{
	Totals *totals = (Totals *)data;
	totals->requests += total->requests;
	totals->cost_micros += total->cost_micros;
	totals->rows++;
}

Totals fold(const std::map<std::string, std::string> &store)
{
	dw_ledger_fold *fold = dw_ledger_fold_new();
	Totals totals;
	for (auto &[key, bytes] : store)
		EXPECT_EQ(dw_ledger_fold_batch(fold, (const uint8_t *)bytes.data(), bytes.size()),
			  DW_OK);
	EXPECT_EQ(dw_ledger_fold_totals(fold, add_total, &totals), DW_OK);
	dw_ledger_fold_free(fold);
	return totals;
}

enum dw_status collect(const dw_usage_record *record, void *data)
{
	((std::set<uint64_t> *)data)->insert(record->request_id.low);
	return DW_OK;
}

/* The number of seeds; DW_TEST_SEEDS raises it for soak tests. */
uint64_t seed_count(uint64_t default_count)
{
	const char *override = getenv("DW_TEST_SEEDS");
	return override ? std::max<uint64_t>(default_count, strtoull(override, nullptr, 10))
			: default_count;
}

TEST(Ledger, BillsEachRequestOnceOverRandomInterleavings)
{
	uint64_t kills = 0;
	uint64_t answered = 0;
	for (uint64_t seed = 1; seed <= seed_count(1000) && !HasFailure(); seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Simulation simulation(seed);
		std::set<uint64_t> billed;
		for (int i = 0; i < 600; i++)
			simulation.step();
		simulation.write_all();
		for (auto &[key, bytes] : simulation.store)
			dw_usage_batch_decode((const uint8_t *)bytes.data(), bytes.size(), collect,
					      &billed);
		for (int request = 0; request < REQUESTS; request++) {
			if (!simulation.answered[request] || simulation.exposed.count(request))
				continue;
			EXPECT_TRUE(billed.count(record_of(request, 0).request_id.low))
				<< "request " << request << " was answered but isn't billed";
			answered++;
		}
		/*
		 * Every caller repeats its request, possibly at another instance; it must not be
		 * billed again.
		 */
		for (int request = 0; request < REQUESTS; request++)
			simulation.serve(request % simulation.instances.size(), request);
		simulation.write_all();
		Totals totals = fold(simulation.store);
		EXPECT_EQ(totals.requests, (uint64_t)REQUESTS);
		EXPECT_EQ(totals.cost_micros,
			  (uint64_t)REQUESTS * 100 + REQUESTS * (REQUESTS - 1) / 2);
		EXPECT_EQ(totals.rows, 6);
		kills += simulation.kills;
	}
	EXPECT_GT(kills, 1000u);
	EXPECT_GT(answered, 10000u);
}

TEST(Ledger, TheFoldDoesNotDependOnTheOrder)
{
	dw_usage_record first = record_of(1, 500);
	dw_usage_record second = record_of(1, 600);
	second.cost_micros = 7;
	for (bool swapped : { false, true }) {
		dw_ledger_fold *fold = dw_ledger_fold_new();
		Totals totals;
		dw_ledger_fold_add(fold, swapped ? &second : &first);
		dw_ledger_fold_add(fold, swapped ? &first : &second);
		dw_ledger_fold_totals(fold, add_total, &totals);
		EXPECT_EQ(totals.requests, 1u);
		EXPECT_EQ(totals.cost_micros, first.cost_micros);
		dw_ledger_fold_free(fold);
	}
}

TEST(Ledger, ASustainedLoadAboveOneBatchPerIntervalIsNotRefused)
{
	dw_ledger_options options = dw_ledger_default_options({ 1, 1 });
	dw_member_key holder{ 2, 1 };
	dw_ledger *ledger = nullptr;
	dw_ledger_write write;
	uint64_t seq;
	int refused = 0;

	ASSERT_EQ(dw_ledger_new(&ledger, &options), DW_OK);
	dw_ledger_set_holder(ledger, &holder, 0);
	/*
	 * Three times the records of one batch per write interval, for one minute; a write takes 5
	 * ms.
	 */
	for (int ms = 1; ms <= 60000; ms++) {
		dw_usage_record record = record_of(ms, ms * MS);

		for (int i = 0; i < 3 && ms % 2 == 0; i++) {
			record.request_id = dw_fingerprint_strings(std::to_string(ms).c_str(),
								   std::to_string(i).c_str());
			if (dw_ledger_reserve(ledger) == DW_OK)
				dw_ledger_append(ledger, &record, ms * MS, &seq);
			else
				refused++;
		}
		if (dw_ledger_next_write(ledger, ms * MS, &write))
			dw_ledger_write_done(ledger, write.id, DW_OK, (ms + 5) * MS);
	}
	EXPECT_EQ(refused, 0);
	/*
	 * A write every two seconds would make 30. The load may cause more writes, but no more than
	 * it needs.
	 */
	EXPECT_LE(dw_ledger_read_counters(ledger).batches, 120u);
	dw_ledger_free(ledger);
}

/* Guards against batches that a restored store lacks: those written before, and one whose answer comes after. */
TEST(Ledger, ARestoredStoreGetsTheBatchesOfBeforeAgain)
{
	dw_ledger_options options = dw_ledger_default_options({ 1, 1 });
	dw_ledger *ledger = nullptr;
	std::map<std::string, std::string> batches; /* by key */
	std::map<std::string, std::string> again;
	uint64_t now_us = 1000 * MS;
	dw_ledger_write write;
	uint64_t seq;

	auto append = [&](int i) {
		dw_usage_record record = record_of(i, now_us);

		ASSERT_EQ(dw_ledger_reserve(ledger), DW_OK);
		ASSERT_EQ(dw_ledger_append(ledger, &record, now_us, &seq), DW_OK);
		now_us += options.write_interval_us;
		ASSERT_TRUE(dw_ledger_next_write(ledger, now_us, &write));
		batches[write.key] = std::string((const char *)write.bytes, write.len);
	};

	ASSERT_EQ(dw_ledger_new(&ledger, &options), DW_OK);
	for (int i = 0; i < 3; i++) {
		append(i);
		dw_ledger_write_done(ledger, write.id, DW_OK, now_us);
	}
	append(3);
	dw_ledger_store_restored(ledger, now_us);
	dw_ledger_write_done(ledger, write.id, DW_OK, now_us);
	EXPECT_EQ(dw_ledger_due_again(ledger), 4u);
	while (dw_ledger_next_write(ledger, now_us, &write)) {
		again[write.key] = std::string((const char *)write.bytes, write.len);
		/* A failure is repeated; one that is there already counts as written. */
		dw_ledger_write_done(ledger, write.id, DW_UNKNOWN_OUTCOME, now_us);
		now_us += options.retry_interval_us;
		ASSERT_TRUE(dw_ledger_next_write(ledger, now_us, &write));
		dw_ledger_write_done(ledger, write.id, DW_CONFLICT, now_us);
	}
	EXPECT_EQ(again, batches);
	EXPECT_EQ(dw_ledger_due_again(ledger), 0u);
	now_us += options.keep_us;
	append(4);
	dw_ledger_write_done(ledger, write.id, DW_OK, now_us);
	dw_ledger_store_restored(ledger, now_us);
	EXPECT_EQ(dw_ledger_due_again(ledger), 1u) << "batches are kept for keep_us only";
	dw_ledger_free(ledger);
}

TEST(Ledger, AFullTailRefusesBeforeTheRequestRuns)
{
	dw_ledger_options options = dw_ledger_default_options({ 1, 1 });
	options.max_tail_records = 4;
	dw_ledger *ledger = nullptr;
	dw_ledger_write write;
	uint64_t seq;

	ASSERT_EQ(dw_ledger_new(&ledger, &options), DW_OK);
	for (int i = 0; i < 4; i++)
		ASSERT_EQ(dw_ledger_reserve(ledger), DW_OK);
	EXPECT_EQ(dw_ledger_reserve(ledger), DW_OVERLOADED);
	for (int i = 0; i < 4; i++) {
		dw_usage_record record = record_of(i, 1);
		ASSERT_EQ(dw_ledger_append(ledger, &record, 1, &seq), DW_OK);
	}
	EXPECT_EQ(dw_ledger_reserve(ledger), DW_OVERLOADED);
	ASSERT_TRUE(dw_ledger_next_write(ledger, dw_ledger_deadline_us(ledger), &write));
	EXPECT_STREQ(write.key, "usage/0000000000000001/0000000000000001/0000000001");
	dw_ledger_write_done(ledger, write.id, DW_OK, 2);
	EXPECT_EQ(dw_ledger_unwritten(ledger), 0u);
	EXPECT_EQ(dw_ledger_reserve(ledger), DW_OK);
	dw_ledger_free(ledger);
}

TEST(LedgerCodec, DecodesWhatItEncodedAndRejectsTruncatedMessages)
{
	auto message = std::make_unique<dw_ledger_message>();
	auto read = std::make_unique<dw_ledger_message>();
	msgpack_sbuffer buffer;

	message->kind = DW_LEDGER_COPY;
	message->owner = { 1, 2 };
	message->seq = 3;
	message->record_count = 2;
	message->records[0] = record_of(0, 5);
	message->records[1] = record_of(1, 6);
	msgpack_sbuffer_init(&buffer);
	ASSERT_EQ(dw_ledger_message_encode(message.get(), &buffer), DW_OK);
	const uint8_t *bytes = (const uint8_t *)buffer.data;
	ASSERT_EQ(dw_ledger_message_decode(bytes, buffer.size, read.get()), DW_OK);
	EXPECT_EQ(read->seq, 3u);
	EXPECT_EQ(memcmp(read->records, message->records, 2 * sizeof(dw_usage_record)), 0);
	for (size_t len = 0; len < buffer.size; len++)
		EXPECT_EQ(dw_ledger_message_decode(bytes, len, read.get()), DW_INVALID_ARGUMENT);
	msgpack_sbuffer_destroy(&buffer);
}

} // namespace
