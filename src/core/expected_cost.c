#include <dragonflywharf/expected_cost.h>

#define US_PER_MS UINT64_C(1000)
#define US_PER_S UINT64_C(1000000)

/* The weight of a load report decreases linearly to zero over this time. */
#define LOAD_MAX_AGE_US (3 * US_PER_S)
/* The same for the pace, which changes many times a second. */
#define PACE_MAX_AGE_US (400 * US_PER_MS)
#define USUAL_PACE_PERCENT 100

/* Work of a request until one was sent: 4,000 prompt tokens of a mid-sized model. */
#define DEFAULT_WORK_US (160 * US_PER_MS)
/* Weight of one sample in the mean work, in thousandths. */
#define WORK_WEIGHT_PERMILLE 20

/* Delay per running request: the prior, with the weight of this many running requests, and the bounds of
 * what is learnt. The upper one keeps a burst from moving requests away from the engines that have their
 * prompts cached, which would add to the work. */
#define DELAY_PRIOR_US (4 * US_PER_MS)
#define DELAY_PRIOR_RUNNING 2000
#define DELAY_MIN_US (1 * US_PER_MS)
#define DELAY_MAX_US (8 * US_PER_MS)
/* Sums are halved here, so that older samples are forgotten. */
#define RUNNING_SUM_MAX 40000
/* A longer delay isn't caused by the requests beside, but by a fault of the engine. */
#define DELAY_SAMPLE_MAX_US (2 * US_PER_S)

/* Part of a running request's delay that makes it late, in thousandths: most have time in hand. */
#define LATENESS_PERMILLE 20

static uint64_t average(uint64_t mean, uint64_t sample)
{
	return (mean * (1000 - WORK_WEIGHT_PERMILLE) + sample * WORK_WEIGHT_PERMILLE) / 1000;
}

void dw_work_stats_sent(struct dw_work_stats *stats, uint64_t work_us)
{
	uint64_t mean_us = stats->mean_work_us > 0 ? stats->mean_work_us : DEFAULT_WORK_US;

	stats->mean_work_us = average(mean_us, work_us);
}

void dw_work_stats_started(struct dw_work_stats *stats, uint32_t running, uint64_t expected_us,
			   uint64_t taken_us)
{
	uint64_t delay_us = taken_us > expected_us ? taken_us - expected_us : 0;

	if (running == 0 || delay_us > DELAY_SAMPLE_MAX_US)
		return;
	stats->running_sum += running;
	stats->delay_sum_us += delay_us;
	if (stats->running_sum > RUNNING_SUM_MAX) {
		stats->running_sum /= 2;
		stats->delay_sum_us /= 2;
	}
}

uint64_t dw_work_delay_per_running_us(const struct dw_work_stats *stats)
{
	uint64_t delay_us = (stats->delay_sum_us + DELAY_PRIOR_RUNNING * DELAY_PRIOR_US) /
			    (stats->running_sum + DELAY_PRIOR_RUNNING);

	if (delay_us < DELAY_MIN_US)
		return DELAY_MIN_US;
	return delay_us < DELAY_MAX_US ? delay_us : DELAY_MAX_US;
}

/* Weight of a report of this age, in thousandths. */
static uint64_t weight_permille(const struct dw_engine_load *load, uint64_t max_age_us,
				uint64_t now_us)
{
	uint64_t age_us = now_us > load->reported_at_us ? now_us - load->reported_at_us : 0;

	if (load->reported_at_us == 0 || age_us >= max_age_us)
		return 0;
	return (max_age_us - age_us) * 1000 / max_age_us;
}

uint32_t dw_expected_running_permille(const struct dw_engine_load *load, uint64_t now_us)
{
	return (uint32_t)(load->running * weight_permille(load, LOAD_MAX_AGE_US, now_us));
}

uint32_t dw_expected_pace_percent(const struct dw_engine_load *load, uint64_t now_us)
{
	uint64_t weight = weight_permille(load, PACE_MAX_AGE_US, now_us);

	if (load->pace_percent == 0)
		return USUAL_PACE_PERCENT;
	return (uint32_t)((load->pace_percent * weight + USUAL_PACE_PERCENT * (1000 - weight)) /
			  1000);
}

/* The work of this instance's own requests is known. Of those of others, only the number that wait is. */
static uint64_t work_ahead_us(const struct dw_work_stats *stats, const struct dw_engine *engine,
			      uint64_t now_us)
{
	uint64_t mean_us = stats->mean_work_us > 0 ? stats->mean_work_us : DEFAULT_WORK_US;
	uint64_t waiting_us = engine->load.waiting * mean_us *
			      weight_permille(&engine->load, LOAD_MAX_AGE_US, now_us) / 1000;

	return waiting_us > engine->own_work_us ? waiting_us : engine->own_work_us;
}

struct dw_expected_cost dw_expected_cost_at(const struct dw_work_stats *stats,
					    const struct dw_engine *engine, uint64_t work_us,
					    uint64_t now_us)
{
	uint64_t running = dw_expected_running_permille(&engine->load, now_us);

	return (struct dw_expected_cost){
		.ahead_us = work_ahead_us(stats, engine, now_us),
		.beside_us = running * dw_work_delay_per_running_us(stats) / 1000,
		.others_us = running * work_us / 1000 * LATENESS_PERMILLE / 1000,
	};
}
