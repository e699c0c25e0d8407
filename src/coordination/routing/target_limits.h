// Rates of requests that targets have named as their limits.
#pragma once

#include "state/id_type.h"
#include "state/rate_limiter.h"
#include "state/time_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace auburnhaven::coordination {

/** What a response of a target said of its limit. */
struct TargetLimit
{
  state::VmId vm_; ///< The target.
  std::optional<double>
    perSecond_; ///< Requests a second of all daemons together; nothing when the
                ///< response named no limit.
  state::Duration age_{}; ///< Time since the response.
  bool operator==(const TargetLimit&) const = default;
};

/**
 * Keeps the limits that targets have named, and counts the requests under them.
 * A limit holds for all daemons together. The dispatcher of a target counts
 * with the whole limit; a daemon that gets no answer from it uses an even part
 * of a quarter of the limit. A limit ends with a response that names none, or
 * with another incarnation of the target. Not thread-safe.
 */
class TargetLimits
{
public:
  /** @param aClock Clock; outlives this object. */
  explicit TargetLimits(const state::Clock& aClock);

  /**
   * Notes what a response said; older responses than the newest are ignored.
   * @param aLimit Target, limit and age.
   * @param aBornAtMs Start of the target's registered incarnation; 0 when
   * unknown.
   */
  void note(const TargetLimit& aLimit, std::uint64_t aBornAtMs);
  /**
   * Notes the registered incarnation of a target, which ends the limit of an
   * earlier one.
   * @param aVm The target.
   * @param aBornAtMs Start of the incarnation; 0 when unknown, which ends
   * nothing.
   */
  void noteIncarnation(const state::VmId& aVm, std::uint64_t aBornAtMs);
  /** @param aDaemons Daemons that share the limits, at least 1. */
  void setDaemons(std::size_t aDaemons);

  /** @param aVm A target. @return Whether it has a limit. */
  bool isLimited(const state::VmId& aVm) const;
  /**
   * @param aVm A target.
   * @return Time until the dispatcher may place another request on it; zero or
   * less when it may now.
   */
  state::Duration placeableIn(const state::VmId& aVm);
  /** Counts a request that the dispatcher places. @param aVm The target. */
  void notePlaced(const state::VmId& aVm);
  /**
   * @param aVm A target.
   * @return Time until this daemon may send another request to it without its
   * dispatcher; zero or less when it may now.
   */
  state::Duration sendableIn(const state::VmId& aVm);
  /** Counts a request that this daemon sends without the dispatcher. @param aVm
   * The target. */
  void noteSent(const state::VmId& aVm);
  /**
   * @param aFits Selects targets.
   * @return What is known of their limits, the newest first, for the
   * dispatcher; limits that have just ended too.
   */
  std::vector<TargetLimit> known(
    const std::function<bool(const state::VmId&)>& aFits) const;

private:
  /** A target's limit. */
  struct Limit
  {
    std::optional<double> perSecond_; ///< The limit; nothing when it has ended.
    state::TimePoint saidAt_{};       ///< When it was said.
    std::uint64_t bornAtMs_ = 0;      ///< Incarnation; 0 when unknown.
    state::RateLimiter placed_;       ///< Counts requests of all daemons.
    state::RateLimiter sent_;         ///< Counts those without the dispatcher.
  };

  void setRates(Limit& aLimit) const;
  Limit* find(const state::VmId& aVm);
  void pruneExpired();

  const state::Clock& clock_;           ///< Clock.
  double daemons_ = 1;                  ///< Daemons that share the limits.
  std::map<state::VmId, Limit> limits_; ///< By target.
};

} // namespace auburnhaven::coordination
