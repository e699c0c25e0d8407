// Lease of a duty, with an authority that ends before the store's lease.
#pragma once

#include "coordination/store_port.h"
#include "state/time_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** Times of a lease. */
struct LeaseTiming
{
  state::Duration timeToLive_ =
    std::chrono::seconds(10); ///< Time to live in the store.
  state::Duration renewal_ = std::chrono::seconds(3); ///< Period of renewals.
  state::Duration margin_ = std::chrono::seconds(
    2); ///< How much earlier the holder's own authority ends.
  state::Duration retryPause_ =
    std::chrono::seconds(1); ///< Pause before a failed renewal is repeated.
  bool operator==(const LeaseTiming&) const = default;
};

/**
 * Keeps a lease while asked to. The own authority counts from before the
 * request was sent and ends a margin earlier than the store's lease, so that it
 * is over before the store gives the lease to another. Control thread only.
 */
class LeaderLease
{
public:
  using DoneHandler = std::function<void()>; ///< Called when a call has ended.
  using HolderHandler =
    std::function<void(const std::string&)>; ///< Takes another holder's name.

  /**
   * @param aClock Monotonic clock.
   * @param aStore The store.
   * @param aName Name of the lease.
   * @param aHolder Name of this process, unique to its start.
   * @param aLimits Limits.
   */
  LeaderLease(state::Clock& aClock,
              Store& aStore,
              std::string aName,
              std::string aHolder,
              const LeaseTiming& aLimits);

  /** @param aHandler Called when the store says that another holder has it. */
  void onHeldByOther(HolderHandler aHandler)
  {
    takenHandler_ = std::move(aHandler);
  }
  /**
   * Renews the lease, or tries to get it, when the time has come.
   * @param aPeriod Period of attempts while the lease is not held; none to not
   * try.
   */
  void tick(std::optional<state::Duration> aPeriod);
  /** @return Whether this process has the authority now. */
  bool holds() const;
  /** @return When the present authority ends, unless it is renewed. */
  state::TimePoint holdsUntil() const { return until_; }
  /** @return When the present authority began. Precondition: holds(). */
  state::TimePoint heldSince() const;
  /** @return Number under which the lease was last held; grows with each change
   * of the holder. */
  std::uint64_t number() const;
  /** @return When the store last answered. */
  state::TimePoint lastReplyTime() const;
  /**
   * Gives the lease back and never takes it again.
   * @param aHandler Called when the store has answered or failed.
   */
  void release(DoneHandler aHandler);

private:
  void request();
  void takeAnswer(const LeaseReply& aReply, state::TimePoint aSentAt);

  state::Clock& clock_;            ///< Monotonic clock.
  Store& store_;                   ///< The store.
  std::string name_;               ///< Name of the lease.
  std::string holder_;             ///< Name of this process.
  LeaseTiming limits_;             ///< Limits.
  HolderHandler takenHandler_;     ///< Told of another holder.
  bool underWay_ = false;          ///< Whether a request is under way.
  bool stopped_ = false;           ///< Whether the lease was given back.
  std::uint64_t number_ = 0;       ///< Number under which it was last held.
  state::TimePoint until_{};       ///< End of the own authority.
  state::TimePoint since_{};       ///< Start of the own authority.
  state::TimePoint nextRequest_{}; ///< When to ask again.
  state::TimePoint lastAnswer_{};  ///< When the store last answered.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

} // namespace auburnhaven::coordination
