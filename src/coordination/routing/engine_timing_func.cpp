// Estimates request timing of a replica from its service's engine settings.

#include "coordination/routing/engine_timing_func.h"

#include <algorithm>
#include <cmath>

namespace auburnhaven::coordination {

namespace {

constexpr double kMillion = 1e6; ///< Token pairs per unit of attention cost.
constexpr double kMaxPrefillShare =
  0.9; ///< Upper limit of the fraction of time spent on prefill.
constexpr double kThousand = 1e3; ///< Tokens per unit of context cost.

} // namespace

state::FloatMs
prefillTime(const state::EngineSpec& aEngine,
            const state::ModelSpec& aModel,
            std::uint32_t aTokens)
{
  const double tokens = aTokens;
  const double pairs = tokens * tokens / 2;
  const state::FloatMs linear(tokens / aEngine.promptTokensPerMs_);
  return (linear + aEngine.perMillionPairs_ * (pairs / kMillion)) *
         aModel.pace_;
}

state::FloatMs
decodeStepTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               std::uint32_t aRunning)
{
  const double context =
    (aEngine.usualPrompt_ + aEngine.usualAnswer_ / 2.0) / kThousand;
  const state::FloatMs perRequest =
    aEngine.stepPerRequest_ + aEngine.stepPerThousandContext_ * context;
  return (aEngine.step_ + perRequest * aRunning) * aModel.pace_;
}

state::FloatMs
decodePassTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               std::uint32_t aRunning)
{
  return aRunning == 0
           ? state::FloatMs(0)
           : decodeStepTime(aEngine, aModel, aRunning) * aEngine.stepsPerPass_;
}

state::FloatMs
silenceLimit(const state::EngineSpec& aEngine, const state::ModelSpec& aModel)
{
  constexpr double kPasses = 3; // A pass may also process prompts.
  return decodePassTime(aEngine, aModel, aEngine.batchSlots_) * kPasses;
}

state::FloatMs
interleavedPrefillTime(const state::EngineSpec& aEngine,
                       const state::ModelSpec& aModel,
                       std::uint32_t aRunning,
                       std::uint32_t aTokens)
{
  // Each step processes a limited number of prompt tokens; then each other
  // request generates one token.
  const double steps =
    std::ceil(static_cast<double>(aTokens) / aEngine.stepTokens_);
  const state::FloatMs decode = aRunning == 0
                                  ? state::FloatMs(0)
                                  : decodeStepTime(aEngine, aModel, aRunning);
  return prefillTime(aEngine, aModel, aTokens) + decode * steps;
}

state::FloatMs
typicalSlotTime(const state::EngineSpec& aEngine,
                const state::ModelSpec& aModel)
{
  const std::uint32_t slots = std::max(1U, aEngine.batchSlots_);
  const state::FloatMs decode =
    decodeStepTime(aEngine, aModel, slots) * aEngine.usualAnswer_;
  const state::FloatMs prefill =
    prefillTime(aEngine, aModel, aEngine.usualPrompt_);
  // While a request holds its slot, each of the other slots starts one new
  // request, whose prefill delays it.
  return decode + prefill * slots;
}

double
prefillShare(const state::EngineSpec& aEngine,
             const state::ModelSpec& aModel,
             std::uint32_t aRunning)
{
  // Prompts arrive at the rate at which slots are assigned.
  return std::min(kMaxPrefillShare,
                  prefillTime(aEngine, aModel, aEngine.usualPrompt_) *
                    aRunning / typicalSlotTime(aEngine, aModel));
}

state::FloatMs
firstEventTime(const state::EngineSpec& aEngine,
               const state::ModelSpec& aModel,
               const state::TargetLoad& aLoad,
               std::uint32_t aPrompt)
{
  const std::uint32_t slots = std::max(1U, aEngine.batchSlots_);
  const std::uint32_t ahead = aLoad.running_ + aLoad.waiting_;
  const state::FloatMs slotTime = typicalSlotTime(aEngine, aModel);
  const std::uint32_t running = std::min(ahead, slots);
  const std::uint32_t queued = ahead >= slots ? ahead - slots + 1 : 0;
  const state::FloatMs wait = slotTime * queued / slots;
  const double prefillFraction = prefillShare(aEngine, aModel, running);
  return wait + prefillTime(aEngine, aModel, aPrompt) / (1 - prefillFraction) +
         decodeStepTime(aEngine, aModel, running);
}

} // namespace auburnhaven::coordination
