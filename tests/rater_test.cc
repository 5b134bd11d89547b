// Tests the HTTP adapter of the rating service against standin_rater.
#include <gtest/gtest.h>

#include "base/clock.h"
#include "port/rater_http.h"
#include "support/http.h"
#include "support/process.h"

static void on_rated(const struct dw_rater_result *result, void *data)
{
	*static_cast<struct dw_rater_result *>(data) = *result;
}

TEST(Rater, ReturnsTheScoreOrAnErrorStatus)
{
	support::process standin("standin_rater", {});
	uint16_t port = standin.wait_listening();
	uv_loop_t loop;

	uv_loop_init(&loop);
	struct dw_rater *rater = dw_rater_http_new(dw_http_client_new(&loop), "127.0.0.1", port);
	auto rate = [&](const char *text) {
		struct dw_rater_result result = { DW_INTERNAL, 0 };
		struct dw_rater_request request = { "org", "m",
						    "v1",  "a \"prompt\"",
						    text,  dw_clock_now_us() + DW_US_PER_S };

		dw_rater_rate(rater, &request, on_rated, &result);
		while (result.status == DW_INTERNAL)
			uv_run(&loop, UV_RUN_ONCE);
		return result;
	};
	auto fault = [&](const char *body) {
		ASSERT_EQ(support::http_call(port, "POST", "/admin/fault", body).status, 200);
	};

	EXPECT_EQ(rate("quality:950 and so on").score_permille, 950u);
	EXPECT_EQ(rate("nothing").status, DW_OK);
	EXPECT_EQ(rate("nothing").score_permille, 0u);
	fault(R"({"kind":"outage","count":1})");
	EXPECT_EQ(rate("quality:950").status, DW_UPSTREAM_FAILED);
	fault(R"({"kind":"malformed","count":1})");
	EXPECT_EQ(rate("quality:950").status, DW_UPSTREAM_FAILED);
	fault(R"({"kind":"slow","n":60000,"count":1})");
	EXPECT_EQ(rate("quality:950").status, DW_TIMEOUT);
	standin.kill();
	EXPECT_EQ(rate("quality:950").status, DW_UNAVAILABLE);
	EXPECT_EQ(rater->calls, 7u);
	dw_rater_http_free(rater);
}
