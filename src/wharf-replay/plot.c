#include "wharf-replay/report.h"

#define WIDTH 900
#define PANEL_HEIGHT 150
#define MARGIN 60
#define PANELS 4

static const char *const colours[STRATEGY_COUNT] = { "#1b6ca8", "#b03a2e", "#b9770e", "#6c7a89" };

typedef double (*bin_figure)(const struct metrics *metrics, size_t bin);

static double latency_s(const struct metrics *metrics, size_t bin)
{
	return (double)metrics->bins[bin].latency_us / 1e6;
}

static double cost(const struct metrics *metrics, size_t bin)
{
	uint32_t answered = metrics->bins[bin].answered;

	return answered ? (double)metrics->bins[bin].cost_micros / answered : 0.0;
}

static double refused(const struct metrics *metrics, size_t bin)
{
	return metrics->bins[bin].refused;
}

static double exposed(const struct metrics *metrics, size_t bin)
{
	return metrics->bins[bin].exposed;
}

static const struct {
	const char *title;
	bin_figure figure;
} panels[PANELS] = {
	{ "mean latency (s)", latency_s },
	{ "cost per answer (micros)", cost },
	{ "refused or failed requests", refused },
	{ "bad answers released", exposed },
};

static double max_value(const struct replay *replay, bin_figure figure)
{
	double max = 0.0;

	for (int i = 0; i < STRATEGY_COUNT; i++) {
		for (size_t bin = 0; bin < METRICS_BINS; bin++) {
			double value = figure(&replay->metrics[i], bin);

			max = value > max ? value : max;
		}
	}
	return max > 0.0 ? max : 1.0;
}

static void plot_line(const struct replay *replay, FILE *file, int strategy, int panel, double max)
{
	int bottom = MARGIN + (panel + 1) * (PANEL_HEIGHT + MARGIN / 2) - MARGIN / 2;

	fprintf(file, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"",
		colours[strategy]);
	for (size_t bin = 0; bin < METRICS_BINS; bin++) {
		double value = panels[panel].figure(&replay->metrics[strategy], bin);

		fprintf(file, "%.1f,%.1f ",
			MARGIN + (double)bin * (WIDTH - 2 * MARGIN) / (METRICS_BINS - 1),
			bottom - value / max * (PANEL_HEIGHT - 20));
	}
	fprintf(file, "\"/>\n");
}

static void plot_panel(const struct replay *replay, FILE *file, int panel)
{
	int top = MARGIN + panel * (PANEL_HEIGHT + MARGIN / 2);
	double max = max_value(replay, panels[panel].figure);

	fprintf(file, "<text x=\"%d\" y=\"%d\">%s (maximum %.1f)</text>\n", MARGIN, top + 10,
		panels[panel].title, max);
	fprintf(file, "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#999\"/>\n", MARGIN,
		top + PANEL_HEIGHT, WIDTH - MARGIN, top + PANEL_HEIGHT);
	for (int i = 0; i < STRATEGY_COUNT; i++)
		plot_line(replay, file, i, panel, max);
}

void report_plot(const struct replay *replay, FILE *file)
{
	int height = MARGIN + PANELS * (PANEL_HEIGHT + MARGIN / 2) + MARGIN / 2;

	fprintf(file,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
		"font-family=\"sans-serif\" font-size=\"12\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
		"<text x=\"%d\" y=\"20\" font-size=\"14\">%s, %zu requests, by time of arrival"
		"</text>\n",
		WIDTH, height, MARGIN, replay->trace->name, replay->trace->request_count);
	for (int i = 0; i < STRATEGY_COUNT; i++)
		fprintf(file, "<text x=\"%d\" y=\"40\" fill=\"%s\">%s</text>\n", MARGIN + i * 140,
			colours[i], strategies[i].name);
	for (int panel = 0; panel < PANELS; panel++)
		plot_panel(replay, file, panel);
	fprintf(file, "</svg>\n");
}
