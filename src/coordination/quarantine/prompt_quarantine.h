// Sets of prompt parts whose requests are not sent to targets.
#pragma once

#include "state/prompt_part_func.h"
#include "state/time_type.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <vector>

namespace auburnhaven::coordination {

/** A set of parts in quarantine. */
struct QuarantinedParts
{
  state::PromptParts parts_;    ///< The parts, in ascending order.
  state::Duration remaining_{}; ///< Time until the quarantine ends.
  bool operator==(const QuarantinedParts&) const = default;
};

/**
 * Holds the sets of parts that have ended targets. A request whose prompt has
 * all parts of a set must not be sent. Each quarantine ends by itself, since a
 * newer version of the targets may bear the parts. Thread-safe.
 */
class PromptQuarantine
{
public:
  static constexpr std::chrono::minutes kDuration{
    10
  }; ///< Length of a quarantine.

  /** @param aClock Clock; outlives this object. */
  explicit PromptQuarantine(const state::Clock& aClock);

  /**
   * Adds a set; the end of a known one stays.
   * @param aSet Its parts, at least one; and the remaining time, of which
   * kDuration at most counts.
   * @return Whether it was not known.
   */
  bool add(const QuarantinedParts& aSet);
  /** @param aParts Parts of a set that ends now, in ascending order. @return
   * Whether it was known. */
  bool lift(const state::PromptParts& aParts);
  /** @param aPrompt Parts of a request. @return Whether the request must
   * not be sent. */
  bool blocks(const state::PromptParts& aPrompt) const;
  /** @return Whether there are no sets, so that nothing is blocked. */
  bool isEmpty() const { return empty_; }
  /** @return All sets that have not ended. */
  std::vector<QuarantinedParts> sets() const;

private:
  void eraseEnded();

  const state::Clock& clock_; ///< Clock.
  std::atomic<bool> empty_{
    true
  }; ///< Whether there are no sets; checked without lock.
  mutable std::mutex mutex_; ///< Guards the following member.
  std::map<state::PromptParts, state::TimePoint> ends_; ///< End of each set.
};

} // namespace auburnhaven::coordination
