// Follows the configuration and the registered instances in the store.

#include "coordination/routing/store_follower.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::string_view kPart = "store"; ///< Part of the program in logs.
constexpr std::chrono::milliseconds kCatchUpTimeout(
  5); ///< Wait of the watch after a list; its changes are there already.

/** Pauses by pace. */
constexpr std::array kPauses = { &FollowerSettings::calmPause_,
                                 &FollowerSettings::pause_,
                                 &FollowerSettings::urgentPause_ };

/** @return A list with the changes made since. */
ListReply
caughtUp(ListReply aList, const std::vector<StoreChange>& aChanges)
{
  std::map<std::string, const StoreChange*> newest;
  for (const StoreChange& change : aChanges) {
    newest[change.key_] = &change;
  }
  std::erase_if(aList.items_, [&](const StoreItem& aItem) {
    return newest.contains(aItem.key_);
  });
  for (const auto& [key, change] : newest) {
    if (change->value_) {
      aList.items_.push_back({ key, *change->value_, change->revision_ });
    }
  }
  return aList;
}

} // namespace

StoreFollower::StoreFollower(const state::Clock& aClock,
                             PrefixStore& aStore,
                             const RoutingCodec& aCodec,
                             state::EventLog& aLog,
                             FollowerSettings aSettings)
  : clock_(aClock)
  , store_(aStore)
  , codec_(aCodec)
  , log_(aLog)
  , settings_(std::move(aSettings))
  , answeredAt_(aClock.now())
{
}

void
StoreFollower::tick()
{
  dropMissing();
  if (!underWay_ && clock_.now() >= nextCall_ && (mustList_ || mustCall())) {
    underWay_ = true;
    if (awaitsConfig_) {
      awaitConfig();
    } else if (mustList_) {
      list();
    } else if (readsApart()) {
      readInstances();
    } else {
      watch();
    }
  }
}

bool
StoreFollower::mustCall() const
{
  if (lagging_) {
    return true;
  }
  const state::TimePoint now = clock_.now();
  const bool waits = !lacksNews() || lackedFor() < settings_.peerPatience_;
  const bool fed = othersHeard_ && !inOutage_ && waits;
  return !fed || now - answeredAt_ >= settings_.refreshPeriod_;
}

void
StoreFollower::setOthers(bool aHeard, state::Revision aNewsAt)
{
  const bool lacked = lacksNews();
  othersHeard_ = aHeard;
  while (!announced_.empty() && announced_.front().newsAt_ <= knownAt()) {
    announced_.pop_front();
  }
  if (aNewsAt > othersNewsAt_) {
    othersNewsAt_ = aNewsAt;
    announced_.push_back({ aNewsAt, clock_.now() });
  }
  if (!lacked && lacksNews()) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "news announced",
               { state::logField("known", knownAt().value()),
                 state::logField("announced", othersNewsAt_.value()),
                 state::logField("others_heard", othersHeard_) });
  }
}

state::Duration
StoreFollower::lackedFor() const
{
  if (!lacksNews()) {
    return {};
  }
  const auto oldest = std::find_if(
    announced_.begin(), announced_.end(), [&](const Announcement& aNews) {
      return aNews.newsAt_ > knownAt();
    });
  return oldest == announced_.end() ? state::Duration{}
                                    : clock_.now() - oldest->heardAt_;
}

std::optional<StoreNews>
StoreFollower::news() const
{
  if (!listed_ || inOutage_ || !config_) {
    return std::nullopt;
  }
  return StoreNews{ knownAt(), {}, plains_ };
}

void
StoreFollower::offerNews(const StoreNews& aNews)
{
  if (!aNews.config_.empty()) {
    takeConfig(aNews.config_, "coordinator");
  }
  if (!listed_ || aNews.at_ <= knownAt()) {
    return;
  }
  std::vector<state::VmId> gone;
  for (const auto& [vm, text] : plains_) {
    if (!aNews.plains_.contains(vm)) {
      gone.push_back(vm);
    }
  }
  for (const state::VmId& vm : gone) {
    removeInstance(vm);
  }
  for (const auto& [vm, text] : aNews.plains_) {
    putInstance(vm, text);
  }
  toldAt_ = aNews.at_;
  publish();
}

bool
StoreFollower::isNews(const std::string& aKey,
                      const std::optional<std::string>& aValue) const
{
  if (aKey == settings_.configKey_) {
    return true;
  }
  if (!aKey.starts_with(settings_.instancePrefix_)) {
    return false;
  }
  // Changes of model engines reach the daemons by their coordinator.
  const state::VmId vm(aKey.substr(settings_.instancePrefix_.size()));
  if (aValue) {
    const auto instance = codec_.decodeInstance(vm, *aValue);
    return instance && !instance->engine_;
  }
  const auto known = present_.find(vm);
  return known != present_.end() && !known->second.engine_;
}

void
StoreFollower::awaitConfig()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix(settings_.configKey_,
                     state::Revision(),
                     settings_.firstWatchTimeout_,
                     [this, alive](const WatchReply& aReply) {
                       if (!alive.expired()) {
                         takeFirst(aReply);
                       }
                     });
}

void
StoreFollower::takeFirst(const WatchReply& aReply)
{
  underWay_ = false;
  if (aReply.status_ == WatchStatus::kUnavailable) {
    failed("watch for the first configuration");
    return;
  }
  answered();
  // Without the history from the start, it may have been written before.
  awaitsConfig_ = aReply.status_ == WatchStatus::kChanges &&
                  aReply.changes_.empty() && !config_;
}

void
StoreFollower::list()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.list("", listAge_, [this, alive](const ListReply& aReply) {
    if (!alive.expired()) {
      takeList(aReply);
    }
  });
}

void
StoreFollower::watch()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix("",
                     lagging_ ? lagging_->at_ : at_,
                     watchTimeout(),
                     [this, alive](const WatchReply& aReply) {
                       if (!alive.expired()) {
                         takeChanges(aReply);
                       }
                     });
}

state::Duration
StoreFollower::watchTimeout() const
{
  if (lagging_) {
    return kCatchUpTimeout;
  }
  return inOutage_ || othersHeard_ ? settings_.outageWatchTimeout_
                                   : settings_.watchTimeout_;
}

void
StoreFollower::answered()
{
  const state::TimePoint now = clock_.now();
  if (inOutage_) {
    inOutage_ = false;
    graceUntil_ = now + settings_.returnGrace_;
    log_.write(state::LogWeight::kChange,
               kPart,
               "store answers again",
               { state::logField(
                 "silent_ms",
                 std::chrono::duration<double, std::milli>(now - answeredAt_)
                   .count()) });
  }
  answeredAt_ = now;
}

void
StoreFollower::failed(std::string_view aCall)
{
  failurePause_ =
    inOutage_ ? std::min(failurePause_ * 2, settings_.longestFailurePause_)
              : settings_.failurePause_;
  nextCall_ = clock_.now() + failurePause_;
  if (!inOutage_) {
    inOutage_ = true;
    log_.write(state::LogWeight::kChange,
               kPart,
               "store does not answer",
               { state::logField("call", aCall) });
  }
}

void
StoreFollower::takeList(const ListReply& aReply)
{
  underWay_ = false;
  if (aReply.status_ != StoreStatus::kOk) {
    failed("list");
    return;
  }
  answered();
  mustList_ = false;
  if (listAge_ == ListAge::kMayLag) {
    lagging_ = aReply;
    return;
  }
  listAge_ = ListAge::kMayLag;
  applyList(aReply);
  publish();
}

void
StoreFollower::applyList(const ListReply& aReply)
{
  std::set<std::string> seen;
  for (const StoreItem& item : aReply.items_) {
    seen.insert(item.key_);
    apply(item.key_, item.value_, item.revision_);
  }
  removeMissing(seen);
  at_ = aReply.at_;
  newsReadAt_ = at_;
  if (listed_) {
    // Which keys were removed meanwhile is not known: others must read too.
    newsAt_ = std::max(newsAt_, at_);
  }
  listed_ = true;
}

void
StoreFollower::removeMissing(const std::set<std::string>& aSeen)
{
  std::vector<state::VmId> gone;
  for (const auto& [vm, instance] : present_) {
    if (!aSeen.contains(settings_.instancePrefix_ + vm.value())) {
      gone.push_back(vm);
    }
  }
  for (const state::VmId& vm : gone) {
    removeInstance(vm);
  }
  std::vector<std::string> goneKeys;
  for (const std::string& key : ownKeys_) {
    if (!aSeen.contains(key)) {
      goneKeys.push_back(key);
    }
  }
  for (const std::string& key : goneKeys) {
    takeOwnKey(key, std::nullopt);
  }
}

void
StoreFollower::takeChanges(const WatchReply& aReply)
{
  underWay_ = false;
  const std::optional<ListReply> list = std::exchange(lagging_, std::nullopt);
  if (aReply.status_ == WatchStatus::kUnavailable) {
    mustList_ = mustList_ || list;
    failed("watch");
    return;
  }
  answered();
  if (aReply.status_ == WatchStatus::kCompacted) {
    mustList_ = true;
    listAge_ = list ? ListAge::kNewest : ListAge::kMayLag;
    log_.write(
      state::LogWeight::kChange, kPart, "history is gone, listing again", {});
    return;
  }
  if (list) {
    applyList(caughtUp(*list, aReply.changes_));
  } else {
    for (const StoreChange& change : aReply.changes_) {
      apply(change.key_, change.value_, change.revision_);
    }
  }
  at_ = std::max(at_, aReply.at_);
  newsReadAt_ = at_;
  if (!aReply.changes_.empty()) {
    nextCall_ =
      clock_.now() + settings_.*kPauses[static_cast<std::size_t>(pace_)];
  }
  publish();
}

bool
StoreFollower::readsApart() const
{
  if (lagging_) {
    return false;
  }
  const bool isLarge = configText_.size() >= settings_.largeConfigBytes_;
  // A watch of all keys from here on would pass over versions.
  const bool passedOver = knownAt() < at_;
  return passedOver || (isLarge && othersHeard_);
}

void
StoreFollower::readInstances()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix(settings_.instancePrefix_,
                     at_,
                     kCatchUpTimeout,
                     [this, alive](const WatchReply& aReply) {
                       if (!alive.expired() && takePart(aReply)) {
                         readOwnKeys(aReply.at_);
                       }
                     });
}

void
StoreFollower::readOwnKeys(state::Revision aInstancesAt)
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix(settings_.ownPrefix_,
                     at_,
                     kCatchUpTimeout,
                     [this, alive, aInstancesAt](const WatchReply& aReply) {
                       if (!alive.expired() && takePart(aReply)) {
                         readConfig(std::min(aInstancesAt, aReply.at_));
                       }
                     });
}

void
StoreFollower::readConfig(state::Revision aAt)
{
  at_ = std::max(at_, aAt);
  if (othersHeard_ && !lacksNews()) {
    underWay_ = false;
    answered();
    publish();
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  store_.get(settings_.configKey_,
             StorePriority::kConfiguration,
             [this, alive, aAt](const StoreReply& aReply) {
               if (!alive.expired()) {
                 takeNewestConfig(aReply, aAt);
               }
             });
}

void
StoreFollower::takeNewestConfig(const StoreReply& aReply, state::Revision aAt)
{
  underWay_ = false;
  publish();
  if (aReply.status_ != StoreStatus::kOk) {
    failed("read of the configuration");
    return;
  }
  answered();
  newsAt_ = std::max(newsAt_, aReply.revision_);
  newsReadAt_ = std::max(newsReadAt_, aAt);
  takeConfig(aReply.value_, "store");
}

bool
StoreFollower::takePart(const WatchReply& aReply)
{
  if (aReply.status_ == WatchStatus::kChanges) {
    for (const StoreChange& change : aReply.changes_) {
      apply(change.key_, change.value_, change.revision_);
    }
    return true;
  }
  underWay_ = false;
  if (aReply.status_ == WatchStatus::kUnavailable) {
    failed("watch");
  } else {
    answered();
    mustList_ = true;
  }
  return false;
}

void
StoreFollower::apply(const std::string& aKey,
                     const std::optional<std::string>& aValue,
                     state::Revision aRevision)
{
  if (isNews(aKey, aValue)) {
    newsAt_ = std::max(newsAt_, aRevision);
    if (aRevision <= toldAt_) {
      // A peer has told of this or of something newer.
      return;
    }
  }
  if (aKey == settings_.configKey_) {
    if (aValue) {
      takeConfig(*aValue, "store");
    }
  } else if (aKey.starts_with(settings_.instancePrefix_)) {
    const state::VmId vm(aKey.substr(settings_.instancePrefix_.size()));
    if (aValue) {
      putInstance(vm, *aValue);
    } else {
      removeInstance(vm);
    }
  } else if (aKey.starts_with(settings_.ownPrefix_)) {
    takeOwnKey(aKey, aValue);
  }
}

void
StoreFollower::takeOwnKey(const std::string& aKey,
                          const std::optional<std::string>& aValue)
{
  if (aValue) {
    ownKeys_.insert(aKey);
  } else {
    ownKeys_.erase(aKey);
  }
  if (keyHandler_) {
    keyHandler_(aKey, aValue);
  }
}

void
StoreFollower::offerConfig(const std::string& aText)
{
  takeConfig(aText, "peer");
}

void
StoreFollower::takeConfig(const std::string& aText, std::string_view aSource)
{
  if (aText == configText_) {
    return;
  }
  std::optional<state::RoutingConfig> config = codec_.decodeConfig(aText);
  if (!config) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "configuration cannot be read",
               { state::logField("source", aSource),
                 state::logField("bytes", aText.size()) });
    return;
  }
  if (config_ && config->version_ <= config_->version_) {
    return;
  }
  if (config_ && replacedHandler_) {
    replacedHandler_(config_->version_, configText_, config->version_, aText);
  }
  config_ = std::make_shared<const state::RoutingConfig>(std::move(*config));
  configText_ = aText;
  log_.write(state::LogWeight::kChange,
             kPart,
             "configuration in force",
             { state::logField("version", config_->version_.value()),
               state::logField("source", aSource),
               state::logField("routes", config_->routes_.size()) });
  if (configHandler_) {
    configHandler_(config_);
  }
}

void
StoreFollower::putInstance(const state::VmId& aVm, const std::string& aText)
{
  std::optional<state::Instance> instance = codec_.decodeInstance(aVm, aText);
  if (!instance) {
    log_.write(state::LogWeight::kRoutine,
               kPart,
               "entry names no usable instance",
               { state::logField("vm", std::string_view(aVm.value())) });
    removeInstance(aVm);
    return;
  }
  missing_.erase(aVm);
  if (!instance->engine_) {
    plains_[aVm] = aText;
  }
  const auto found = present_.find(aVm);
  if (found != present_.end() && found->second == *instance) {
    return;
  }
  present_[aVm] = std::move(*instance);
  changed_ = true;
}

void
StoreFollower::removeInstance(const state::VmId& aVm)
{
  if (!present_.contains(aVm)) {
    return;
  }
  if (clock_.now() < graceUntil_) {
    missing_.emplace(aVm, graceUntil_);
    return;
  }
  drop(aVm);
  missing_.erase(aVm);
}

void
StoreFollower::drop(const state::VmId& aVm)
{
  present_.erase(aVm);
  plains_.erase(aVm);
  changed_ = true;
}

void
StoreFollower::dropMissing()
{
  const state::TimePoint now = clock_.now();
  for (auto at = missing_.begin(); at != missing_.end();) {
    if (at->second <= now && !inOutage_) {
      drop(at->first);
      at = missing_.erase(at);
    } else {
      ++at;
    }
  }
  publish();
}

void
StoreFollower::publish()
{
  if (!changed_) {
    return;
  }
  changed_ = false;
  instances_ = std::make_shared<const state::InstanceMap>(present_);
  if (instanceHandler_) {
    instanceHandler_(instances_);
  }
}

} // namespace auburnhaven::coordination
