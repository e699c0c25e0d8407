// Headers of a worker's answer on the users' platform.
#pragma once

#include "http_host.h"

#include <cstdint>
#include <string>

namespace auburnhaven::standins {

/** What a worker tells of itself in an answer. */
struct WorkerSelf
{
  std::string id_;            ///< Its name.
  std::uint32_t running_ = 0; ///< Requests that it runs.
  std::uint32_t slots_ = 1;   ///< Requests that it can run at once.
  bool leaving_ = false;      ///< Whether it is about to stop.
};

/**
 * @param aExchange The request.
 * @param aFurther Further headers.
 * @return Headers of a rejection, with the identifier of the request if it has
 * one.
 */
inline HeaderList
rejectionHeaders(const Exchange& aExchange, HeaderList aFurther)
{
  const std::string attempt = aExchange.header("X-Attempt-Id");
  if (!attempt.empty()) {
    aFurther.emplace_back("X-Attempt-Id", attempt);
  }
  return aFurther;
}

/**
 * @param aExchange The request.
 * @param aSelf The worker.
 * @return Headers that show whose answer it is and what the worker tells.
 */
inline HeaderList
answerHeaders(const Exchange& aExchange, const WorkerSelf& aSelf)
{
  HeaderList headers = { { "X-Attempt-Id", aExchange.header("X-Attempt-Id") },
                         { "X-Origin-Signature", "signed." + aSelf.id_ },
                         { "X-Backend-Load",
                           std::to_string(aSelf.running_) + ",0," +
                             std::to_string(aSelf.slots_) } };
  if (aSelf.leaving_) {
    headers.emplace_back("Server-Leaving", "1");
  }
  return headers;
}

} // namespace auburnhaven::standins
