// Faults that a test or demo injects into one stand-in.
#pragma once

#include "http_host.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace auburnhaven::standins {

/** Faults of one stand-in. Lives on its thread. */
struct FaultControls
{
  bool down_ = false;             ///< Answers 503: certainly not done.
  bool dead_ = false;             ///< Closes connections without an answer.
  bool paused_ = false;           ///< Answers nothing until resumed.
  std::uint32_t delayMs_ = 0;     ///< Delay before each call is handled.
  std::uint32_t loseAnswers_ = 0; ///< Next calls that run and answer nothing.
  std::uint32_t slowPermille_ = 1000; ///< Time of a token, 1000 is normal.
  std::uint32_t loadMs_ = 0;       ///< Time to load a model, 0 for the option.
  std::uint32_t reportLagMs_ = 50; ///< Age of the load that reports carry.
  bool operator==(const FaultControls&) const = default;
};

/** @return The faults as JSON, one key each. */
nlohmann::json
toJson(const FaultControls& aFaults);

/**
 * Sets the faults that a JSON object names; throws nlohmann's exceptions when
 * it has the wrong shape.
 * @param aJson The object.
 * @param aFaults Takes the values.
 */
void
setFaults(const nlohmann::json& aJson, FaultControls& aFaults);

/**
 * Lets a call through the faults.
 * @param aExchange The call.
 * @param aFaults Faults of the stand-in; watched while waiting.
 * @return Whether to handle the call; it has been answered or dropped if not.
 */
bool
passFaults(Exchange& aExchange, const FaultControls& aFaults);

/**
 * Uses up one lost answer.
 * @param aFaults Faults of the stand-in.
 * @return Whether the answer of this call is lost.
 */
bool
takeLostAnswer(FaultControls& aFaults);

} // namespace auburnhaven::standins
