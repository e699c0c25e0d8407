// Follows the configuration and the registered instances in the store.
#pragma once

#include "coordination/prefix_store_port.h"
#include "state/event_log.h"
#include "state/instance_type.h"
#include "state/routing_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburnhaven::coordination {

/** Decodes the values that other processes write to the store. Thread-safe. */
class RoutingCodec
{
public:
  virtual ~RoutingCodec() = default;
  /**
   * @param aText Value of the configuration key.
   * @return The configuration, or nothing when it cannot be decoded.
   */
  virtual std::optional<state::DecodedRouting> decodeConfig(
    const std::string& aText) const = 0;
  /**
   * @param aVm VM that the entry belongs to.
   * @param aText Value of its key.
   * @return The instance, or nothing when the entry describes no usable one.
   */
  virtual std::optional<state::Instance> decodeInstance(
    const state::VmId& aVm,
    const std::string& aText) const = 0;
};

/** The shared entries of the store, which every daemon must know: the
 * configuration and the plain instances (those that run no model engine). */
struct StoreSnapshot
{
  state::Revision at_; ///< Store revision that the snapshot reflects.
  std::string config_; ///< Configuration text; empty when the receiver has it
                       ///< already or gets it another way.
  std::map<state::VmId, std::string> plainInstances_; ///< Store entries of all
                                                      ///< plain instances.
  bool operator==(const StoreSnapshot&) const = default;
};

/** How quickly changes must be noticed; higher urgency costs more store calls.
 */
enum class FollowerUrgency : std::uint8_t
{
  kLow,    ///< The daemon only sends requests.
  kNormal, ///< The daemon coordinates a zone.
  kHigh,   ///< Replicas are changing, or no configuration is known yet.
};

/** Settings of the store follower. */
struct FollowerSettings
{
  std::string configKey_;      ///< Key of the configuration.
  std::string instancePrefix_; ///< Key prefix of the registered instances.
  std::string daemonPrefix_;   ///< Key prefix of the registered daemons.
  state::Duration watchTimeout_ =
    std::chrono::milliseconds(1500); ///< Longest wait of one watch call.
  state::Duration coordinatorWatchTimeout_ =
    std::chrono::milliseconds(300); ///< The same of a coordinator, which tells
                                    ///< others up to when it knows the store.
  state::Duration firstWatchTimeout_ =
    std::chrono::milliseconds(5000); ///< Longest wait of a watch for the first
                                     ///< configuration.
  state::Duration outageWatchTimeout_ =
    std::chrono::milliseconds(100); ///< Longest wait of one watch call during a
                                    ///< store outage, or while peers are heard.
  state::Duration lowUrgencyPause_ = std::chrono::milliseconds(
    800); ///< Pause from a reply with changes to the next call, so that further
          ///< changes are read together.
  state::Duration normalUrgencyPause_ =
    std::chrono::milliseconds(500); ///< The same pause at normal urgency.
  state::Duration highUrgencyPause_ =
    std::chrono::milliseconds(250); ///< The same pause at high urgency.
  state::Duration retryDelay_ =
    std::chrono::milliseconds(700); ///< Delay after the first failed call;
                                    ///< doubles with each further failure.
  state::Duration maxRetryDelay_ =
    std::chrono::milliseconds(1400); ///< Upper limit of the retry delay.
  state::Duration refreshPeriod_ =
    std::chrono::seconds(14); ///< Interval between reads of all changes while
                              ///< peers are heard.
  state::Duration confirmationLimit_ =
    std::chrono::milliseconds(1400); ///< Longest time without a read after the
                                     ///< latest moment up to which peers, or
                                     ///< this follower, know all changes.
  std::size_t largeConfigBytes_ =
    std::size_t{ 64 } * 1024; ///< Configurations of this size or larger are
                              ///< read separately from other changes while
                              ///< peers are heard.
  state::Duration peerFetchTimeout_{}; ///< How long to wait for an announced
                                       ///< change from a peer before reading
                                       ///< it from the store.
  state::Duration missingEntryGrace_ = std::chrono::milliseconds(
    2500); ///< How long entries missing after an outage stay in use.
  state::Duration localOutageThreshold_ = std::chrono::milliseconds(
    2500); ///< Outage duration beyond which the coordinators that are still
           ///< heard must have renewed their leases, so that only this daemon
           ///< was cut off from the store.
  bool operator==(const FollowerSettings&) const = default;
};

/**
 * Follows the store with a single watch and keeps the newest configuration and
 * the registered instances. The configuration version never decreases. Control
 * thread only.
 */
class StoreFollower
{
public:
  using ConfigHandler = std::function<void(
    const state::RoutingConfigPtr&)>; ///< Receives a newer configuration.
  using ReplacedHandler =
    std::function<void(state::Generation,
                       const std::string&,
                       state::Generation,
                       const std::string&)>; ///< Receives the old version and
                                             ///< its text, then the new version
                                             ///< and its text.
  using InstanceHandler = std::function<void(
    const state::InstanceMapPtr&)>; ///< Receives the instances after a change.
  using RestoreHandler =
    std::function<void()>; ///< Called when the store has returned to an older
                           ///< state, before its keys are applied.
  using KeyHandler =
    std::function<void(const std::string&, const std::optional<std::string>&)>;
  ///< Receives a changed daemon key and its value; no value when removed.

  /**
   * @param aClock Clock; outlives this object.
   * @param aStore The store; outlives this object.
   * @param aCodec Decodes values; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aSettings Keys, prefixes and timing.
   */
  StoreFollower(const state::Clock& aClock,
                PrefixStore& aStore,
                const RoutingCodec& aCodec,
                state::EventLog& aLog,
                FollowerSettings aSettings);
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  /** @param aHandler Called for each newer configuration. */
  void onConfig(ConfigHandler aHandler)
  {
    configHandler_ = std::move(aHandler);
  }
  /** @param aHandler Called before a newer configuration replaces another. */
  void onReplaced(ReplacedHandler aHandler)
  {
    replacedHandler_ = std::move(aHandler);
  }
  /** @param aHandler Called when instances have changed. */
  void onInstances(InstanceHandler aHandler)
  {
    instanceHandler_ = std::move(aHandler);
  }
  /** @param aHandler Called when the store has returned to an older state. */
  void onRestored(RestoreHandler aHandler)
  {
    restoreHandler_ = std::move(aHandler);
  }
  /** @param aHandler Called for each change under the daemons' key prefix. */
  void onDaemonKey(KeyHandler aHandler) { keyHandler_ = std::move(aHandler); }
  /**
   * Updates what is known of the peers that follow the store. While they are
   * heard, this follower reads from the store only the shared entries whose
   * change they announce, and all changes periodically.
   * @param aHeard Whether all required peers are currently heard.
   * @param aAnnounced Newest change of a shared entry that they announce.
   */
  void updatePeerStatus(bool aHeard, state::Revision aAnnounced);
  /**
   * Notes up to when the peers that are heard know all changes in the store.
   * They may live, and be heard, while the store serves this daemon but not
   * them.
   * @param aAsOf That time; an earlier one than noted before is ignored.
   */
  void noteConfirmed(state::TimePoint aAsOf)
  {
    confirmedAsOf_ = std::max(confirmedAsOf_, aAsOf);
  }
  /** @return Time up to which this follower has read all changes in the store.
   */
  state::TimePoint readAsOf() const { return readAsOf_; }
  /** @return Newest change of a shared entry that peers have announced. */
  state::Revision announcedRevision() const { return announcedRevision_; }
  /** @return Whether peers have announced a change that this follower has not
   * read. */
  bool isBehind() const
  {
    return listed_ && knownRevision() < announcedRevision_;
  }
  /** @return The shared entries without the text of the configuration; nothing
   * before the first list, without a configuration, or during a store outage.
   */
  std::optional<StoreSnapshot> snapshot() const;
  /** @return Newest revision up to which this follower knows the shared
   * entries. */
  state::Revision knownRevision() const
  {
    return std::max(readRevision_, snapshotRevision_);
  }
  /**
   * Applies a snapshot from a peer that follows the store. Only the
   * configuration is taken from one that is not newer than the entries known,
   * or that arrives before the first list.
   * @param aSnapshot The snapshot.
   */
  void offerSnapshot(const StoreSnapshot& aSnapshot);
  /**
   * @param aRevision A revision that a peer has named.
   * @return It, in the era that is known here when the peer names none, since
   * its version is an earlier one.
   */
  state::Revision inKnownEra(state::Revision aRevision) const
  {
    return aRevision.era() != state::StoreEra()
             ? aRevision
             : state::Revision(aRevision.value(), knownRevision().era());
  }
  /** @return Revision of the newest change of a shared entry: the configuration
   * or a plain instance. */
  state::Revision sharedRevision() const { return sharedRevision_; }
  /** @param aUrgency How quickly changes must be noticed. */
  void setUrgency(FollowerUrgency aUrgency) { urgency_ = aUrgency; }
  /** Starts the next call and applies expired deadlines. Call about every 50
   * ms. */
  void tick();
  /**
   * Takes a configuration that a peer has sent; one that is not newer than the
   * current version is ignored.
   * @param aText Value of the configuration key.
   */
  void offerConfig(const std::string& aText);

  /** @return Time since peers announced the oldest change that this follower
   * has not read; zero when it is up to date. */
  state::Duration behindFor() const;

  /** @return The newest configuration, or null. */
  const state::RoutingConfigPtr& config() const { return config_; }
  /** @return Text of the newest configuration. */
  const std::string& configText() const { return configText_; }
  /** @return The instances; never null. */
  const state::InstanceMapPtr& instances() const { return instances_; }
  /** @return Whether the newest call to the store failed. */
  bool hasOutage() const { return inOutage_; }
  /** @return Whether the keys have been listed once. */
  bool hasListed() const { return listed_; }

private:
  /** A change of shared entries that peers announced. */
  struct Announcement
  {
    state::Revision sharedRevision_; ///< Revision of the change.
    state::TimePoint heardAt_;       ///< When it was announced.
  };

  void watchFirstConfig();
  void onFirstConfigReply(const WatchReply& aReply);
  void list();
  void watch();
  state::Duration watchTimeout() const;
  void onListReply(const ListReply& aReply);
  void applyList(const ListReply& aReply);
  bool isOfLaterEra(state::Revision aRevision) const;
  void listConsistently();
  void noteRestored(state::Revision aAt);
  void onWatchReply(const WatchReply& aReply);
  bool mustReadByPrefix() const;
  void watchInstances();
  void watchDaemonKeys(state::Revision aInstancesAt);
  void readConfig(state::Revision aAt);
  void onConfigReply(const StoreReply& aReply, state::Revision aAt);
  bool applyPrefixReply(const WatchReply& aReply);
  void noteReply();
  void noteFailure(std::string_view aCall);
  void noteReadTo(state::Revision aAt);
  bool isCallDue() const;
  bool isConfirmed() const;
  bool isServedByPeers() const;
  bool isSharedEntry(const std::string& aKey,
                     const std::optional<std::string>& aValue) const;
  void apply(const std::string& aKey,
             const std::optional<std::string>& aValue,
             state::Revision aRevision);
  void adoptConfig(const std::string& aText, std::string_view aSource);
  void logNotes(const std::vector<state::InputError>& aNotes);
  void putInstance(const state::VmId& aVm, const std::string& aText);
  void removeInstance(const state::VmId& aVm);
  void eraseInstance(const state::VmId& aVm);
  void applyDaemonKey(const std::string& aKey,
                      const std::optional<std::string>& aValue);
  void removeMissing(const std::set<std::string>& aSeen);
  void eraseExpiredMissing();
  void publish();

  const state::Clock& clock_;       ///< Clock.
  PrefixStore& store_;              ///< The store.
  const RoutingCodec& codec_;       ///< Decodes values.
  state::EventLog& log_;            ///< Log.
  FollowerSettings settings_;       ///< Keys, prefixes and timing.
  ConfigHandler configHandler_;     ///< Receives newer configurations.
  ReplacedHandler replacedHandler_; ///< Receives replaced configurations.
  InstanceHandler instanceHandler_; ///< Receives changed instances.
  RestoreHandler restoreHandler_;   ///< Called when the store is older.
  KeyHandler keyHandler_;           ///< Receives changed daemon keys.
  state::RoutingConfigPtr config_;  ///< Newest configuration.
  std::string configText_;          ///< Its text.
  state::InstanceMap present_;      ///< Instances with all changes applied.
  state::InstanceMapPtr instances_ =
    std::make_shared<state::InstanceMap>(); ///< Instances as published.
  std::map<state::VmId, state::TimePoint>
    missing_; ///< Instances whose entries vanished in an outage, with the time
              ///< of their removal.
  std::set<std::string> daemonKeys_; ///< Existing daemon keys.
  bool changed_ = false; ///< Whether instances have unpublished changes.
  bool announcesExpiry_ = false; ///< Whether plain instances have left after a
                                 ///< grace period that peers don't know of yet.
  bool listed_ = false;          ///< Whether the keys have been listed once.
  bool awaitsConfig_ = true;     ///< Whether the store may not have the first
                             ///< configuration yet; until then no other entry
                             ///< is worth reading.
  bool mustList_ = true; ///< Whether the keys must be listed next.
  ListConsistency listConsistency_ =
    ListConsistency::kMayBeStale; ///< Consistency of the next list call.
  std::optional<ListReply>
    staleList_; ///< A possibly stale list, applied together with the changes of
                ///< the next watch.
  bool callInFlight_ = false; ///< Whether a call is in flight.
  FollowerUrgency urgency_ = FollowerUrgency::kNormal; ///< Current urgency.
  bool inOutage_ = false;          ///< Whether the newest call failed.
  state::TimePoint outageSince_{}; ///< When the first call failed.
  bool peersHeard_ = false;        ///< Whether all required peers are heard.
  bool peersFollowed_ = false; ///< Whether peers have known the store all the
                               ///< time since outageSince_.
  state::TimePoint confirmedAsOf_{}; ///< Up to when peers know all changes.
  state::TimePoint readAsOf_{}; ///< Up to when this follower knows them itself.
  state::TimePoint callSentAt_{};      ///< When the call in flight began.
  state::Revision announcedRevision_;  ///< Newest change that peers announced.
  std::deque<Announcement> announced_; ///< Announced changes not yet read, the
                                       ///< oldest first.
  state::Revision
    snapshotRevision_; ///< Revision of the newest snapshot of a peer.
  std::map<state::VmId, std::string>
    plainInstances_;               ///< Store entries of the plain instances.
  state::Revision sharedRevision_; ///< Newest change of a shared entry.
  state::Revision watchRevision_;  ///< Revision from which the watch continues.
  state::Revision readRevision_;   ///< Revision up to which the store has been
                                   ///< read, including the configuration.
  state::TimePoint nextCall_{};    ///< Earliest time of the next call.
  state::Duration retryDelay_{};   ///< Delay after the newest failure.
  state::TimePoint lastReplyAt_{}; ///< When the store last replied.
  state::TimePoint graceEndsAt_{}; ///< End of the grace period after an outage.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Expires with this object, so that pending
                                  ///< callbacks do nothing.
};

} // namespace auburnhaven::coordination
