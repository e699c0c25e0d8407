// Leader lease whose local authority ends before the lease in the store.
#pragma once

#include "coordination/store_port.h"
#include "state/time_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** Timing of a lease. */
struct LeaseTiming
{
  state::Duration timeToLive_ =
    std::chrono::seconds(10); ///< Time to live of the lease in the store.
  state::Duration renewal_ =
    std::chrono::seconds(3); ///< Interval between renewals.
  state::Duration margin_ = std::chrono::seconds(
    2); ///< How long before the lease in the store the local authority ends.
  state::Duration retryPause_ =
    std::chrono::seconds(1); ///< Delay before the retry of a failed renewal.
  bool operator==(const LeaseTiming&) const = default;
};

/**
 * Acquires and renews a lease in the store. The local authority is counted from
 * the time at which the request was sent and ends a safety margin before the
 * lease in the store, so that it is over before the store can grant the lease
 * to another holder. Control thread only.
 */
class LeaderLease
{
public:
  using DoneHandler =
    std::function<void()>; ///< Called when a release has ended.
  using HolderHandler = std::function<void(
    const std::string&)>; ///< Receives the name of another holder.

  /**
   * @param aClock Monotonic clock; outlives this object.
   * @param aStore Store that grants the lease; outlives this object.
   * @param aName Name of the lease in the store.
   * @param aHolder Holder name of this process; unique across restarts.
   * @param aTiming Timing of the lease.
   */
  LeaderLease(state::Clock& aClock,
              Store& aStore,
              std::string aName,
              std::string aHolder,
              const LeaseTiming& aTiming);

  /** @param aHandler Called when the store reports another holder. */
  void onHeldByOther(HolderHandler aHandler)
  {
    holderHandler_ = std::move(aHandler);
  }
  /**
   * Renews the lease, or tries to acquire it, if this is due.
   * @param aAttemptInterval Interval between attempts while the lease is not
   * held; std::nullopt to make no attempts.
   */
  void tick(std::optional<state::Duration> aAttemptInterval);
  /** @return Whether this process has the authority at present. */
  bool holds() const;
  /** @return When the current authority ends unless it is renewed. */
  state::TimePoint holdsUntil() const { return authorityEnd_; }
  /** @return When the current authority began. Precondition: holds(). */
  state::TimePoint heldSince() const;
  /** @return Number under which the lease was last held; grows with each change
   * of the holder. */
  std::uint64_t number() const;
  /** @return When the store last replied to a lease request. */
  state::TimePoint lastReplyTime() const;
  /** Renews the lease at once, to learn whether the store answers. Does nothing
   * while a request is in flight or without the lease. */
  void probe();
  /**
   * @return Whether the store answers: it has answered of late, and no request
   * has waited for long.
   */
  bool isAnswered() const;
  /**
   * Extends the current authority without the store; does nothing when it has
   * ended.
   * @param aUntil New end, unless the present one is later.
   */
  void extend(state::TimePoint aUntil);
  /**
   * Takes over the authority that its holder has handed over without the store.
   * Does nothing while this process has authority or after release().
   * @param aNumber Number of the holder's lease.
   * @param aUntil End of the authority unless it is extended.
   */
  void assume(std::uint64_t aNumber, state::TimePoint aUntil);
  /** Ends the authority at once, because another process holds the lease. */
  void yield() { authorityEnd_ = {}; }
  /**
   * Releases the lease and never acquires it again.
   * @param aHandler Called when the store has replied or the call has failed.
   */
  void release(DoneHandler aHandler);

private:
  void request();
  void handleReply(const LeaseReply& aReply, state::TimePoint aSentAt);

  state::Clock& clock_;               ///< Clock.
  Store& store_;                      ///< Store.
  std::string name_;                  ///< Name of the lease.
  std::string holder_;                ///< Holder name of this process.
  LeaseTiming timing_;                ///< Timing.
  HolderHandler holderHandler_;       ///< Called on another holder.
  bool requestInFlight_ = false;      ///< Whether a request is in flight.
  bool released_ = false;             ///< Whether release() was called.
  std::uint64_t number_ = 0;          ///< Lease number when last held.
  state::TimePoint authorityEnd_{};   ///< End of the local authority.
  state::TimePoint authorityStart_{}; ///< Start of the local authority.
  state::TimePoint requestedAt_{};    ///< When the latest request was sent.
  state::TimePoint nextRequest_{};    ///< Earliest time of the next request.
  state::TimePoint lastReplyTime_{};  ///< When the store last replied.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(
    true); ///< Expires with this object; late callbacks then do nothing.
};

} // namespace auburnhaven::coordination
