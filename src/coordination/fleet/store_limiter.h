// Limits the rate of calls that all daemons together make to the store.
#pragma once

#include "coordination/fleet/membership.h"
#include "coordination/store_port.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace auburnhaven::coordination {

/** Counts of calls with one priority. */
struct StoreCallCounts
{
  std::uint64_t sent_ = 0; ///< Calls sent to the store.
  std::uint64_t held_ = 0; ///< Calls that were queued.
  std::uint64_t failed_ =
    0; ///< Queued calls that were answered with kUnavailable.
};

/** Number of daemons of a zone and the store call rates that they need, in
 * calls per second. */
struct StoreDemand
{
  std::size_t daemons_ = 1; ///< Live daemons of the zone.
  double declared_ = 0; ///< Sum of the rates that busy daemons have declared.
  double own_ = 0;      ///< Rate that this daemon has declared.
  bool operator==(const StoreDemand&) const = default;
};

/**
 * Rate-limits this daemon's calls to the store by a token bucket, whose rate is
 * this daemon's share of the rate of all daemons. A part of the total rate is
 * divided evenly; the rest goes to the daemons that declare a greater demand.
 * Calls above the share are queued and sent in order of priority; they fail
 * with kUnavailable when they wait too long or when too many are queued. Lease
 * calls are never queued. Control thread only.
 */
class StoreLimiter : public Store
{
public:
  static constexpr std::size_t kPriorities =
    5; ///< Number of values of StorePriority.

  /**
   * All arguments must outlive this object.
   * @param aSettings Rate limit of the store and number of zones that share it.
   * @param aClock Source of time.
   * @param aStore Store to send calls to.
   */
  StoreLimiter(const FleetSettings& aSettings,
               const state::Clock& aClock,
               Store& aStore);

  void get(const std::string& aKey,
           StorePriority aPriority,
           ReplyHandler aHandler) override;
  void compareAndSwap(const std::string& aKey,
                      state::Revision aExpected,
                      std::string aValue,
                      StorePriority aPriority,
                      ReplyHandler aHandler) override;
  void watch(const std::string& aKey,
             state::Revision aAfter,
             state::Duration aTimeout,
             ReplyHandler aHandler) override;
  void acquireLease(const std::string& aName,
                    const std::string& aHolder,
                    state::Duration aTimeToLive,
                    LeaseHandler aHandler) override;
  void releaseLease(const std::string& aName,
                    const std::string& aHolder,
                    LeaseHandler aHandler) override;

  /**
   * Updates the share of this daemon, fails queued calls that have waited too
   * long and sends queued calls within the share. Call at each tick.
   * @param aDemand Demand of the daemons of the zone.
   */
  void tick(const StoreDemand& aDemand);
  /** @return Smoothed rate of calls that this daemon requested, in calls per
   * second. */
  double demand() const { return demand_; }
  /**
   * @param aDaemons Live daemons of the zone.
   * @return Calls per second that each daemon may make without declaring a
   * demand.
   */
  double evenShare(std::size_t aDaemons) const;
  /** @return Sustained rate that this daemon may use, in calls per second. */
  double share() const { return share_; }
  /** @return Counts by priority. */
  const std::array<StoreCallCounts, kPriorities>& counts() const
  {
    return counts_;
  }

private:
  /** A call that waits for a token. */
  struct QueuedCall
  {
    state::TimePoint deadline_{}; ///< When it fails if it has not been sent.
    std::function<void()> send_;  ///< Sends the call.
    std::function<void()> fail_;  ///< Answers the call with kUnavailable.
  };

  void call(StorePriority aPriority,
            std::function<void()> aSend,
            std::function<void()> aFail);
  void sendQueued();
  void failExpired();

  const FleetSettings& settings_; ///< Rate limit of the store.
  const state::Clock& clock_;     ///< Source of time.
  Store& store_;                  ///< Store to send calls to.
  double share_ = 1;              ///< Sustained rate, in calls per second.
  double tokens_ = 0; ///< Calls that may be sent now; negative after lease
                      ///< calls above the share.
  double demand_ =
    0; ///< Smoothed rate of requested calls, in calls per second.
  std::uint32_t requested_ = 0;   ///< Calls requested since the last tick.
  state::TimePoint refilledAt_{}; ///< When tokens_ was refilled.
  std::array<std::deque<QueuedCall>, kPriorities>
    queues_; ///< Queued calls by priority.
  std::array<StoreCallCounts, kPriorities> counts_; ///< Counts by priority.
};

} // namespace auburnhaven::coordination
