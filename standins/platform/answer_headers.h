// Headers of a worker's answer on the users' platform.
#pragma once

#include "http_host.h"

#include <cstdint>
#include <string>

namespace auburnhaven::standins {

/**
 * @param aExchange The request.
 * @param aWorker Name of the worker.
 * @param aRunning Requests that it runs.
 * @param aSlots Requests that it can run at once.
 * @return Headers that show whose answer it is and the worker's load.
 */
inline HeaderList
answerHeaders(const Exchange& aExchange,
              const std::string& aWorker,
              std::uint32_t aRunning,
              std::uint32_t aSlots)
{
  return { { "X-Attempt-Id", aExchange.header("X-Attempt-Id") },
           { "X-Origin-Signature", "signed." + aWorker },
           { "X-Backend-Load",
             std::to_string(aRunning) + ",0," + std::to_string(aSlots) } };
}

} // namespace auburnhaven::standins
