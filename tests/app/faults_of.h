// Runs a parser of a test and collects its faults.
#pragma once

#include "state/error_type.h"

#include <cppunit/TestAssert.h>

#include <vector>

namespace auburnhaven::fakes {

/**
 * @param aParse Returns a leaf::result; asserts what it likes on success.
 * @return Its faults; empty when it succeeds. Fails on errors without faults.
 */
template<class Parse>
std::vector<state::InputError>
faultsOf(Parse aParse)
{
  std::vector<state::InputError> errors;
  state::leaf::try_handle_all(
    [&]() -> state::leaf::result<void> { return aParse(); },
    [&](const state::InputErrors& aErrors) { errors = aErrors.errors_; },
    [] { CPPUNIT_FAIL("error without faults"); });
  return errors;
}

} // namespace auburnhaven::fakes
