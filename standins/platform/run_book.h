// What all workers of the users' platform have run, and what they saw broken.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace auburnhaven::standins {

/** Runs and breaches of a run of the stand-ins. One thread. */
struct RunBook
{
  std::map<std::string, std::uint32_t> runs_;   ///< Runs by attempt.
  std::map<std::string, std::string> accounts_; ///< Account by attempt.
  std::map<std::string, std::uint32_t>
    arrivals_;                ///< Requests that reached a plain worker, by its
                              ///< name.
  std::uint64_t partial_ = 0; ///< Requests that began in an incomplete copy.
  std::uint64_t taken_ = 0;   ///< Members ordered away from an open copy.
  std::uint64_t repeated_ =
    0; ///< Requests that ran twice though they must not.
};

} // namespace auburnhaven::standins
