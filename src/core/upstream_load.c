#include <dragonflywharf/upstream_load.h>

#include <stddef.h>

/* Each further request in an upstream's batch increases the time per token by this share. */
#define BATCH_SLOPE_PERMILLE 30
#define PERMILLE 1000
#define EWMA_SHIFT 3
#define DEFAULT_US_PER_TOKEN 20000
#define DEFAULT_US_PER_PROMPT_TOKEN 200
#define DEFAULT_SERVICE_US 4000000

static uint64_t bucket_of(uint64_t time_us)
{
	return time_us / DW_LOAD_BUCKET_US;
}

/* Extends the history to now; buckets without a change repeat the last count. */
static void advance_history(struct dw_upstream_load *load, uint64_t now_us)
{
	uint64_t now = bucket_of(now_us);
	uint64_t missed;

	if (now <= load->history_bucket)
		return;
	missed = now - load->history_bucket;
	if (missed > DW_LOAD_HISTORY)
		missed = DW_LOAD_HISTORY;
	for (uint64_t i = 0; i < missed; i++)
		load->history[(now - i) % DW_LOAD_HISTORY] = load->in_flight;
	load->history_bucket = now;
}

static void store_in_flight(struct dw_upstream_load *load)
{
	load->history[load->history_bucket % DW_LOAD_HISTORY] = load->in_flight;
}

static uint32_t in_flight_at(const struct dw_upstream_load *load, uint64_t time_us)
{
	uint64_t bucket = bucket_of(time_us);

	if (bucket >= load->history_bucket)
		return load->in_flight;
	if (load->history_bucket - bucket >= DW_LOAD_HISTORY)
		bucket = load->history_bucket - DW_LOAD_HISTORY + 1;
	return load->history[bucket % DW_LOAD_HISTORY];
}

static uint64_t ewma(uint64_t mean, uint64_t sample)
{
	if (!mean)
		return sample;
	return mean - (mean >> EWMA_SHIFT) + (sample >> EWMA_SHIFT);
}

static uint64_t add_batch_delay(uint64_t time_us, uint32_t batch)
{
	return time_us * (PERMILLE + (uint64_t)BATCH_SLOPE_PERMILLE * batch) / PERMILLE;
}

static uint64_t remove_batch_delay(uint64_t time_us, uint32_t batch)
{
	return time_us * PERMILLE / (PERMILLE + (uint64_t)BATCH_SLOPE_PERMILLE * batch);
}

static uint32_t batch_of(const struct dw_upstream_load *load, uint32_t in_flight)
{
	return load->slots && in_flight > load->slots ? load->slots : in_flight;
}

static bool is_queued(const struct dw_upstream_load *load, uint32_t in_flight)
{
	return load->slots && in_flight >= load->slots;
}

static void update_speed(struct dw_upstream_load *load, const struct dw_load_sample *sample)
{
	uint32_t batch = batch_of(load, sample->load_at_dispatch);

	if (sample->total_us)
		load->service_us = ewma(load->service_us, sample->total_us);
	if (sample->output_tokens > 1 && sample->total_us > sample->first_token_us) {
		uint64_t generated_us = sample->total_us - sample->first_token_us;

		load->us_per_token =
			ewma(load->us_per_token,
			     remove_batch_delay(generated_us / (sample->output_tokens - 1), batch));
	}
	/* If the request was queued, the time to its first token includes the time in the queue. */
	if (sample->prompt_tokens && sample->first_token_us &&
	    !is_queued(load, sample->load_at_dispatch))
		load->us_per_prompt_token = ewma(load->us_per_prompt_token,
						 sample->first_token_us / sample->prompt_tokens);
}

void dw_upstream_load_sent(struct dw_upstream_load *load, uint64_t now_us)
{
	advance_history(load, now_us);
	load->in_flight++;
	store_in_flight(load);
}

void dw_upstream_load_ended(struct dw_upstream_load *load, uint64_t now_us,
			    const struct dw_load_sample *sample)
{
	advance_history(load, now_us);
	if (load->in_flight)
		load->in_flight--;
	store_in_flight(load);
	if (sample)
		update_speed(load, sample);
}

void dw_upstream_load_report(struct dw_upstream_load *load, uint64_t taken_us, uint32_t running,
			     uint32_t queued)
{
	if (taken_us <= load->reported_at_us)
		return;
	load->reported_at_us = taken_us;
	load->reported = running + queued;
	load->reported_own = in_flight_at(load, taken_us);
}

uint32_t dw_upstream_load_estimate(const struct dw_upstream_load *load, uint64_t now_us,
				   uint32_t instances)
{
	uint64_t age_us = now_us > load->reported_at_us ? now_us - load->reported_at_us : 0;
	uint64_t others = 0;
	uint64_t assumed = (uint64_t)load->in_flight * (instances > 1 ? instances - 1 : 0);

	if (load->reported > load->reported_own)
		others = load->reported - load->reported_own;
	if (!load->reported_at_us || age_us > DW_LOAD_REPORT_STALE_US)
		age_us = DW_LOAD_REPORT_STALE_US;
	others = (others * (DW_LOAD_REPORT_STALE_US - age_us) + assumed * age_us) /
		 DW_LOAD_REPORT_STALE_US;
	return load->in_flight + (uint32_t)others;
}

uint64_t dw_upstream_load_expected_us(const struct dw_upstream_load *load, uint32_t in_flight,
				      uint32_t prompt_tokens, uint32_t output_tokens)
{
	uint64_t per_token = load->us_per_token ? load->us_per_token : DEFAULT_US_PER_TOKEN;
	uint64_t per_prompt =
		load->us_per_prompt_token ? load->us_per_prompt_token : DEFAULT_US_PER_PROMPT_TOKEN;
	uint64_t service_us = load->service_us ? load->service_us : DEFAULT_SERVICE_US;
	uint64_t wait_us = 0;

	if (is_queued(load, in_flight))
		wait_us = (in_flight - load->slots + 1) * service_us / load->slots;
	return wait_us + per_prompt * prompt_tokens +
	       add_batch_delay(per_token * output_tokens, batch_of(load, in_flight));
}
