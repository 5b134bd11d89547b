#include "net/part_codec.h"

#include "net/integer_message.h"

enum { LOW, HIGH, UPSTREAM, INCARNATION, REQUEST, VERSION, AGE_US, KIND, ROW_INTEGERS };

/* Added to the kind of news if the part is established. */
#define ESTABLISHED_FLAG 16

static const struct integer_message_kind kind = { "news of parts", ROW_INTEGERS,
						  PART_MESSAGE_ENTRIES };

_Static_assert(PART_MESSAGE_ENTRIES *ROW_INTEGERS <= INTEGER_MESSAGE_MAX, "a message fits");
_Static_assert((int)DW_PART_NEWS_KIND_COUNT <= ESTABLISHED_FLAG, "the flag is free");

enum dw_status part_message_encode(const struct dw_part_news *news, size_t count,
				   msgpack_sbuffer *buffer)
{
	uint64_t integers[PART_MESSAGE_ENTRIES * ROW_INTEGERS];

	for (size_t i = 0; i < count && i < PART_MESSAGE_ENTRIES; i++) {
		uint64_t *row = &integers[i * ROW_INTEGERS];

		row[LOW] = news[i].part.low;
		row[HIGH] = news[i].part.high;
		row[UPSTREAM] = news[i].upstream_id;
		row[INCARNATION] = news[i].upstream_incarnation;
		row[REQUEST] = news[i].request;
		row[VERSION] = news[i].version;
		row[AGE_US] = news[i].age_us;
		row[KIND] =
			(uint64_t)news[i].kind + (news[i].is_established ? ESTABLISHED_FLAG : 0);
	}
	return integer_message_encode(&kind, integers, count, buffer);
}

static enum dw_status read_row(const uint64_t *row, struct dw_part_news *news)
{
	uint64_t news_kind = row[KIND] % ESTABLISHED_FLAG;

	if (news_kind >= DW_PART_NEWS_KIND_COUNT || row[KIND] >= 2 * ESTABLISHED_FLAG)
		return dw_fail(DW_INVALID_ARGUMENT, "news of parts: unknown kind %llu",
			       (unsigned long long)row[KIND]);
	*news = (struct dw_part_news){
		.kind = (enum dw_part_news_kind)news_kind,
		.part = { row[LOW], row[HIGH] },
		.upstream_id = row[UPSTREAM],
		.upstream_incarnation = row[INCARNATION],
		.request = row[REQUEST],
		.version = row[VERSION],
		.age_us = row[AGE_US],
		.is_established = row[KIND] >= ESTABLISHED_FLAG,
	};
	return DW_OK;
}

enum dw_status part_message_decode(const uint8_t *bytes, size_t len,
				   struct dw_part_news news[PART_MESSAGE_ENTRIES], size_t *count)
{
	uint64_t integers[INTEGER_MESSAGE_MAX];
	enum dw_status status = integer_message_decode(&kind, bytes, len, integers, count);

	for (size_t i = 0; status == DW_OK && i < *count; i++)
		status = read_row(&integers[i * ROW_INTEGERS], &news[i]);
	if (status != DW_OK)
		*count = 0;
	return status;
}
