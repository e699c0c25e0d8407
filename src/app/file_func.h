// Reads whole files.
#pragma once

#include "state/error_type.h"

#include <string>

namespace auburnhaven::app {

/**
 * Reads a whole file. Thread-safe.
 * @param aPath The file.
 * @return Its text, or state::InputErrors when it cannot be read.
 */
state::leaf::result<std::string>
readFile(const std::string& aPath);

} // namespace auburnhaven::app
