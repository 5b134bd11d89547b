// A model of a fleet over a restore of the store: each instance has a real view, with the real rules and messages, in a
// simulated network, and reads and writes the store as store_sync, view_sync and era_guard do.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <dragonflywharf/freshness.h>
#include <dragonflywharf/rendezvous.h>
#include <dragonflywharf/restore_writes.h>

extern "C" {
#include "net/view_codec.h"
#include "wharf-gateway/view.h"
#include "wharf-gateway/view_answer.h"
}

namespace
{

constexpr uint64_t MS = 1000;
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t STORE_US = 4 * MS; /* from a call's start to its execution */
constexpr uint64_t ANSWER_US = 2 * MS;
constexpr uint64_t REQUEST_BYTES = 120; /* heads of a request and an answer */
constexpr size_t ENGINES = 200;
/* Times of the play, from the store's return. */
constexpr uint64_t AWAY_US = 1 * SECOND;
constexpr uint64_t OPERATOR_US = 2 * SECOND; /* writes again */
constexpr uint64_t MEASURED_US = 14 * SECOND;

std::string config(uint64_t version, const std::string &key)
{
	return R"({"Version":)" + std::to_string(version) +
	       R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/x/","Kind":"safe","TimeoutMs":5000,)"
	       R"("TargetLatencyMs":2000,"Priority":1,"TrafficSplit":[{"Service":"a","Weight":1}],)"
	       R"("MaxAttempts":3,"Public":false}],"Services":[{"Name":"a","HealthPath":"/health",)"
	       R"("MaxConnections":370,"ColdStartS":3.0,"ColdPerS":11.5}],)"
	       R"("Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,)"
	       R"("IdleTimeoutMs":400},"Tenants":[{"Name":"t","ApiKeys":[")" +
	       key + R"("],"Priority":2}]})";
}

std::string engine(size_t number, uint64_t born, uint64_t sequence,
		   const std::string &state = "ready")
{
	return R"({"Service":"a","Address":"10.1.)" + std::to_string(number / 250) + "." +
	       std::to_string(number % 250 + 1) +
	       R"(:8600","Zone":"a","Version":"v1","Slots":64,"State":")" + state +
	       R"(","Sequence":)" + std::to_string(sequence) + R"(,"ColdRemainingMs":0,"born":)" +
	       std::to_string(born) +
	       R"(,"Stage":"unified","Models":[{"Name":"small","Version":1}]})";
}

struct Store {
	struct item {
		uint64_t number;
		std::string value;
	};
	struct change {
		uint64_t number;
		std::string key;
		bool deleted;
		std::string value;
	};
	std::map<std::string, item> items;
	std::vector<change> history;
	uint64_t era = 1;
	uint64_t number = 10;
	uint64_t history_from = 10;
	bool is_up = true;

	uint64_t revision() const
	{
		return dw_revision_make(era, number);
	}
	void put(const std::string &key, const std::string &value)
	{
		items[key] = { ++number, value };
		history.push_back({ number, key, false, value });
	}
	void remove(const std::string &key)
	{
		items.erase(key);
		history.push_back({ ++number, key, true, "" });
	}
	uint64_t number_of(const std::string &key) const
	{
		auto found = items.find(key);
		return found == items.end() ? 0 : found->second.number;
	}
	void restore(const Store &copy)
	{
		items = copy.items;
		number = history_from = copy.number;
		history.clear();
		era++;
	}
};

/* Calls by second, and their highest number in one. */
struct Calls {
	uint64_t total = 0;
	std::map<uint64_t, uint64_t> by_100_ms;
	void add(uint64_t now_us)
	{
		total++;
		by_100_ms[now_us / (100 * MS)]++;
	}
	uint64_t most_in_a_second() const
	{
		uint64_t most = 0;
		for (const auto &[at, unused] : by_100_ms) {
			uint64_t sum = 0;
			for (auto it = by_100_ms.lower_bound(at);
			     it != by_100_ms.end() && it->first < at + 10; ++it)
				sum += it->second;
			most = std::max(most, sum);
		}
		return most;
	}
};

struct Node {
	gateway_settings settings{};
	FILE *sink = nullptr;
	dw_log log{};
	dw_counters counters{};
	view own{};
	dw_store_era client{}; /* as the store's client knows it */
	uint64_t run = 0;
	bool is_up = false;
	bool is_cut_from_store = false;
	/* store_sync */
	bool is_active = false;
	bool is_history_lost = false;
	bool is_calling = false;
	uint64_t next_call_us = 0;
	uint32_t failures = 0;
	uint32_t stale_in_a_row = 0;
	/* view_sync */
	uint64_t pull = 0;
	uint64_t requested_at_us = 0;
	uint32_t oldest_asked = 0;
	uint64_t started_us = 0;
	uint64_t ready_us = 0;
	bool is_copy_pending = false;
	/* records of the system */
	uint64_t written_era = 0;
	std::vector<uint64_t> due_us;
	uint64_t entered_us = 0;
	std::vector<std::function<bool(bool)>> held; /* requests of others */

	Node() = default;
	Node(const Node &) = delete;
	Node &operator=(const Node &) = delete;
	~Node()
	{
		close();
	}
	void open(const std::string &name, uint64_t now_us)
	{
		close();
		sink = fopen("/dev/null", "w");
		snprintf(settings.instance, sizeof(settings.instance), "%s", name.c_str());
		settings.change_applied_ms = settings.config_applied_ms = 4000;
		settings.evacuated_ms = settings.rolled_back_ms = 4000;
		settings.revocation_ms = 5000;
		dw_log_init(&log, sink, name.c_str(), DW_LEVEL_ERROR);
		view_init(&own, &settings, &log, &counters);
		view_restore_init(&own.restore, 0, now_us);
		dw_view_source_init(&own.source, 4 * SECOND, now_us);
		own.source.has_seeds = true;
		client = {};
		is_active = is_history_lost = is_calling = false;
		next_call_us = failures = stale_in_a_row = 0;
		pull = requested_at_us = written_era = entered_us = ready_us = 0;
		oldest_asked = 0;
		started_us = now_us;
		is_copy_pending = false;
		due_us.clear();
		held.clear();
	}
	void close()
	{
		if (!sink)
			return;
		view_close(&own);
		fclose(sink);
		sink = nullptr;
	}
	uint64_t revision() const
	{
		return dw_view_log_revision(own.records);
	}
	bool has(const std::string &key) const
	{
		const dw_view_record *record = dw_view_log_find(own.records, key.c_str());
		return record && !record->deleted;
	}
};

struct Fleet {
	struct event {
		uint64_t at_us;
		uint64_t number;
		std::function<void()> run;
		bool operator<(const event &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us : number > other.number;
		}
	};
	std::mt19937_64 random;
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<uint64_t> ids;
	uint32_t domains = 6;
	bool is_naive; /* every instance reads and writes at once */
	size_t own_records;
	Store store;
	uint64_t now_us = 1000 * SECOND;
	uint64_t number = 0;
	std::priority_queue<event> events;
	Calls reads;
	Calls writes;
	uint64_t messages = 0;
	uint64_t bytes = 0;
	uint64_t loss_permille = 0;
	bool has_copy = false; /* an instance that starts reads a copy that proves nothing */
	bool asks_oldest = false; /* and asks the oldest ones */

	Fleet(size_t count, size_t record_count, uint64_t seed, bool naive)
	    : random(seed), is_naive(naive), own_records(record_count)
	{
		store.put("op/config", config(7, "k1"));
		store.put("op/evacuate/old", "{}");
		for (size_t i = 0; i < ENGINES; i++)
			store.put("servers/e" + std::to_string(i), engine(i, 5, 9));
		store.put("wharf/era", R"({"era":1,"config":7})");
		for (size_t i = 0; i < count; i++) {
			std::string name = "instance-" + std::to_string(i);
			ids.push_back(dw_rendezvous_key(name.data(), name.size()));
			nodes.push_back(std::make_unique<Node>());
		}
		for (size_t i = 0; i < count; i++)
			start(i, random() % (300 * MS));
	}
	void at(uint64_t at_us, std::function<void()> run)
	{
		events.push({ at_us, ++number, std::move(run) });
	}
	/* Runs @p action of the same process as now, unless it has ended. */
	void later(size_t i, uint64_t delay_us, std::function<void(Node &)> action)
	{
		uint64_t run = nodes[i]->run;
		at(now_us + delay_us, [this, i, run, action = std::move(action)] {
			if (nodes[i]->run == run && nodes[i]->is_up)
				action(*nodes[i]);
		});
	}
	void start(size_t i, uint64_t after_us)
	{
		uint64_t run = ++nodes[i]->run;
		nodes[i]->is_up = false;
		at(now_us + after_us, [this, i, run] {
			if (nodes[i]->run != run)
				return;
			Node &n = *nodes[i];
			n.open("instance-" + std::to_string(i), now_us);
			n.is_up = true;
			std::vector<dw_view_member> members;
			dw_view_place place;
			for (size_t k = 0; k < nodes.size(); k++)
				members.push_back({ ids[k], k % domains + 1 });
			dw_view_place_find(members.data(), (uint32_t)members.size(), ids[i],
					   &place);
			dw_view_source_place(&n.own.source, &place);
			if (has_copy)
				read_copy(i);
			tick(i);
		});
	}
	/* What an instance that starts reads at once; it proves nothing. */
	void read_copy(size_t i)
	{
		nodes[i]->is_copy_pending = true;
		later(i, STORE_US + ANSWER_US, [this](Node &n) {
			n.is_copy_pending = false;
			if (n.revision() == 0)
				apply_entries(n, store);
		});
	}
	/* As view_sync and peers choose it; 0: its source. */
	uint64_t oldest_of(size_t i)
	{
		std::vector<size_t> others;
		if (!asks_oldest || !view_asks_oldest(&nodes[i]->own, now_us))
			return 0;
		for (size_t k = 0; k < nodes.size(); k++) {
			if (k != i && nodes[k]->is_up)
				others.push_back(k);
		}
		if (others.empty())
			return 0;
		std::sort(others.begin(), others.end(), [this](size_t a, size_t b) {
			return nodes[a]->started_us < nodes[b]->started_us;
		});
		return ids[others[nodes[i]->oldest_asked++ % others.size()]];
	}
	void tick(size_t i)
	{
		Node &n = *nodes[i];
		bool reads_store = dw_view_source_reads_store(&n.own.source, now_us);
		if (reads_store && !n.is_active)
			n.failures = 0;
		n.is_active = reads_store;
		if (n.is_active && !n.is_calling && now_us >= n.next_call_us)
			call_store(i);
		ask(i);
		write_guard(i);
		write_records(i);
		later(i, 50 * MS, [this, i](Node &) { tick(i); });
	}
	void retry(size_t i, dw_status reason)
	{
		Node &n = *nodes[i];
		/* The first 410 after an answer that was up to date says nothing against reading at once. */
		if (reason == DW_STALE && n.stale_in_a_row++ == 0)
			n.failures = 0;
		uint64_t pause_us = std::min<uint64_t>(
			(60 * MS) << std::min<uint32_t>(n.failures, 4), 800 * MS);
		if (!dw_view_source_is_reader(&n.own.source))
			pause_us = n.own.source.timing.retry_us;
		n.failures++;
		n.is_calling = false;
		n.next_call_us = now_us + pause_us / 2 + random() % (pause_us / 2 + 1);
		view_store_lost(&n.own, reason, 0, now_us);
		/* A pause is shorter than the rounds of the model. */
		later(i, n.next_call_us - now_us, [this, i](Node &m) {
			if (m.is_active && !m.is_calling && now_us >= m.next_call_us)
				call_store(i);
		});
	}
	void call_store(size_t i)
	{
		if (nodes[i]->is_history_lost || nodes[i]->revision() == 0)
			read_all(i);
		else
			poll(i, 1 * MS);
	}
	void read_all(size_t i)
	{
		Node &n = *nodes[i];
		uint64_t sent_us = now_us;
		uint64_t era_when_sent = n.client.newest;
		uint64_t known_before = n.revision();
		n.is_calling = true;
		reads.add(now_us);
		if (n.is_cut_from_store) {
			later(i, 700 * MS, [this, i](Node &) { retry(i, DW_TIMEOUT); });
			return;
		}
		later(i, STORE_US, [=, this](Node &) {
			bool is_up = store.is_up;
			Store state;
			if (is_up) {
				state.items = store.items;
				state.era = store.era;
				state.number = store.number;
			}
			later(i, ANSWER_US, [=, this](Node &m) {
				if (!is_up) {
					retry(i, DW_UNAVAILABLE);
					return;
				}
				if (!dw_store_era_answered(&m.client, DW_ERA_GIVEN, state.era,
							   era_when_sent)) {
					retry(i, DW_UNAVAILABLE);
					return;
				}
				apply_all(m, state, sent_us, known_before);
				m.is_history_lost = false;
				m.is_calling = false;
				if (m.is_active)
					poll(i, 1 * MS);
			});
		});
	}
	void apply_entries(Node &n, const Store &state) const
	{
		std::vector<dw_store_entry> entries;
		for (const auto &[key, item] : state.items) {
			dw_store_entry entry{};
			entry.key = key.c_str();
			entry.value = (const uint8_t *)item.value.c_str();
			entry.value_len = item.value.size();
			entry.mod_revision = entry.create_revision =
				dw_revision_make(state.era, item.number);
			entries.push_back(entry);
		}
		view_apply_all(&n.own, entries.data(), entries.size(), state.revision(), now_us);
	}
	void apply_all(Node &n, const Store &state, uint64_t sent_us, uint64_t known_before)
	{
		view_store_answered(&n.own, now_us);
		if (view_accepts_reading(&n.own, state.revision(), known_before, now_us)) {
			apply_entries(n, state);
			view_store_current(&n.own, state.revision(), sent_us, now_us);
			applied(n);
		}
	}
	void poll(size_t i, uint64_t wait_us)
	{
		Node &n = *nodes[i];
		uint64_t sent_us = now_us;
		uint64_t after = n.revision();
		uint64_t era_when_sent = n.client.newest;
		n.is_calling = true;
		reads.add(now_us);
		if (n.is_cut_from_store) {
			later(i, wait_us + 700 * MS, [this, i](Node &) { retry(i, DW_TIMEOUT); });
			return;
		}
		hold_poll(i, after, sent_us, era_when_sent, wait_us, now_us + STORE_US + wait_us);
	}
	void hold_poll(size_t i, uint64_t after, uint64_t sent_us, uint64_t era_when_sent,
		       uint64_t wait_us, uint64_t end_us)
	{
		later(i, STORE_US, [=, this](Node &) {
			uint64_t from = dw_revision_number(after);
			std::vector<Store::change> changes;
			bool is_gone = from > store.number || from < store.history_from;
			/* The store cuts polls that wait while it goes away. */
			if (!store.is_up) {
				later(i, ANSWER_US,
				      [=, this](Node &) { retry(i, DW_UNAVAILABLE); });
				return;
			}
			for (const auto &change : store.history) {
				if (change.number > from)
					changes.push_back(change);
			}
			if (!is_gone && changes.empty() && now_us < end_us) {
				hold_poll(i, after, sent_us, era_when_sent, wait_us, end_us);
				return;
			}
			uint64_t era = store.era;
			uint64_t revision = store.revision();
			uint64_t proof_us =
				changes.empty() && now_us >= end_us ? sent_us + wait_us : sent_us;
			later(i, ANSWER_US, [=, this](Node &m) {
				bool is_newest = dw_store_era_answered(&m.client, DW_ERA_GIVEN, era,
								       era_when_sent);
				bool is_stale = is_gone || era != dw_revision_era(after) ||
						revision < after;
				if (!is_newest || is_stale) {
					m.is_history_lost |= is_newest;
					retry(i, is_newest ? DW_STALE : DW_UNAVAILABLE);
					return;
				}
				apply_changes(i, changes, era, revision, proof_us, sent_us);
			});
		});
	}
	void apply_changes(size_t i, const std::vector<Store::change> &changes, uint64_t era,
			   uint64_t revision, uint64_t proof_us, uint64_t sent_us)
	{
		Node &n = *nodes[i];
		for (const auto &change : changes) {
			dw_store_event event{};
			event.deleted = change.deleted;
			event.entry.key = change.key.c_str();
			event.entry.mod_revision = dw_revision_make(era, change.number);
			if (!change.deleted) {
				event.entry.value = (const uint8_t *)change.value.c_str();
				event.entry.value_len = change.value.size();
			}
			view_apply(&n.own, &event, now_us);
		}
		n.failures = n.stale_in_a_row = 0;
		n.is_calling = false;
		view_store_answered(&n.own, now_us);
		view_store_current(&n.own, revision, proof_us, now_us);
		applied(n);
		if (view_restore_is_settling_due(&n.own.restore, now_us)) {
			n.is_history_lost = true;
			n.next_call_us = now_us;
			return;
		}
		uint64_t interval_us = n.own.source.timing.poll_interval_us;
		n.next_call_us = std::max(now_us, sent_us + interval_us);
		later(i, n.next_call_us - now_us, [this, i](Node &m) {
			if (!m.is_active || m.is_calling || m.is_history_lost ||
			    now_us < m.next_call_us)
				return;
			uint64_t confirmed_us = dw_view_source_confirmed_at_us(&m.own.source);
			poll(i, std::max<uint64_t>(50 * MS,
						   dw_freshness_next_wait_us(
							   confirmed_us, now_us,
							   m.own.source.timing.poll_wait_us)));
		});
	}
	/* The copy is current: those that wait get their answers. */
	void applied(Node &n)
	{
		if (n.ready_us == 0 && view_catalog(&n.own))
			n.ready_us = now_us;
		if (n.entered_us == 0 && dw_revision_era(n.revision()) == store.era)
			n.entered_us = now_us;
		answer_held(n);
	}
	void answer_held(Node &n)
	{
		auto held = std::move(n.held);
		n.held.clear();
		for (auto &answer : held) {
			if (!answer(true))
				n.held.push_back(answer);
		}
	}
	uint64_t latency_us(size_t a, size_t b)
	{
		uint64_t base = a % domains == b % domains ? 200 : 3400;
		uint64_t latency = base + random() % base + random() % (2 * MS);
		return random() % 1000 < loss_permille ? latency + 200 * MS : latency;
	}
	void ask(size_t i)
	{
		Node &n = *nodes[i];
		if (n.pull > 0 || now_us < n.requested_at_us + 10 * MS ||
		    (n.is_copy_pending && now_us < n.started_us + SECOND) ||
		    dw_view_source_waits_for_store(&n.own.source, now_us))
			return;
		n.own.source.wants_memory = view_asks_memory(&n.own, now_us);
		uint64_t id = oldest_of(i);
		if (id > 0)
			n.own.source.asked = id;
		else
			id = dw_view_source_next(&n.own.source, now_us);
		if (id == 0)
			return;
		size_t from = (size_t)(std::find(ids.begin(), ids.end(), id) - ids.begin());
		enum view_ask asked = ::view_ask(&n.own, now_us);
		bool wants_all =
			asked == VIEW_ASK_ALL || dw_view_source_wants_all(&n.own.source, now_us);
		uint64_t after = wants_all ? 0 : n.revision();
		uint64_t sent_us = now_us;
		uint64_t pull = ++number;
		n.pull = pull;
		n.requested_at_us = now_us;
		messages++;
		bytes += REQUEST_BYTES;
		later(i, n.own.source.timing.pull_timeout_us, [=, this](Node &m) {
			if (m.pull != pull)
				return;
			m.pull = 0;
			dw_view_source_failed(&m.own.source, now_us);
			ask(i);
		});
		later(from, latency_us(i, from),
		      [=, this](Node &) { receive(i, from, pull, after, asked, sent_us); });
	}
	void receive(size_t i, size_t from, uint64_t pull, uint64_t after, enum view_ask asked,
		     uint64_t sent_us)
	{
		uint64_t arrived_us = now_us;
		uint64_t known = nodes[from]->own.confirmed_at_us;
		auto answer = [=, this](bool) {
			Node &n = *nodes[from];
			bool has_news = n.revision() > after ||
					(asked != VIEW_ASK_CHANGES && n.own.confirmed_at_us > 0) ||
					n.own.confirmed_at_us > known ||
					now_us >= arrived_us + n.own.source.timing.hold_us;
			bool asks_store = view_answer_is_in_store(&n.own, after);
			if (!has_news && !asks_store)
				return false;
			send(i, from, pull, asks_store ? "" : packed(n, after, asked, arrived_us),
			     sent_us);
			return true;
		};
		if (answer(false))
			return;
		nodes[from]->held.push_back(answer);
		later(from, nodes[from]->own.source.timing.hold_us,
		      [this](Node &m) { answer_held(m); });
	}
	std::string packed(const Node &n, uint64_t after, enum view_ask asked,
			   uint64_t arrived_us) const
	{
		const dw_view_log *records = n.own.records;
		view_answer answer = view_answer_make(&n.own, after, asked, arrived_us, now_us);
		msgpack_sbuffer buffer;
		msgpack_packer packer;
		msgpack_sbuffer_init(&buffer);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		view_answer_pack(&packer, &answer, records, after);
		std::string text(buffer.data, buffer.size);
		msgpack_sbuffer_destroy(&buffer);
		return text;
	}
	void send(size_t i, size_t from, uint64_t pull, const std::string &text, uint64_t sent_us)
	{
		messages++;
		bytes += REQUEST_BYTES + text.size();
		later(i, latency_us(i, from), [=, this](Node &m) {
			if (m.pull != pull)
				return;
			m.pull = 0;
			if (text.empty())
				dw_view_source_behind(&m.own.source, now_us);
			else
				take(i, text, sent_us);
			later(i, 10 * MS, [this, i](Node &) { ask(i); });
		});
	}
	void take(size_t i, const std::string &text, uint64_t sent_us)
	{
		Node &n = *nodes[i];
		view_answer answer;
		ASSERT_EQ(view_answer_unpack((const uint8_t *)text.data(), text.size(), &answer),
			  DW_OK);
		uint64_t proof_us = answer.has_proof
					    ? dw_view_relayed_proof_us(sent_us, answer.held_us,
								       answer.age_us, now_us)
					    : 0;
		bool is_new_era = n.revision() > 0 &&
				  dw_revision_era(answer.revision) > dw_revision_era(n.revision());
		if (proof_us == 0) {
			dw_view_source_failed(&n.own.source, now_us);
		} else if (is_naive && is_new_era) {
			if (!n.is_calling) {
				n.is_history_lost = true;
				read_all(i);
			}
		} else if (!view_apply_answer(&n.own, &answer, "other", now_us)) {
			dw_view_source_behind(&n.own.source, now_us);
		} else {
			view_peer_current(&n.own, proof_us, now_us);
			applied(n);
		}
		view_answer_free(&answer);
	}
	/* Executes a conditional write; the era is that it was prepared in. */
	void write(size_t i, const std::string &key, const std::string &value, uint64_t expected,
		   uint64_t guard, std::function<void(Node &, bool, uint64_t)> done)
	{
		uint64_t run = nodes[i]->run;
		if (nodes[i]->is_cut_from_store)
			return;
		writes.add(now_us);
		at(now_us + STORE_US, [=, this] {
			bool is_done = store.is_up &&
				       store.number_of(key) == dw_revision_number(expected) &&
				       (guard == 0 ||
					store.number_of("wharf/era") == dw_revision_number(guard));
			if (is_done)
				store.put(key, value);
			uint64_t revision = store.revision();
			at(now_us + ANSWER_US, [=, this] {
				if (nodes[i]->run == run && nodes[i]->is_up)
					done(*nodes[i], is_done, revision);
			});
		});
	}
	void write_guard(size_t i)
	{
		era_guard &guard = nodes[i]->own.era_guard;
		if (guard.era == 0 || guard.write_due_us == 0 || guard.in_flight ||
		    now_us < (is_naive ? 1 : guard.write_due_us))
			return;
		if (era_guard_allows_writes(&guard)) {
			guard.write_due_us = 0;
			return;
		}
		guard.write_due_us = now_us + 500 * MS + random() % (500 * MS);
		guard.in_flight = true;
		uint64_t version = std::max(guard.record_config, guard.config_version);
		std::string value = "{\"era\":" + std::to_string(guard.era) +
				    ",\"config\":" + std::to_string(version) + "}";
		write(i, "wharf/era", value, guard.revision, 0,
		      [version](Node &n, bool is_done, uint64_t revision) {
			      era_guard &own = n.own.era_guard;
			      own.in_flight = false;
			      if (!is_done || revision <= own.revision)
				      return;
			      own.revision = revision;
			      own.record_era = dw_revision_era(revision);
			      own.record_config = version;
		      });
	}
	std::string own_key(size_t record) const
	{
		return "wharf/model/" + std::to_string(record);
	}
	/* All held the records before the restore. */
	void write_records(size_t i)
	{
		Node &n = *nodes[i];
		uint64_t era = dw_revision_era(n.revision());
		if (era < 2)
			return;
		if (n.written_era != era) {
			n.written_era = era;
			n.due_us.assign(own_records, 0);
			for (auto &due_us : n.due_us)
				due_us = now_us + 1 +
					 (is_naive ? 0
						   : dw_restore_write_delay_us(&n.own.source.place,
									       random()));
		}
		for (size_t r = 0; r < own_records; r++) {
			if (n.due_us[r] == 0 || now_us < n.due_us[r])
				continue;
			if (n.has(own_key(r))) {
				n.due_us[r] = 0;
				continue;
			}
			if (!era_guard_allows_writes(&n.own.era_guard))
				continue;
			n.due_us[r] = now_us + 500 * MS + random() % (500 * MS);
			write(i, own_key(r), "held", 0, n.own.era_guard.revision,
			      [](Node &, bool, uint64_t) {});
		}
	}
	void run(uint64_t for_us)
	{
		uint64_t end_us = now_us + for_us;
		while (!events.empty() && events.top().at_us <= end_us) {
			event next = events.top();
			events.pop();
			now_us = next.at_us;
			next.run();
		}
		now_us = end_us;
	}
	std::vector<size_t> readers() const
	{
		std::vector<size_t> found;
		for (size_t i = 0; i < nodes.size(); i++) {
			if (dw_view_source_is_reader(&nodes[i]->own.source))
				found.push_back(i);
		}
		return found;
	}
};

struct Figures {
	uint64_t all_entered_us = 0;
	uint64_t reads = 0;
	uint64_t reads_a_second = 0;
	uint64_t writes = 0;
	uint64_t writes_a_second = 0;
	uint64_t messages = 0;
	uint64_t bytes = 0;
};

struct Play {
	size_t size;
	size_t records = 10;
	uint64_t seed = 1;
	bool is_naive = false;
	bool is_restored = true; /* else the store comes back as it was */
	uint32_t restarted_percent = 0; /* instances that start while the store is back */
	bool is_reader_cut = false; /* from the store, all the time */
	uint64_t loss_permille = 0;
};

void expect_kept(const Fleet &fleet, const Play &play)
{
	for (size_t i = 0; i < fleet.nodes.size(); i++) {
		const Node &n = *fleet.nodes[i];
		if (!n.is_up || !view_catalog(const_cast<view *>(&n.own)))
			continue;
		EXPECT_EQ(dw_catalog_version(n.own.catalog), 8U)
			<< "instance " << i << " serves an older configuration, seed " << play.seed;
	}
}

void expect_truth(const Fleet &fleet, const Play &play)
{
	for (size_t i = 0; i < fleet.nodes.size(); i++) {
		const Node &n = *fleet.nodes[i];
		std::map<std::string, std::string> contents;
		const dw_view_record *record = nullptr;
		while ((record = dw_view_log_next(n.own.records, record))) {
			if (!record->deleted)
				contents[record->key] =
					std::string((const char *)record->value, record->value_len);
			EXPECT_EQ(record->kept_over, 0U) << record->key << " at " << i;
		}
		for (const auto &[key, item] : fleet.store.items) {
			EXPECT_EQ(contents[key], item.value)
				<< key << " at instance " << i << ", seed " << play.seed;
			contents.erase(key);
		}
		EXPECT_TRUE(contents.empty()) << contents.begin()->first << " at instance " << i
					      << ", seed " << play.seed;
		EXPECT_NE(view_catalog(const_cast<view *>(&n.own)), nullptr) << "instance " << i;
		EXPECT_TRUE(dw_domain_list_contains(&n.own.evacuated, "again"));
		EXPECT_FALSE(dw_domain_list_contains(&n.own.evacuated, "lost"));
	}
}

Figures run(const Play &play)
{
	Fleet fleet(play.size, play.records, play.seed, play.is_naive);
	Figures figures;
	fleet.loss_permille = play.loss_permille;
	fleet.run(10 * SECOND);
	if (play.is_reader_cut)
		fleet.nodes[fleet.readers()[0]]->is_cut_from_store = true;
	Store copy = fleet.store;
	/* What the restore undoes. */
	fleet.store.put("op/config", config(8, "k2"));
	fleet.store.put("op/evacuate/lost", "{}");
	fleet.store.put("op/evacuate/again", "{}");
	fleet.store.remove("op/evacuate/old");
	for (size_t i = 0; i < 10; i++) {
		fleet.store.put("servers/e" + std::to_string(i), engine(i, 5, 10, "draining"));
		fleet.store.remove("servers/e" + std::to_string(100 + i));
		fleet.store.put("servers/new" + std::to_string(i), engine(300 + i, 6, 1));
	}
	for (size_t r = 0; r < play.records; r++)
		fleet.store.put(fleet.own_key(r), "held");
	fleet.run(4 * SECOND);
	fleet.reads = fleet.writes = {};
	fleet.messages = fleet.bytes = 0;
	fleet.store.is_up = false;
	fleet.run(AWAY_US);
	if (play.is_restored)
		fleet.store.restore(copy);
	fleet.store.is_up = true;
	for (auto &n : fleet.nodes)
		n->entered_us = 0;
	for (size_t i = 0; i < play.size * play.restarted_percent / 100; i++)
		fleet.start(fleet.random() % play.size, fleet.random() % SECOND);
	uint64_t back_us = fleet.now_us;
	fleet.run(OPERATOR_US);
	if (play.is_restored)
		expect_kept(fleet, play);
	/* The operator and the engines write again. */
	fleet.store.put("op/config", config(8, "k2"));
	fleet.store.put("op/evacuate/again", "{}");
	fleet.store.remove("op/evacuate/old");
	for (size_t i = 0; i < 10; i++) {
		fleet.store.put("servers/e" + std::to_string(i), engine(i, 5, 11, "draining"));
		fleet.store.remove("servers/e" + std::to_string(100 + i));
		fleet.store.put("servers/new" + std::to_string(i), engine(300 + i, 6, 2));
	}
	fleet.run(MEASURED_US - OPERATOR_US);
	for (const auto &n : fleet.nodes) {
		EXPECT_GT(n->entered_us, 0U) << "seed " << play.seed;
		figures.all_entered_us = std::max(figures.all_entered_us, n->entered_us - back_us);
	}
	if (play.is_restored)
		expect_truth(fleet, play);
	figures.reads = fleet.reads.total;
	figures.reads_a_second = fleet.reads.most_in_a_second();
	figures.writes = fleet.writes.total;
	figures.writes_a_second = fleet.writes.most_in_a_second();
	figures.messages = fleet.messages;
	figures.bytes = fleet.bytes;
	return figures;
}

void print(const Play &play, const Figures &figures)
{
	printf("%4zu instances, %2zu records, seed %llu, %s%s%s: all after %llu ms, reads %llu "
	       "(most in 1 s %llu), "
	       "writes %llu (%llu), messages %llu, %llu KB\n",
	       play.size, play.records, (unsigned long long)play.seed,
	       play.is_restored ? "restored" : "not restored", play.is_naive ? ", naive" : "",
	       play.is_reader_cut ? ", reader cut" : "",
	       (unsigned long long)figures.all_entered_us / MS, (unsigned long long)figures.reads,
	       (unsigned long long)figures.reads_a_second, (unsigned long long)figures.writes,
	       (unsigned long long)figures.writes_a_second, (unsigned long long)figures.messages,
	       (unsigned long long)figures.bytes / 1024);
}

struct RestoreSpread : testing::TestWithParam<size_t> {
	uint64_t reads_per_s = GetParam() <= 10 ? 2000 : 6000;
	uint64_t writes_per_s = GetParam() <= 10 ? 400 : 1200;

	Figures run_and_check(const Play &play) const
	{
		Figures figures = run(play);
		print(play, figures);
		EXPECT_LE(figures.all_entered_us, 3 * SECOND) << "seed " << play.seed;
		EXPECT_LE(figures.reads_a_second, reads_per_s) << "seed " << play.seed;
		EXPECT_LE(figures.writes_a_second, writes_per_s) << "seed " << play.seed;
		return figures;
	}
};

/* Guards against a fleet that is late in the new era, keeps what is gone, or loses what is in force. */
TEST_P(RestoreSpread, AllAreInTheNewEraInTime)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		Play play{ GetParam(), 10, seed };
		Figures restored = run_and_check(play);
		play.is_restored = false;
		Figures calm = run(play);
		print(play, calm);
		EXPECT_LE(restored.reads, 2 * calm.reads) << "seed " << seed;
	}
}

/* Guards against the same with instances that start in the gap, a reader without the store, and lost packets. */
TEST_P(RestoreSpread, ADisturbedFleetToo)
{
	for (uint64_t seed = 11; seed <= 13; seed++) {
		Play play{ GetParam(), 10, seed };
		play.restarted_percent = 10;
		play.is_reader_cut = seed % 2 == 0;
		play.loss_permille = 10;
		run_and_check(play);
	}
}

/* Guards against a burst of the whole fleet that writes again what all hold. */
TEST_P(RestoreSpread, WhatAllHoldIsWrittenByFew)
{
	for (size_t records : { 1, 10, 40 }) {
		Play play{ GetParam(), records, 21 };
		Figures figures = run_and_check(play);
		EXPECT_LE(figures.writes, 3 * (records + 1)) << "conflicts included";
	}
}

/* For comparison: what a fleet does in which every instance reads and writes at once. */
TEST_P(RestoreSpread, EveryInstanceForItselfAsComparison)
{
	for (size_t records : { 1, 10, 40 }) {
		Play play{ GetParam(), records, 21, true };
		Figures figures = run(play);
		print(play, figures);
		EXPECT_GE(figures.writes, GetParam()) << "it is played";
	}
}

/* Guards against a fleet that serves later when all start at once: instances that have a copy without a proof wait for
 * others that have none either. */
TEST_P(RestoreSpread, WhoAsksTheOldestIsReadyAsSoon)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		uint64_t last_ms[2];
		uint64_t mean_ms[2];
		for (bool asks_oldest : { false, true }) {
			Fleet fleet(GetParam(), 0, seed, false);
			uint64_t sum_us = 0;
			uint64_t last_us = 0;
			fleet.has_copy = true;
			fleet.asks_oldest = asks_oldest;
			fleet.store.items["wharf/era"] = { 5, R"({"era":1,"config":7})" };
			fleet.run(10 * SECOND);
			for (const auto &n : fleet.nodes) {
				ASSERT_GT(n->ready_us, 0U) << "seed " << seed;
				sum_us += n->ready_us - n->started_us;
				last_us = std::max(last_us, n->ready_us - n->started_us);
			}
			last_ms[asks_oldest] = last_us / MS;
			mean_ms[asks_oldest] = sum_us / GetParam() / MS;
			printf("%4zu instances, seed %llu, %s: ready after %llu ms, on average "
			       "%llu ms, reads %llu, messages %llu, %llu KB\n",
			       GetParam(), (unsigned long long)seed,
			       asks_oldest ? "the oldest" : "sources only",
			       (unsigned long long)last_ms[asks_oldest],
			       (unsigned long long)mean_ms[asks_oldest],
			       (unsigned long long)fleet.reads.total,
			       (unsigned long long)fleet.messages,
			       (unsigned long long)fleet.bytes / 1024);
		}
		EXPECT_LE(last_ms[true], last_ms[false] + 100) << "seed " << seed;
		EXPECT_LE(mean_ms[true], mean_ms[false] + 100) << "seed " << seed;
	}
}

INSTANTIATE_TEST_SUITE_P(Sizes, RestoreSpread, testing::Values(10, 100, 300));

} // namespace
