// Prolongs the authority of a lease holder while the store is silent.
#pragma once

#include "coordination/leader_lease.h"
#include "state/endpoint_type.h"
#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace auburnhaven::coordination {

/** Timing of an extension of authority. */
struct ExtensionTiming
{
  state::Duration promise_ = std::chrono::milliseconds(
    1200); ///< How long a daemon promises not to acquire the lease.
  state::Duration margin_ =
    std::chrono::milliseconds(300); ///< How long before the promises the
                                    ///< authority of the holder ends.
  state::Duration interval_ =
    std::chrono::milliseconds(150); ///< Between two requests of the holder.
  state::Duration storeWait_ =
    std::chrono::milliseconds(150); ///< How long a daemon that is asked waits
                                    ///< for the store before it promises.
  bool operator==(const ExtensionTiming&) const = default;
};

/** A daemon's reply to a holder that asks for an extension. */
enum class ExtensionReply : std::uint8_t
{
  kPromised, ///< It does not try to acquire the lease for a while.
  kRefused,  ///< It knows a newer holder, or the store answers it.
};

/**
 * The holder's part: while the store does not answer its renewals, the holder
 * asks all daemons to promise not to acquire the lease. Its authority is
 * extended when more than half of them have promised and none has refused, for
 * less than the promises last. Authority that has ended is never extended.
 * Control thread only.
 */
class LeaseExtension
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aLease The lease; outlives this object.
   * @param aTiming Timing.
   */
  LeaseExtension(const state::Clock& aClock,
                 LeaderLease& aLease,
                 const ExtensionTiming& aTiming = {});

  /** @return Number of the request to send to all other daemons now, if one is
   * due. */
  std::optional<std::uint64_t> nextRequest();
  /**
   * Notes a reply.
   * @param aNumber Number of the request.
   * @param aFrom The daemon.
   * @param aReply Its reply.
   * @param aDaemons Number of all registered daemons, with this one.
   * @return Whether the authority is extended.
   */
  bool noteReply(std::uint64_t aNumber,
                 const state::Endpoint& aFrom,
                 ExtensionReply aReply,
                 std::size_t aDaemons);

  /** @return A daemon that may take over the authority when the holder stops
   * while the store is silent: one of those that promised last. */
  std::optional<state::Endpoint> heir() const;

private:
  const state::Clock& clock_;         ///< Clock.
  LeaderLease& lease_;                ///< The lease.
  const ExtensionTiming timing_;      ///< Timing.
  std::uint64_t number_ = 0;          ///< Number of the latest request.
  state::TimePoint askedAt_{};        ///< When it was sent.
  bool refused_ = false;              ///< Whether a daemon has refused it.
  std::set<state::Endpoint> granted_; ///< Daemons that have promised.
};

/**
 * The other daemons' part: the promises of this daemon, by zone. Control thread
 * only.
 */
class ExtensionPromises
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aTiming Timing.
   */
  explicit ExtensionPromises(const state::Clock& aClock,
                             const ExtensionTiming& aTiming = {});

  /**
   * Answers a holder's request.
   * @param aZone Zone of the lease.
   * @param aAuthority Number of the holder's lease.
   * @param aStoreAnsweredAt When the store last answered this daemon, which
   * should ask it now. A daemon that the store has answered since the holder's
   * first request refuses: it can be the coordinator and hear of changes.
   * @return The reply; a promise binds this daemon from now on. Nothing while
   * the store may still answer.
   */
  std::optional<ExtensionReply> answer(const state::ZoneId& aZone,
                                       std::uint64_t aAuthority,
                                       state::TimePoint aStoreAnsweredAt);
  /**
   * Decides whether this daemon takes over the authority of a holder that
   * stops.
   * @param aZone Zone of the lease.
   * @param aAuthority Number of the holder's lease.
   * @return When the authority ends unless it is extended; nothing without a
   * promise to this holder, since another one may have the authority.
   */
  std::optional<state::TimePoint> takeOver(const state::ZoneId& aZone,
                                           std::uint64_t aAuthority) const;
  /**
   * Notes a holder of a zone's lease.
   * @param aZone The zone.
   * @param aAuthority Number of its lease.
   */
  void noteAuthority(const state::ZoneId& aZone, std::uint64_t aAuthority);
  /**
   * @param aZone A zone.
   * @return Whether this daemon has promised not to acquire its lease.
   */
  bool isPromised(const state::ZoneId& aZone) const;

private:
  /** What is known of one zone. */
  struct Zone
  {
    std::uint64_t authority_ = 0;       ///< Greatest number of a lease.
    state::TimePoint firstRequestAt_{}; ///< First request of the present
                                        ///< series.
    state::TimePoint lastRequestAt_{};  ///< Latest request.
    state::TimePoint until_{};          ///< End of the promise.
  };

  const state::Clock& clock_;           ///< Clock.
  const ExtensionTiming timing_;        ///< Timing.
  std::map<state::ZoneId, Zone> zones_; ///< By zone.
};

} // namespace auburnhaven::coordination
