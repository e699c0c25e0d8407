// How fast a copy of a model works, from its service's figures.
#pragma once

#include "state/instance_type.h"
#include "state/routing_type.h"

namespace auburnhaven::coordination {

/** Tokens of a request. */
struct RequestTokens
{
  std::uint32_t prompt_ = 0; ///< Tokens of the prompt.
  std::uint32_t answer_ = 0; ///< Most tokens of the answer.
  bool operator==(const RequestTokens&) const = default;
};

/**
 * Time to read a prompt while nothing else runs. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @param aTokens Tokens of the prompt.
 * @return The time.
 */
state::FloatMs
prefillTime(const state::EngineSpec& aEngine,
            const state::ModelSpec& aModel,
            std::uint32_t aTokens);

/**
 * Time of one token step of a copy. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @param aRunning Requests that write.
 * @return The time.
 */
state::FloatMs
decodeStepTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               std::uint32_t aRunning);

/**
 * Time of the token steps of one pass of a copy over its requests. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @param aRunning Requests that write.
 * @return The time; nothing when none writes.
 */
state::FloatMs
decodePassTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               std::uint32_t aRunning);

/**
 * Time that a copy takes to read a prompt between the token steps of its
 * requests. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @param aRunning Requests that write.
 * @param aTokens Tokens of the prompt.
 * @return The time.
 */
state::FloatMs
interleavedPrefillTime(const state::EngineSpec& aEngine,
                       const state::ModelSpec& aModel,
                       std::uint32_t aRunning,
                       std::uint32_t aTokens);

/**
 * Time that a usual request holds a slot of a full copy, with its share of the
 * other requests' prompts. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @return The time.
 */
state::FloatMs
typicalSlotTime(const state::EngineSpec& aEngine,
                const state::ModelSpec& aModel);

/**
 * Part of a copy's time that the prompts of its requests take. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @param aRunning Requests that hold a slot.
 * @return The part, below 1.
 */
double
prefillShare(const state::EngineSpec& aEngine,
             const state::ModelSpec& aModel,
             std::uint32_t aRunning);

/**
 * Time until a new request's first event at a copy under load: the wait for a
 * slot, then its prompt among the steps of the others. Pure.
 * @param aEngine The service.
 * @param aModel The model.
 * @param aLoad Load of the copy without the request.
 * @param aPrompt Tokens of the request's prompt.
 * @return The time.
 */
state::FloatMs
firstEventTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               const state::TargetLoad& aLoad,
               std::uint32_t aPrompt);

} // namespace auburnhaven::coordination
