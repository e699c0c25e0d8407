// Follows the configuration and the registered instances in the store.

#include "coordination/routing/store_follower.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::string_view kPart = "store"; ///< Part of the program in logs.

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
  const bool waits = !isBehind() || behindFor() < settings_.peerFetchTimeout_;
  const bool fed = othersHeard_ && !inOutage_ && waits;
  return !fed || now - answeredAt_ >= settings_.refreshPeriod_;
}

void
StoreFollower::updatePeerStatus(bool aHeard, state::Revision aNewsAt)
{
  const bool lacked = isBehind();
  othersHeard_ = aHeard;
  while (!announced_.empty() &&
         announced_.front().sharedRevision_ <= knownRevision()) {
    announced_.pop_front();
  }
  if (aNewsAt > othersNewsAt_) {
    othersNewsAt_ = aNewsAt;
    announced_.push_back({ aNewsAt, clock_.now() });
  }
  if (!lacked && isBehind()) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "news announced",
               { state::logField("known", knownRevision().value()),
                 state::logField("announced", othersNewsAt_.value()),
                 state::logField("others_heard", othersHeard_) });
  }
}

state::Duration
StoreFollower::behindFor() const
{
  if (!isBehind()) {
    return {};
  }
  const auto oldest = std::find_if(
    announced_.begin(), announced_.end(), [&](const Announcement& aNews) {
      return aNews.sharedRevision_ > knownRevision();
    });
  return oldest == announced_.end() ? state::Duration{}
                                    : clock_.now() - oldest->heardAt_;
}

std::optional<StoreSnapshot>
StoreFollower::snapshot() const
{
  if (!listed_ || inOutage_ || !config_) {
    return std::nullopt;
  }
  return StoreSnapshot{ knownRevision(), {}, plainInstances_ };
}

void
StoreFollower::offerSnapshot(const StoreSnapshot& aNews)
{
  if (!aNews.config_.empty()) {
    takeConfig(aNews.config_, "coordinator");
  }
  if (!listed_ || aNews.at_ <= knownRevision()) {
    return;
  }
  std::vector<state::VmId> gone;
  for (const auto& [vm, text] : plainInstances_) {
    if (!aNews.plainInstances_.contains(vm)) {
      gone.push_back(vm);
    }
  }
  for (const state::VmId& vm : gone) {
    // Who tells has waited for entries that an outage may bring back.
    missing_.erase(vm);
    drop(vm);
  }
  for (const auto& [vm, text] : aNews.plainInstances_) {
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
StoreFollower::apply(const std::string& aKey,
                     const std::optional<std::string>& aValue,
                     state::Revision aRevision)
{
  if (isNews(aKey, aValue)) {
    sharedRevision_ = std::max(sharedRevision_, aRevision);
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
  } else if (aKey.starts_with(settings_.daemonPrefix_)) {
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
    plainInstances_[aVm] = aText;
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
  plainInstances_.erase(aVm);
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
