// Holds the calls to the store of all daemons together under its rates.
#pragma once

#include "coordination/fleet/membership.h"
#include "coordination/store_port.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace auburnhaven::coordination {

/** Calls of one importance. */
struct StoreCallCounts
{
  std::uint64_t sent_ = 0;   ///< Calls passed on.
  std::uint64_t held_ = 0;   ///< Calls that had to wait.
  std::uint64_t failed_ = 0; ///< Calls answered kUnavailable after waiting.
};

/** What the daemons of a zone want of the store. */
struct StoreDemand
{
  std::size_t daemons_ = 1; ///< Live daemons of the zone.
  double declared_ = 0;     ///< Sum of what busy daemons have declared.
  double own_ = 0;          ///< What this daemon has declared.
  bool operator==(const StoreDemand&) const = default;
};

/**
 * Passes calls on to the store under this daemon's share of the store's rate.
 * A part of the rate is shared out evenly; the rest goes to the daemons that
 * declare a greater demand. What is above the share waits and goes out in the
 * order of importance. Calls on leases never wait. Control thread only.
 */
class StoreLimiter : public Store
{
public:
  static constexpr std::size_t kPriorities = 5; ///< Number of importances.

  /**
   * All arguments must outlive this object.
   * @param aSettings Rates of the store.
   * @param aClock Source of time.
   * @param aStore The store.
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
   * Sets the share of this daemon and sends what may go. Call at each tick.
   * @param aDemand What the daemons of the zone want.
   */
  void tick(const StoreDemand& aDemand);
  /** @return Calls a second that this daemon lately wanted to make. */
  double demand() const { return demand_; }
  /**
   * @param aDaemons Live daemons of the zone.
   * @return Calls a second that each daemon has without declaring anything.
   */
  double evenShare(std::size_t aDaemons) const;
  /** @return Calls a second that this daemon may make for long. */
  double share() const { return share_; }
  /** @return Counts by importance. */
  const std::array<StoreCallCounts, kPriorities>& counts() const
  {
    return counts_;
  }

private:
  /** A call that waits. */
  struct Waiting
  {
    state::TimePoint until_{};   ///< When it fails.
    std::function<void()> send_; ///< Passes it on.
    std::function<void()> fail_; ///< Answers kUnavailable.
  };

  void call(StorePriority aPriority,
            std::function<void()> aSend,
            std::function<void()> aFail);
  void sendWaiting();
  void failOverdue();

  const FleetSettings& settings_; ///< Rates of the store.
  const state::Clock& clock_;     ///< Source of time.
  Store& store_;                  ///< The store.
  double share_ = 1;              ///< Calls a second.
  double tokens_ = 0;             ///< Calls that may be made now.
  double demand_ = 0;             ///< Calls a second wanted lately.
  std::uint32_t wanted_ = 0;      ///< Calls wanted since the last tick.
  state::TimePoint refilledAt_{}; ///< When tokens_ was refilled.
  std::array<std::deque<Waiting>, kPriorities>
    waiting_; ///< Calls that wait by importance.
  std::array<StoreCallCounts, kPriorities> counts_; ///< Counts by importance.
};

} // namespace auburnhaven::coordination
