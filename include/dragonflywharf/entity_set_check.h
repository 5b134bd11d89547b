/**
 * @file entity_set_check.h
 * Checks a list of the project's own entities, as `wharfctl apply` writes it, alone and against
 * another list in force.
 *
 * A list may be a part of the configuration, so a reference that it can't resolve is a warning, and
 * an entity that only the list in force has isn't removed by applying the new one.
 */
#ifndef DRAGONFLYWHARF_ENTITY_SET_CHECK_H
#define DRAGONFLYWHARF_ENTITY_SET_CHECK_H

#include <dragonflywharf/check_report.h>
#include <dragonflywharf/entity.h>

#ifdef __cplusplus
extern "C" {
#endif

struct dw_entity_set {
	/** In the order of the file; NULL: could not be read. */
	Dragonflywharf__Entity **entities;
	size_t count;
};

/**
 * Adds the findings about @p set. References are also looked up in @p current, which may be NULL.
 */
void dw_entity_set_check(const struct dw_entity_set *set, const struct dw_entity_set *current,
			 struct dw_check_report *report);

/** Adds what applying @p next over @p current changes, and the effects. */
void dw_entity_set_compare(const struct dw_entity_set *next, const struct dw_entity_set *current,
			   struct dw_check_report *report);

#ifdef __cplusplus
}
#endif

#endif
