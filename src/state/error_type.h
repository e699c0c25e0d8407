// Error values carried by Boost.LEAF results.
#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace auburnhaven::state {

namespace leaf = boost::leaf;

/** One fault of an input, with the place where it was found. */
struct InputError
{
  std::string source_;  ///< File or other origin of the input.
  int line_ = 0;        ///< Line from 1, 0 when unknown.
  std::string key_;     ///< Dotted key or field path.
  std::string message_; ///< What is wrong, as a short sentence.
  bool operator==(const InputError&) const = default;
};

/** All faults of one input; never empty when carried by a result. */
struct InputErrors
{
  std::vector<InputError> errors_; ///< The faults in order of their place.
};

} // namespace auburnhaven::state
