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

/** Reads the values that others write into the store. Thread-safe. */
class RoutingCodec
{
public:
  virtual ~RoutingCodec() = default;
  /**
   * @param aText Value of the configuration's key.
   * @return The configuration, or nothing when it cannot be read.
   */
  virtual std::optional<state::RoutingConfig> decodeConfig(
    const std::string& aText) const = 0;
  /**
   * @param aVm The VM whose entry it is.
   * @param aText Value of its key.
   * @return The instance, or nothing when the entry names none to use.
   */
  virtual std::optional<state::Instance> decodeInstance(
    const state::VmId& aVm,
    const std::string& aText) const = 0;
};

/** What all daemons must read of the store. */
struct StoreNews
{
  state::Revision at_; ///< Revision of the store for which it holds.
  std::string config_; ///< Text of the configuration; empty when the reader has
                       ///< it or gets it otherwise.
  std::map<state::VmId, std::string> plains_; ///< Entries of all plain
                                              ///< instances.
  bool operator==(const StoreNews&) const = default;
};

/** How soon changes are wanted; sooner costs more calls. */
enum class FollowerPace : std::uint8_t
{
  kCalm,   ///< By a daemon that only sends requests.
  kUsual,  ///< By the coordinator of a zone.
  kUrgent, ///< While copies change, or before there is a configuration.
};

/** Settings of the follower. */
struct FollowerSettings
{
  std::string configKey_;      ///< Key of the configuration.
  std::string instancePrefix_; ///< Prefix of the registered instances.
  std::string ownPrefix_;      ///< Prefix of the daemons' own keys.
  state::Duration watchTimeout_ =
    std::chrono::milliseconds(1500); ///< Longest wait of one watch.
  state::Duration firstWatchTimeout_ =
    std::chrono::milliseconds(5000); ///< Longest wait of the watch for the
                                     ///< first configuration.
  state::Duration outageWatchTimeout_ = std::chrono::milliseconds(
    100); ///< The same while the store does not answer, or others are heard.
  state::Duration calmPause_ = std::chrono::milliseconds(
    800); ///< From one answer to the next watch; changes gather meanwhile.
  state::Duration pause_ =
    std::chrono::milliseconds(500); ///< The same for a coordinator.
  state::Duration urgentPause_ =
    std::chrono::milliseconds(250); ///< The same while changes are urgent.
  state::Duration failurePause_ =
    std::chrono::milliseconds(700); ///< After the first call that failed; twice
                                    ///< as long after each further one.
  state::Duration longestFailurePause_ =
    std::chrono::milliseconds(1400); ///< Longest such pause.
  state::Duration refreshPeriod_ =
    std::chrono::seconds(14); ///< While others are heard: between two readings
                              ///< of all changes.
  std::size_t largeConfigBytes_ =
    std::size_t{ 64 } * 1024; ///< Size of a configuration from which on its
                              ///< versions are not read with other changes.
  state::Duration peerPatience_{}; ///< How long news may come from a peer
                                   ///< before the store is asked for them.
  state::Duration returnGrace_ = std::chrono::milliseconds(
    2500); ///< After an outage: how long entries that are missing stay in use.
  state::Duration ownOutageProof_ = std::chrono::milliseconds(
    2500); ///< Outage after which coordinators that are heard must have renewed
           ///< their leases during it.
  bool operator==(const FollowerSettings&) const = default;
};

/**
 * Follows the store by one watch and keeps the newest configuration and the
 * instances. Versions of the configuration never go back. Control thread only.
 */
class StoreFollower
{
public:
  using ConfigHandler = std::function<void(
    const state::RoutingConfigPtr&)>; ///< Takes a newer configuration.
  using ReplacedHandler =
    std::function<void(state::Generation,
                       const std::string&,
                       state::Generation,
                       const std::string&)>; ///< Takes the old version with its
                                             ///< text, and the new one.
  using InstanceHandler = std::function<void(
    const state::InstanceMapPtr&)>; ///< Takes changed instances.
  using KeyHandler =
    std::function<void(const std::string&, const std::optional<std::string>&)>;
  ///< Takes a changed key of the daemons' own; no value when removed.

  /**
   * @param aClock Clock; outlives this object.
   * @param aStore The store; outlives this object.
   * @param aCodec Reads values; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aSettings Settings.
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
  /** @param aHandler Called for each change of the daemons' own keys. */
  void onOwnKey(KeyHandler aHandler) { keyHandler_ = std::move(aHandler); }
  /**
   * Tells what others that follow the store know of it. While they are heard,
   * this follower reads only the news that they announce, and all changes from
   * time to time.
   * @param aHeard Whether others are heard.
   * @param aNewsAt Revision of the newest change that they announce.
   */
  void setOthers(bool aHeard, state::Revision aNewsAt);
  /** @return Revision of the newest change that others announced. */
  state::Revision othersNewsAt() const { return othersNewsAt_; }
  /** @return Whether others have announced news that this follower lacks. */
  bool lacksNews() const { return listed_ && knownAt() < othersNewsAt_; }
  /** @return What another follower must know beside the configuration; nothing
   * while the store does not answer. */
  std::optional<StoreNews> news() const;
  /** @return Newest revision for which this follower has the news. */
  state::Revision knownAt() const { return std::max(newsReadAt_, toldAt_); }
  /**
   * Takes news from a peer that follows the store. Older ones than those known
   * change nothing; before the first list only the configuration is taken.
   * @param aNews The news.
   */
  void offerNews(const StoreNews& aNews);
  /** @return Revision of the newest change that all daemons must read: of the
   * configuration or of a plain instance. */
  state::Revision newsAt() const { return newsAt_; }
  /** @param aPace How soon changes are wanted. */
  void setPace(FollowerPace aPace) { pace_ = aPace; }
  /** Does what is due. Call each 50 ms or so. */
  void tick();
  /**
   * Takes a configuration that a peer has sent.
   * @param aText Value of the configuration's key.
   */
  void offerConfig(const std::string& aText);

  /** @return How long ago the oldest news were announced that this follower
   * lacks; zero when it lacks none. */
  state::Duration lackedFor() const;

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
  /** News that others announced. */
  struct Announcement
  {
    state::Revision newsAt_;   ///< Revision of the newest change.
    state::TimePoint heardAt_; ///< When it was heard.
  };

  void awaitConfig();
  void takeFirst(const WatchReply& aReply);
  void list();
  void watch();
  state::Duration watchTimeout() const;
  void takeList(const ListReply& aReply);
  void applyList(const ListReply& aReply);
  void takeChanges(const WatchReply& aReply);
  bool readsApart() const;
  void readInstances();
  void readOwnKeys(state::Revision aInstancesAt);
  void readConfig(state::Revision aAt);
  void takeNewestConfig(const StoreReply& aReply, state::Revision aAt);
  bool takePart(const WatchReply& aReply);
  void answered();
  void failed(std::string_view aCall);
  bool mustCall() const;
  bool isNews(const std::string& aKey,
              const std::optional<std::string>& aValue) const;
  void apply(const std::string& aKey,
             const std::optional<std::string>& aValue,
             state::Revision aRevision);
  void takeConfig(const std::string& aText, std::string_view aSource);
  void putInstance(const state::VmId& aVm, const std::string& aText);
  void removeInstance(const state::VmId& aVm);
  void drop(const state::VmId& aVm);
  void takeOwnKey(const std::string& aKey,
                  const std::optional<std::string>& aValue);
  void removeMissing(const std::set<std::string>& aSeen);
  void dropMissing();
  void publish();

  const state::Clock& clock_;       ///< Clock.
  PrefixStore& store_;              ///< The store.
  const RoutingCodec& codec_;       ///< Reads values.
  state::EventLog& log_;            ///< Log.
  FollowerSettings settings_;       ///< Settings.
  ConfigHandler configHandler_;     ///< Takes configurations.
  ReplacedHandler replacedHandler_; ///< Takes replaced configurations.
  InstanceHandler instanceHandler_; ///< Takes instances.
  KeyHandler keyHandler_;           ///< Takes own keys.
  state::RoutingConfigPtr config_;  ///< Newest configuration.
  std::string configText_;          ///< Its text.
  state::InstanceMap present_;      ///< Instances as applied so far.
  state::InstanceMapPtr instances_ =
    std::make_shared<state::InstanceMap>(); ///< Instances as published.
  std::map<state::VmId, state::TimePoint>
    missing_; ///< Instances that vanished in an outage, and when
              ///< they are dropped.
  std::set<std::string> ownKeys_; ///< The daemons' own keys that exist.
  bool changed_ = false;     ///< Whether instances differ from the published.
  bool listed_ = false;      ///< Whether the keys were listed.
  bool awaitsConfig_ = true; ///< Whether the store may not have the first
                             ///< configuration yet, so that nothing else is
                             ///< worth reading.
  bool mustList_ = true;     ///< Whether the keys must be listed next.
  ListConsistency listAge_ =
    ListConsistency::kMayBeStale; ///< How recent the next list must be.
  std::optional<ListReply>
    lagging_;             ///< A list that lacks changes until the next watch.
  bool underWay_ = false; ///< Whether a call is awaited.
  FollowerPace pace_ = FollowerPace::kUsual; ///< How soon changes are wanted.
  bool inOutage_ = false;                    ///< Whether an outage was noticed.
  state::TimePoint outageSince_{};           ///< When it was noticed.
  bool othersHeard_ = false;     ///< Whether others that follow are heard.
  state::Revision othersNewsAt_; ///< Newest change that they announce.
  std::deque<Announcement> announced_; ///< Announced news that are lacking, the
                                       ///< oldest first.
  state::Revision toldAt_; ///< Revision of the newest news of a peer.
  std::map<state::VmId, std::string>
    plains_;                       ///< Entries of the plain instances.
  state::Revision newsAt_;         ///< Newest change that all must read.
  state::Revision at_;             ///< Revision from which the watch goes on.
  state::Revision newsReadAt_;     ///< Revision up to which the store was read
                                   ///< with the configuration.
  state::TimePoint nextCall_{};    ///< When to call next.
  state::Duration failurePause_{}; ///< Pause after the newest failure.
  state::TimePoint answeredAt_{};  ///< Newest answer of the store.
  state::TimePoint graceUntil_{};  ///< End of the grace after an outage.
  std::shared_ptr<bool> alive_ =
    std::make_shared<bool>(true); ///< Ends callbacks after destruction.
};

} // namespace auburnhaven::coordination
