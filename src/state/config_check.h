// Checks that a configuration makes sense as a whole.
#pragma once

#include "state/config_type.h"
#include "state/error_type.h"

#include <vector>

namespace auburnhaven::state {

/**
 * Finds all faults of a configuration: names, sizes, references between its
 * parts, and windows that overlap. Thread-safe.
 * @param aConfiguration The configuration.
 * @return The faults; the key of each is "groups.NAME.FIELD" and the like, and
 * source and line are empty. Empty when there is none.
 */
std::vector<InputError>
checkConfiguration(const Configuration& aConfiguration);

} // namespace auburnhaven::state
