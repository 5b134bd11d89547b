#include <dragonflywharf/store_era.h>

static bool assume_newest(struct dw_store_era *era, uint64_t newest_when_sent)
{
	if (newest_when_sent == era->newest)
		return true;
	era->late_answers++;
	return false;
}

bool dw_store_era_answered(struct dw_store_era *era, enum dw_era_field field, uint64_t value,
			   uint64_t newest_when_sent)
{
	switch (field) {
	case DW_ERA_GIVEN:
		if (value >= era->newest) {
			era->newest = value;
			return true;
		}
		era->bad_answers += newest_when_sent == era->newest;
		break;
	case DW_ERA_MISSING:
		/* A store without eras is no fault. */
		era->bad_answers += era->newest > 0;
		break;
	case DW_ERA_UNREADABLE:
	case DW_ERA_FIELD_COUNT:
		era->bad_answers++;
		break;
	}
	return assume_newest(era, newest_when_sent);
}

void dw_store_era_told(struct dw_store_era *era, uint64_t value)
{
	if (value > era->newest)
		era->newest = value;
}
