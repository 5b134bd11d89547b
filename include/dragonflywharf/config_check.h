/**
 * @file config_check.h
 * Checks a configuration of the gateway, alone and against the one in force.
 *
 * A catalogue that was read is valid as such; the rules find entries that can never match, limits
 * that contradict each other, and what a change takes away. docs/design/config-check.md has the
 * reasons for the severities.
 */
#ifndef DRAGONFLYWHARF_CONFIG_CHECK_H
#define DRAGONFLYWHARF_CONFIG_CHECK_H

#include <dragonflywharf/catalog.h>
#include <dragonflywharf/check_report.h>

#ifdef __cplusplus
extern "C" {
#endif

/** The catalogue's entries in the order of the file. */
struct dw_check_index {
	const struct dw_catalog *catalog;
	const struct dw_route_rule **routes;
	/** For each route: the earlier one with its host and prefix, or SIZE_MAX. */
	size_t *shadowed_by;
	size_t route_count;
	const struct dw_service_rule **services;
	size_t service_count;
	const struct dw_organisation_rule **organisations;
	size_t *key_counts; /**< for each organisation */
	size_t organisation_count;
};

/** Builds the index; @p catalog must outlive it. */
void dw_check_index_init(struct dw_check_index *index, const struct dw_catalog *catalog);
void dw_check_index_free(struct dw_check_index *index);
/** Returns the place of an organisation of the catalogue, found by its address. */
size_t dw_check_index_organisation(const struct dw_check_index *index,
				   const struct dw_organisation_rule *organisation);

/** True if requests of the route can reach the service: its weight isn't 0, or all weights are 0
 * and it is the first. */
bool dw_check_route_uses(const struct dw_route_rule *route, const char *service);

/** Adds the findings about @p index alone. */
void dw_config_check(const struct dw_check_index *index, struct dw_check_report *report);

/** Adds what differs between @p next and @p current, the configuration in force, and the effects.
 * Routes are matched by host and prefix, services and organisations by name. */
void dw_config_compare(const struct dw_check_index *next, const struct dw_check_index *current,
		       struct dw_check_report *report);

#ifdef __cplusplus
}
#endif

#endif
