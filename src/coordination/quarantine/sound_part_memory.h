// Remembers with which parts of prompts targets have answered of late.
#pragma once

#include "state/prompt_part_func.h"
#include "state/time_type.h"

#include <cstddef>
#include <map>
#include <optional>

namespace auburnhaven::coordination {

/**
 * Remembers when targets last answered with a part, from before anything is
 * under suspicion. Answers from before the first crash tell the parts that all
 * requests have in common from the one that ends targets. Parts that are used
 * often stay, whatever else comes. Not thread-safe.
 */
class SoundPartMemory
{
public:
  /**
   * @param aRetention How long a part is remembered at least, unless too many
   * come.
   * @param aMaxParts Parts after which the oldest are forgotten sooner.
   */
  SoundPartMemory(state::Duration aRetention, std::size_t aMaxParts);

  /**
   * @param aParts Parts of a request that a target has answered.
   * @param aAt When it began to answer.
   * @param aNow The present time.
   */
  void note(const state::PromptParts& aParts,
            state::TimePoint aAt,
            state::TimePoint aNow);
  /** @param aPart A part. @return When a target last began an answer with it;
   * nothing if that is unknown. */
  std::optional<state::TimePoint> lastAt(state::PromptPartId aPart) const;

private:
  using Times = std::map<state::PromptPartId, state::TimePoint>; ///< By part.

  const state::Duration retention_; ///< Length of a generation.
  const std::size_t maxParts_;      ///< Parts of a generation.
  Times latest_;                    ///< Parts noted since latestFrom_.
  Times earlier_;                   ///< Those of the generation before.
  state::TimePoint latestFrom_{};   ///< When the present generation began.
};

} // namespace auburnhaven::coordination
