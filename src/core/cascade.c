#include <dragonflywharf/cascade.h>

#include <math.h>
#include <stdlib.h>

#include <xxhash.h>

#define WAYS 4
#define MIN_ROWS 64
#define PERMILLE 1000
#define US_PER_S 1000000
/* The prior of a model for a kind of work is hopeful, so that it gets tried; that of one
 * organisation is what all organisations together have seen. */
#define PRIOR_PASSED 3.0
#define PRIOR_FAILED 1.0
#define PRIOR_FROM_ALL 4.0
#define ALL_ORGANISATIONS UINT64_MAX
/* Evidence halves in ten minutes, and its weight is bounded so that a change shows soon. */
#define HALF_LIFE_US 600e6
#define EVIDENCE_MAX 200.0
/* The tail that waiting is priced at is the 95th percentile. */
#define TAIL_SHARE 0.05
#define EXPLORE_SEED 11
#define WORK_IN_SESSION 64

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

	/* A session's prompt grows from turn to turn, its kind of work stays. */
	if (in_session)
		return WORK_IN_SESSION;
	while (prompt_tokens >> bits > 1)
		bits++;
	return bits;
}

static bool is_row_of(const struct rate *rate, const uint64_t key[3])
{
	return rate->used && rate->organisation_id == key[0] && rate->model_id == key[1] &&
	       rate->work_id == key[2];
}

static size_t first_way(const struct dw_cascade_rates *rates, const uint64_t key[3])
{
	uint64_t set = XXH64(key, 3 * sizeof(key[0]), 0) % (rates->rows / WAYS);

	return set * WAYS;
}

static const struct rate *find(const struct dw_cascade_rates *rates, const uint64_t key[3])
{
	size_t first = first_way(rates, key);

	for (size_t i = first; i < first + WAYS; i++) {
		if (is_row_of(&rates->rate[i], key))
			return &rates->rate[i];
	}
	return NULL;
}

/* The row of the key; if it has none, a free or the stalest one of its set is given to it. */
static struct rate *find_or_take(struct dw_cascade_rates *rates, const uint64_t key[3])
{
	size_t first = first_way(rates, key);
	struct rate *stalest = &rates->rate[first];

	for (size_t i = first; i < first + WAYS; i++) {
		struct rate *rate = &rates->rate[i];

		if (is_row_of(rate, key))
			return rate;
		if (!rate->used || (stalest->used && rate->updated_us < stalest->updated_us))
			stalest = rate;
	}
	*stalest = (struct rate){
		.organisation_id = key[0], .model_id = key[1], .work_id = key[2], .used = true
	};
	return stalest;
}

static double decay(const struct rate *rate, uint64_t now_us)
{
	uint64_t age_us = now_us > rate->updated_us ? now_us - rate->updated_us : 0;

	return exp2(-(double)age_us / HALF_LIFE_US);
}

static void learn(struct dw_cascade_rates *rates, const uint64_t key[3], bool passed,
		  uint64_t now_us)
{
	struct rate *rate = find_or_take(rates, key);
	double kept = decay(rate, now_us);
	double sum = (rate->passed + rate->failed) * kept;

	if (sum > EVIDENCE_MAX)
		kept *= EVIDENCE_MAX / sum;
	rate->passed = rate->passed * kept + (passed ? 1.0 : 0.0);
	rate->failed = rate->failed * kept + (passed ? 0.0 : 1.0);
	rate->updated_us = now_us;
}

void dw_cascade_rates_learn(struct dw_cascade_rates *rates, uint64_t organisation_id,
			    uint64_t model_id, uint64_t work_id, bool passed, uint64_t now_us)
{
	const uint64_t own[3] = { organisation_id, model_id, work_id };
	const uint64_t all[3] = { ALL_ORGANISATIONS, model_id, work_id };

	learn(rates, own, passed, now_us);
	learn(rates, all, passed, now_us);
}

static double mean(const struct dw_cascade_rates *rates, const uint64_t key[3], double prior_passed,
		   double prior_failed, uint64_t now_us)
{
	const struct rate *rate = find(rates, key);
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
	double prior = mean(rates, all, PRIOR_PASSED, PRIOR_FAILED, now_us);

	return mean(rates, own, PRIOR_FROM_ALL * prior, PRIOR_FROM_ALL * (1.0 - prior), now_us);
}

/* A choice of steps: bit i stands for step i; the last step's bit is always set. */
struct subset {
	uint32_t bits;
	double cost_micros;
	double expected_us;
	uint64_t longest_us;
	double tail_us; /* of the steps that at least the slowest part of the requests reaches */
	double price; /* cost and the worth of the tail */
};

static bool has(uint32_t bits, size_t step)
{
	return bits >> step & 1;
}

static bool are_available(const struct dw_cascade_step *steps, size_t count, uint32_t bits)
{
	for (size_t i = 0; i < count; i++) {
		if (has(bits, i) && !steps[i].available)
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
		if (!has(bits, i))
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

static bool fits(const struct dw_cascade_request *request, const struct subset *subset)
{
	return !request->deadline_us ||
	       request->now_us + subset->longest_us <= request->deadline_us;
}

static struct subset cheapest(const struct dw_cascade_request *request,
			      const struct dw_cascade_step *steps, size_t count)
{
	uint32_t last = 1U << (count - 1);
	struct subset best = evaluate(request, steps, count, last);

	for (uint32_t earlier = 1; earlier < last; earlier++) {
		struct subset subset = evaluate(request, steps, count, earlier | last);

		if (are_available(steps, count, subset.bits) && fits(request, &subset) &&
		    subset.price < best.price)
			best = subset;
	}
	return best;
}

/* Puts one of the skipped steps back in a stated share of plans, if the deadline bears it. */
static bool explore(const struct dw_cascade_request *request, const struct dw_cascade_step *steps,
		    size_t count, struct subset *subset)
{
	uint64_t draw = XXH64(&request->random, sizeof(request->random), EXPLORE_SEED);
	size_t step = (size_t)(draw / PERMILLE % count);
	struct subset wider;

	if (draw % PERMILLE >= DW_CASCADE_EXPLORE_PERMILLE || has(subset->bits, step))
		return false;
	wider = evaluate(request, steps, count, subset->bits | 1U << step);
	if (!steps[step].available || !fits(request, &wider))
		return false;
	*subset = wider;
	return true;
}

static void write_plan(const struct subset *subset, size_t count, struct dw_cascade_plan *out)
{
	out->count = 0;
	for (size_t i = 0; i < count; i++) {
		if (has(subset->bits, i))
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
		return dw_fail(DW_INVALID_ARGUMENT, "a cascade of %zu steps", count);
	if (!steps[count - 1].available)
		return dw_fail(DW_UNAVAILABLE, "the model asked for is not available");
	subset = cheapest(request, steps, count);
	out->is_exploration = explore(request, steps, count, &subset);
	out->misses_deadline = !fits(request, &subset);
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
