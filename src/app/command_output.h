// Text that commands print for people.
#pragma once

#include "state/error_type.h"

#include <ostream>

namespace auburnhaven::app {

/**
 * Prints faults as "file:line: key: message", one a line.
 * @param aOut Where to print.
 * @param aErrors The faults.
 */
void
printInputErrors(std::ostream& aOut, const state::InputErrors& aErrors);

} // namespace auburnhaven::app
