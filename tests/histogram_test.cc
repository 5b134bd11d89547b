#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "base/histogram.h"

TEST(Histogram, BucketsAreCumulative)
{
	histogram h{};
	char *text = nullptr;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	histogram_add(&h, 900);
	histogram_add(&h, 1500);
	histogram_add(&h, 60000000);
	histogram_write(&h, "x", "An x", out);
	fclose(out);
	std::string written(text, len);
	free(text);
	EXPECT_NE(written.find("x_seconds_bucket{le=\"0.001\"} 1\n"), std::string::npos);
	EXPECT_NE(written.find("x_seconds_bucket{le=\"0.002\"} 2\n"), std::string::npos);
	EXPECT_NE(written.find("x_seconds_bucket{le=\"20\"} 2\n"), std::string::npos);
	EXPECT_NE(written.find("x_seconds_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
	EXPECT_NE(written.find("x_seconds_count 3\n"), std::string::npos);
}
