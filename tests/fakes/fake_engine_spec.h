// Settings of a model engine for tests.
#pragma once

#include "state/routing_type.h"

namespace auburnhaven::fakes {

/** @return Engine settings with the times of a pass and of prefill, without
 * slots, models and usual sizes. */
inline state::EngineSpec
engineWithTimes()
{
  state::EngineSpec engine;
  engine.step_ = state::FloatMs(6.07);
  engine.stepPerRequest_ = state::FloatMs(0.241);
  engine.promptTokensPerMs_ = 46;
  return engine;
}

} // namespace auburnhaven::fakes
