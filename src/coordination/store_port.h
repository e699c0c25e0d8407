// Interface to the platform's key-value store.
#pragma once

#include "state/id_type.h"
#include "state/revision_type.h"
#include "state/time_type.h"

#include <functional>
#include <string>

namespace auburnhaven::coordination {

/** Status of a store call. */
enum class StoreStatus : std::uint8_t
{
  kOk,          ///< Succeeded.
  kNotFound,    ///< The key does not exist.
  kConflict,    ///< The key has another revision or the lease another holder;
                ///< nothing changed.
  kUnavailable, ///< Failed; certainly had no effect.
  kUnknown,     ///< May have taken effect; the reply was lost.
};

/** Reply of the store to a get, compare-and-swap or watch. */
struct StoreReply
{
  StoreStatus status_ = StoreStatus::kUnavailable; ///< Status of the call.
  std::string value_;        ///< Value; set for get and watch.
  state::Revision revision_; ///< Revision of the key after the call.
  bool operator==(const StoreReply&) const = default;
};

/** Reply of the store to a lease call. */
struct LeaseReply
{
  StoreStatus status_ =
    StoreStatus::kUnavailable; ///< kConflict if another holder has the lease.
  std::string holder_;         ///< Holder after the call, if known.
  std::uint64_t number_ =
    0; ///< Lease number; grows with each change of the holder.
  bool operator==(const LeaseReply&) const = default;
};

/** Priority of calls that the call limit delays, highest first. */
enum class StorePriority : std::uint8_t
{
  kLease,
  kClaim,
  kAssignment,
  kConfiguration,
  kOther,
};

/**
 * The platform's key-value store. Control thread only. No call blocks; each
 * handler is called exactly once, after the call returned and on the control
 * thread, also after a timeout.
 */
class Store
{
public:
  using ReplyHandler =
    std::function<void(const StoreReply&)>; ///< Receives the reply.
  using LeaseHandler = std::function<void(
    const LeaseReply&)>; ///< Receives the reply to a lease call.

  virtual ~Store() = default;
  /**
   * Reads a key.
   * @param aKey Key to read.
   * @param aPriority Priority under the call limit.
   * @param aHandler Receives kOk, kNotFound or kUnavailable.
   */
  virtual void get(const std::string& aKey,
                   StorePriority aPriority,
                   ReplyHandler aHandler) = 0;
  /**
   * Writes a key if it has the expected revision.
   * @param aKey Key to write.
   * @param aExpected Expected revision; 0 if the key must not exist.
   * @param aValue New value, at most one megabyte.
   * @param aPriority Priority under the call limit.
   * @param aHandler Receives kOk, kConflict, kUnavailable or kUnknown.
   */
  virtual void compareAndSwap(const std::string& aKey,
                              state::Revision aExpected,
                              std::string aValue,
                              StorePriority aPriority,
                              ReplyHandler aHandler) = 0;
  /**
   * Waits until a key has a revision above the given one. Counts as one call in
   * flight while it waits.
   * @param aKey Key to watch.
   * @param aAfter Revision already known.
   * @param aTimeout Maximum wait; on timeout the status is kNotFound.
   * @param aHandler Receives kOk with the latest value, kNotFound or
   * kUnavailable.
   */
  virtual void watch(const std::string& aKey,
                     state::Revision aAfter,
                     state::Duration aTimeout,
                     ReplyHandler aHandler) = 0;
  /**
   * Acquires or renews a lease.
   * @param aName Name of the lease.
   * @param aHolder Name of the requesting holder.
   * @param aTimeToLive How long the store keeps the lease, counted from the
   * time at which the store replies.
   * @param aHandler Receives the reply.
   */
  virtual void acquireLease(const std::string& aName,
                            const std::string& aHolder,
                            state::Duration aTimeToLive,
                            LeaseHandler aHandler) = 0;
  /**
   * Releases a lease if the holder still has it.
   * @param aName Name of the lease.
   * @param aHolder Name of the holder.
   * @param aHandler Receives the reply.
   */
  virtual void releaseLease(const std::string& aName,
                            const std::string& aHolder,
                            LeaseHandler aHandler) = 0;
};

} // namespace auburnhaven::coordination
