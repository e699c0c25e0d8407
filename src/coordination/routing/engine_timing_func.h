// Estimates request timing of a replica from its service's engine settings.
#pragma once

#include "state/instance_type.h"
#include "state/routing_type.h"

namespace auburnhaven::coordination {

/** Token counts of a request. */
struct RequestTokens
{
  std::uint32_t prompt_ = 0; ///< Tokens of the prompt.
  std::uint32_t answer_ = 0; ///< Maximum tokens of the response.
  bool operator==(const RequestTokens&) const = default;
};

/**
 * Estimates the time to process a prompt on an otherwise idle replica. Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @param aTokens Prompt length in tokens.
 * @return The prefill time.
 */
state::FloatMs
prefillTime(const state::EngineSpec& aEngine,
            const state::ModelSpec& aModel,
            std::uint32_t aTokens);

/**
 * Estimates the time of one decode step, which generates one token for each
 * running request. Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @param aRunning Requests in the decode phase.
 * @return The time of the step.
 */
state::FloatMs
decodeStepTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               std::uint32_t aRunning);

/**
 * Estimates the time of the decode steps in one scheduling pass of a replica.
 * Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @param aRunning Requests in the decode phase.
 * @return The time of all decode steps; zero when no request is decoding.
 */
state::FloatMs
decodePassTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               std::uint32_t aRunning);

/**
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @return Time without an event of any of its streams after which a replica may
 * have lost a member. Thread-safe.
 */
state::FloatMs
silenceLimit(const state::EngineSpec& aEngine, const state::ModelSpec& aModel);

/**
 * Estimates the time to process a prompt in chunks that alternate with decode
 * steps of the other requests. Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @param aRunning Requests in the decode phase.
 * @param aTokens Prompt length in tokens.
 * @return The time from the first chunk to the last decode step.
 */
state::FloatMs
interleavedPrefillTime(const state::EngineSpec& aEngine,
                       const state::ModelSpec& aModel,
                       std::uint32_t aRunning,
                       std::uint32_t aTokens);

/**
 * Estimates how long a typical request holds a slot of a fully loaded replica,
 * including its share of the prefill of other requests. Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @return The slot time.
 */
state::FloatMs
typicalSlotTime(const state::EngineSpec& aEngine,
                const state::ModelSpec& aModel);

/**
 * Estimates the fraction of a replica's time that is spent on prefill. Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @param aRunning Requests that hold a slot.
 * @return The fraction, below 1.
 */
double
prefillShare(const state::EngineSpec& aEngine,
             const state::ModelSpec& aModel,
             std::uint32_t aRunning);

/**
 * Estimates the time to the first event of a new request on a loaded replica:
 * the wait for a slot, then its prefill between decode steps of the others.
 * Pure.
 * @param aEngine Engine settings of the service.
 * @param aModel The model.
 * @param aLoad Load of the replica without the request.
 * @param aPrompt Prompt length of the request in tokens.
 * @return The time to the first event.
 */
state::FloatMs
firstEventTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               const state::TargetLoad& aLoad,
               std::uint32_t aPrompt);

} // namespace auburnhaven::coordination
