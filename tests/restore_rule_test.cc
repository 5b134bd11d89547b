// Which of two states is in force after a restore, over kinds and states.
#include <gtest/gtest.h>

#include <dragonflywharf/restore_rule.h>

namespace
{

/* States: a number above 90 was written after the copy, which the store shows as it was at 90. */
dw_restored_state unknown()
{
	return {};
}
dw_restored_state none(uint64_t number = 0)
{
	return { false, true, false, number, 0, 0, false };
}
dw_restored_state config(uint64_t number, uint64_t version)
{
	return { true, true, true, number, 0, version, false };
}
dw_restored_state garbage(uint64_t number)
{
	return { true, true, false, number, 0, 0, false };
}
dw_restored_state engine(uint64_t number, uint64_t lifetime, uint64_t sequence, bool leaves = false)
{
	return { true, true, true, number, lifetime, sequence, leaves };
}
dw_restored_state removed(uint64_t number, uint64_t lifetime, uint64_t sequence,
			  bool leaves = false)
{
	return { false, true, true, number, lifetime, sequence, leaves };
}
dw_restored_state order(uint64_t number)
{
	return { true, true, false, number, 0, 0, false };
}

struct row {
	const char *failure; /* what goes wrong otherwise */
	dw_restored_kind kind;
	dw_restored_state known;
	dw_restored_state shown;
	bool keeps; /* before lost states are written again */
	bool keeps_settled; /* after it */
};

const dw_restored_kind CONFIG = DW_RESTORED_CONFIG;
const dw_restored_kind ENGINE = DW_RESTORED_ENGINE;
const dw_restored_kind ORDER = DW_RESTORED_ORDER;
const dw_restored_kind OWN = DW_RESTORED_OWN;

const row rows[] = {
	{ "a key that was taken away is back", CONFIG, config(95, 8), config(80, 7), true, true },
	{ "the same configuration is taken for a newer one", CONFIG, config(80, 7), config(80, 7),
	  false, false },
	{ "a newer configuration is held back", CONFIG, config(95, 8), config(92, 9), false,
	  false },
	{ "a configuration written again isn't taken over", CONFIG, config(95, 8), config(93, 8),
	  false, false },
	{ "the configuration in force is gone", CONFIG, config(95, 8), none(), true, true },
	{ "the configuration in force is gone after 6 s", CONFIG, config(95, 8), none(90), true,
	  true },
	{ "a configuration is held back by a deletion", CONFIG, none(95), config(80, 7), false,
	  false },
	{ "unreadable bytes that the copy still has replace the configuration in force", CONFIG,
	  config(95, 8), garbage(80), true, false },
	{ "unreadable bytes written after the restore don't count as a newer configuration", CONFIG,
	  config(95, 8), garbage(97), false, false },
	{ "a configuration that replaced unreadable bytes is replaced by an older one", CONFIG,
	  garbage(95), config(80, 7), true, false },
	{ "unreadable bytes are kept over a later configuration", CONFIG, garbage(95),
	  config(97, 9), false, false },

	{ "an engine that leaves gets requests again", ENGINE, engine(95, 5, 12, true),
	  engine(80, 5, 9), true, true },
	{ "the same, where its report had no new number", ENGINE, engine(95, 5, 9, true),
	  engine(80, 5, 9), true, true },
	{ "an engine that leaves by both is held as if it differed", ENGINE, engine(80, 5, 9, true),
	  engine(80, 5, 9, true), false, false },
	{ "the leaving of an engine isn't taken over", ENGINE, engine(95, 5, 9),
	  engine(80, 5, 9, true), false, false },
	{ "a later report is held back", ENGINE, engine(95, 5, 9, true), engine(93, 5, 13), false,
	  false },
	{ "an earlier lifetime is back", ENGINE, engine(95, 6, 1), engine(80, 5, 40), true, true },
	{ "a later lifetime is held back since its numbers start anew", ENGINE,
	  engine(95, 5, 40, true), engine(93, 6, 1), false, false },
	{ "an engine that was removed is back", ENGINE, removed(95, 5, 9, true),
	  engine(80, 5, 9, true), true, true },
	{ "an engine that was removed without leaving is back", ENGINE, removed(95, 5, 9),
	  engine(80, 5, 9), true, true },
	{ "an engine that has reported since its removal stays out", ENGINE, removed(95, 5, 9),
	  engine(93, 5, 10), false, false },
	{ "an engine that has started since its removal stays out", ENGINE, removed(95, 5, 9),
	  engine(93, 6, 1), false, false },
	{ "an engine that isn't written again is used for ever", ENGINE, engine(95, 5, 9), none(),
	  false, false },
	{ "an unreadable entry names an engine to use", ENGINE, engine(95, 5, 9), garbage(80),
	  false, false },
	{ "an engine whose entry was unreadable gets requests again", ENGINE, garbage(95),
	  engine(80, 5, 9), true, false },
	{ "an unreadable entry outlives a later one", ENGINE, garbage(95), engine(97, 5, 9), false,
	  false },
	{ "a removal whose last entry isn't known is undone", ENGINE, none(95), engine(80, 5, 9),
	  true, false },

	{ "an evacuation ends with the restore", ORDER, order(95), none(), true, false },
	{ "an evacuation that has ended is back", ORDER, none(95), order(80), true, false },
	{ "a rollout that was replaced is back", ORDER, order(95), order(80), true, false },
	{ "an order with the same revision is kept beside itself", ORDER, order(80), order(80),
	  false, false },
	{ "an order written after the restore is held back", ORDER, order(95), order(97), false,
	  false },
	{ "an order that isn't there on both sides is kept", ORDER, none(95), none(), false,
	  false },

	{ "a record of the system is kept that conditional writes don't find", OWN, order(95),
	  none(), false, false },
	{ "the same over an older one", OWN, order(95), order(80), false, false },
};

/* Guards against the failure that each row names. */
TEST(RestoreRule, KindsAndStates)
{
	for (const row &row : rows) {
		/* Orders that are shown count from then on. */
		bool keeps_next = row.keeps && (row.kind != ORDER || !row.shown.exists);
		EXPECT_EQ(dw_restore_keeps(row.kind, &row.known, &row.shown, DW_RESTORE_FRESH),
			  row.keeps)
			<< row.failure;
		EXPECT_EQ(dw_restore_keeps(row.kind, &row.known, &row.shown,
					   DW_RESTORE_ORDERS_SETTLED),
			  keeps_next)
			<< "orders settled: " << row.failure;
		EXPECT_EQ(dw_restore_keeps(row.kind, &row.known, &row.shown, DW_RESTORE_SETTLED),
			  row.keeps_settled)
			<< "settled: " << row.failure;
		/* A living engine whose removal is lost writes no new entry. */
		bool is_removal = row.kind == ENGINE && !row.known.exists;
		EXPECT_EQ(
			dw_restore_keeps(row.kind, &row.known, &row.shown, DW_RESTORE_LEASES_ENDED),
			row.keeps_settled && !is_removal)
			<< "leases ended: " << row.failure;
	}
}

/* Guards against an instance that has started in the gap and keeps what it doesn't know. */
TEST(RestoreRule, WhatIsntKnownIsntKept)
{
	for (int kind = 0; kind < DW_RESTORED_KIND_COUNT; kind++) {
		dw_restored_state known = unknown();
		for (dw_restored_state shown : { unknown(), order(80), engine(80, 5, 9) }) {
			EXPECT_FALSE(dw_restore_keeps((dw_restored_kind)kind, &known, &shown,
						      DW_RESTORE_FRESH));
			EXPECT_FALSE(dw_restore_keeps((dw_restored_kind)kind, &known, &shown,
						      DW_RESTORE_SETTLED));
			EXPECT_FALSE(dw_restore_keeps((dw_restored_kind)kind, &known, &shown,
						      DW_RESTORE_LEASES_ENDED));
		}
	}
}

} // namespace
