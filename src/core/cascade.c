#include <dragonflywharf/cascade.h>

#include <math.h>
#include <stdlib.h>

#include <xxhash.h>

#define WAYS 4
#define MIN_ROWS 64
#define PERMILLE 1000
#define US_PER_S 1000000
/*
 * The prior of a model and class of work is optimistic, so that the model gets tried. The prior of
 * one organisation is the rate over all organisations.
 */
#define PRIOR_PASSED 3.0
#define PRIOR_FAILED 1.0
#define PRIOR_WEIGHT_FROM_ALL 4.0
#define ALL_ORGANISATIONS UINT64_MAX
/* Observations lose half their weight in ten minutes. Their sum is limited so that a change of a
 * model's quality shows soon. */
#define HALF_LIFE_US 600e6
#define OBSERVATIONS_MAX 200.0
/* Latency is priced at the 95th percentile: steps that at least this share of requests reaches. */
#define TAIL_SHARE 0.05
#define EXPLORE_SEED 11
#define WORK_CLASS_SESSION 64

struct rate {
	uint64_t organisation_id;
	uint64_t model_id;
	uint64_t work_id;
	double passed;
	double failed;
	uint64_t updated_us;
	bool used;
};

struct dw_cascade_rates {
	size_t rows;
	struct rate rate[];
};

struct dw_cascade_rates *dw_cascade_rates_new(size_t rows)
{
	size_t rounded = MIN_ROWS;
	struct dw_cascade_rates *rates;

	while (rounded < rows)
		rounded *= 2;
	rates = calloc(1, sizeof(*rates) + rounded * sizeof(rates->rate[0]));
	if (rates)
		rates->rows = rounded;
	return rates;
}

void dw_cascade_rates_free(struct dw_cascade_rates *rates)
{
	free(rates);
}

uint64_t dw_cascade_work_class(uint32_t prompt_tokens, bool in_session)
{
	uint64_t bits = 0;

	/* A session's prompt grows with every turn while the class of work stays the same. */
	if (in_session)
		return WORK_CLASS_SESSION;
	while (prompt_tokens >> bits > 1)
		bits++;
	return bits;
}

static bool has_key(const struct rate *rate, const uint64_t key[3])
{
	return rate->used && rate->organisation_id == key[0] && rate->model_id == key[1] &&
	       rate->work_id == key[2];
}

static size_t first_way(const struct dw_cascade_rates *rates, const uint64_t key[3])
{
	uint64_t set = XXH64(key, 3 * sizeof(key[0]), 0) % (rates->rows / WAYS);

	return set * WAYS;
}

static const struct rate *find_rate(const struct dw_cascade_rates *rates, const uint64_t key[3])
{
	size_t first = first_way(rates, key);

	for (size_t i = first; i < first + WAYS; i++) {
		if (has_key(&rates->rate[i], key))
			return &rates->rate[i];
	}
	return NULL;
}

/*
 * Finds the row of the key, or assigns it a free row or the least recently updated one of its set.
 */
static struct rate *find_or_replace(struct dw_cascade_rates *rates, const uint64_t key[3])
{
	size_t first = first_way(rates, key);
	struct rate *oldest = &rates->rate[first];

	for (size_t i = first; i < first + WAYS; i++) {
		struct rate *rate = &rates->rate[i];

		if (has_key(rate, key))
			return rate;
		if (!rate->used || (oldest->used && rate->updated_us < oldest->updated_us))
			oldest = rate;
	}
	*oldest = (struct rate){
		.organisation_id = key[0], .model_id = key[1], .work_id = key[2], .used = true
	};
	return oldest;
}

static double decay(const struct rate *rate, uint64_t now_us)
{
	uint64_t age_us = now_us > rate->updated_us ? now_us - rate->updated_us : 0;

	return exp2(-(double)age_us / HALF_LIFE_US);
}

static void update_rate(struct dw_cascade_rates *rates, const uint64_t key[3], bool passed,
			uint64_t now_us)
{
	struct rate *rate = find_or_replace(rates, key);
	double kept = decay(rate, now_us);
	double sum = (rate->passed + rate->failed) * kept;

	if (sum > OBSERVATIONS_MAX)
		kept *= OBSERVATIONS_MAX / sum;
	rate->passed = rate->passed * kept + (passed ? 1.0 : 0.0);
	rate->failed = rate->failed * kept + (passed ? 0.0 : 1.0);
	rate->updated_us = now_us;
}

void dw_cascade_rates_learn(struct dw_cascade_rates *rates, uint64_t organisation_id,
			    uint64_t model_id, uint64_t work_id, bool passed, uint64_t now_us)
{
	const uint64_t own[3] = { organisation_id, model_id, work_id };
	const uint64_t all[3] = { ALL_ORGANISATIONS, model_id, work_id };

	update_rate(rates, own, passed, now_us);
	update_rate(rates, all, passed, now_us);
}

static double mean_pass_rate(const struct dw_cascade_rates *rates, const uint64_t key[3],
			     double prior_passed, double prior_failed, uint64_t now_us)
{
	const struct rate *rate = find_rate(rates, key);
	double kept = rate ? decay(rate, now_us) : 0.0;
	double passed = prior_passed + (rate ? rate->passed * kept : 0.0);
	double failed = prior_failed + (rate ? rate->failed * kept : 0.0);

	return passed / (passed + failed);
}

double dw_cascade_rates_lookup(const struct dw_cascade_rates *rates, uint64_t organisation_id,
			       uint64_t model_id, uint64_t work_id, uint64_t now_us)
{
	const uint64_t own[3] = { organisation_id, model_id, work_id };
	const uint64_t all[3] = { ALL_ORGANISATIONS, model_id, work_id };
	double prior = mean_pass_rate(rates, all, PRIOR_PASSED, PRIOR_FAILED, now_us);

	return mean_pass_rate(rates, own, PRIOR_WEIGHT_FROM_ALL * prior,
			      PRIOR_WEIGHT_FROM_ALL * (1.0 - prior), now_us);
}

/* A subset of the steps: bit i is step i; the last step's bit is always set. */
struct subset {
	uint32_t bits;
	double cost_micros;
	double expected_us;
	uint64_t longest_us;
	double tail_us; /* latency of the steps that at least TAIL_SHARE of the requests reach */
	double price; /* cost plus the priced tail latency */
};

static bool has_step(uint32_t bits, size_t step)
{
	return bits >> step & 1;
}

static bool are_available(const struct dw_cascade_step *steps, size_t count, uint32_t bits)
{
	for (size_t i = 0; i < count; i++) {
		if (has_step(bits, i) && !steps[i].available)
			return false;
	}
	return true;
}

static struct subset evaluate(const struct dw_cascade_request *request,
			      const struct dw_cascade_step *steps, size_t count, uint32_t bits)
{
	struct subset subset = { .bits = bits };
	double reached = 1.0;

	for (size_t i = 0; i < count; i++) {
		if (!has_step(bits, i))
			continue;
		subset.cost_micros += reached * (double)steps[i].cost_micros;
		subset.expected_us += reached * (double)steps[i].latency_us;
		subset.longest_us += steps[i].latency_us;
		if (reached >= TAIL_SHARE)
			subset.tail_us += (double)steps[i].latency_us;
		reached *= 1.0 - steps[i].pass_rate;
	}
	subset.price = subset.cost_micros +
		       subset.tail_us * (double)request->latency_cost_micros_per_s / US_PER_S;
	return subset;
}

static bool meets_deadline(const struct dw_cascade_request *request, const struct subset *subset)
{
	return !request->deadline_us ||
	       request->now_us + subset->longest_us <= request->deadline_us;
}

static struct subset find_cheapest(const struct dw_cascade_request *request,
				   const struct dw_cascade_step *steps, size_t count)
{
	uint32_t last = 1U << (count - 1);
	struct subset best = evaluate(request, steps, count, last);

	for (uint32_t earlier = 1; earlier < last; earlier++) {
		struct subset subset = evaluate(request, steps, count, earlier | last);

		if (are_available(steps, count, subset.bits) && meets_deadline(request, &subset) &&
		    subset.price < best.price)
			best = subset;
	}
	return best;
}

/* For a fixed share of plans draws a random step, and adds it if the plan skips it and the deadline
 * allows it. */
static bool explore(const struct dw_cascade_request *request, const struct dw_cascade_step *steps,
		    size_t count, struct subset *subset)
{
	uint64_t draw = XXH64(&request->random, sizeof(request->random), EXPLORE_SEED);
	size_t step = (size_t)(draw / PERMILLE % count);
	struct subset extended;

	if (draw % PERMILLE >= DW_CASCADE_EXPLORE_PERMILLE || has_step(subset->bits, step))
		return false;
	extended = evaluate(request, steps, count, subset->bits | 1U << step);
	if (!steps[step].available || !meets_deadline(request, &extended))
		return false;
	*subset = extended;
	return true;
}

static void write_plan(const struct subset *subset, size_t count, struct dw_cascade_plan *out)
{
	out->count = 0;
	for (size_t i = 0; i < count; i++) {
		if (has_step(subset->bits, i))
			out->steps[out->count++] = (uint8_t)i;
	}
	out->expected_cost_micros = (uint64_t)subset->cost_micros;
	out->expected_us = (uint64_t)subset->expected_us;
	out->longest_us = subset->longest_us;
}

enum dw_status dw_cascade_choose(const struct dw_cascade_request *request,
				 const struct dw_cascade_step *steps, size_t count,
				 struct dw_cascade_plan *out)
{
	struct subset subset;

	*out = (struct dw_cascade_plan){ 0 };
	if (!count || count > DW_CASCADE_STEPS_MAX)
		return dw_fail(DW_INVALID_ARGUMENT,
			       "invalid number of cascade steps: %zu, must be 1 to %d", count,
			       DW_CASCADE_STEPS_MAX);
	if (!steps[count - 1].available)
		return dw_fail(DW_UNAVAILABLE, "the requested model is not available");
	subset = find_cheapest(request, steps, count);
	out->is_exploration = explore(request, steps, count, &subset);
	out->misses_deadline = !meets_deadline(request, &subset);
	write_plan(&subset, count, out);
	return DW_OK;
}

bool dw_cascade_may_release(const struct dw_cascade_plan *plan, size_t position, bool rated,
			    uint32_t score_permille, uint32_t quality_target_permille)
{
	if (position + 1 == plan->count)
		return true;
	return rated && score_permille >= quality_target_permille;
}
