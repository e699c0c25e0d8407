// Follows the configuration and the registered instances in the store.

#include "coordination/routing/store_follower.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::string_view kPart = "store"; ///< Component name in logs.
constexpr std::size_t kMaxLoggedNotes =
  8; ///< Most odd values of a configuration that are logged.

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
  , lastReplyAt_(aClock.now())
{
}

void
StoreFollower::tick()
{
  eraseExpiredMissing();
  const state::TimePoint now = clock_.now();
  if (now - confirmedAsOf_ >= settings_.confirmationLimit_) {
    peersFollowed_ = false;
  }
  if (!callInFlight_ && now >= nextCall_ && (mustList_ || isCallDue())) {
    callInFlight_ = true;
    callSentAt_ = now;
    if (awaitsConfig_) {
      watchFirstConfig();
    } else if (mustList_) {
      list();
    } else if (mustReadByPrefix()) {
      watchInstances();
    } else {
      watch();
    }
  }
}

bool
StoreFollower::isConfirmed() const
{
  return clock_.now() - std::max(confirmedAsOf_, readAsOf_) <
         settings_.confirmationLimit_;
}

bool
StoreFollower::isServedByPeers() const
{
  const bool waitsForPeers =
    !isBehind() || behindFor() < settings_.peerFetchTimeout_;
  return peersHeard_ && !inOutage_ && waitsForPeers && isConfirmed();
}

bool
StoreFollower::isCallDue() const
{
  return staleList_ || !isServedByPeers() ||
         clock_.now() - lastReplyAt_ >= settings_.refreshPeriod_;
}

void
StoreFollower::updatePeerStatus(bool aHeard, state::Revision aAnnounced)
{
  const bool wasBehind = isBehind();
  peersHeard_ = aHeard;
  while (!announced_.empty() &&
         announced_.front().sharedRevision_ <= knownRevision()) {
    announced_.pop_front();
  }
  if (aAnnounced > announcedRevision_) {
    announcedRevision_ = aAnnounced;
    announced_.push_back({ aAnnounced, clock_.now() });
  }
  if (!wasBehind && isBehind()) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "peer announced a newer revision",
               { state::logField("known", knownRevision().value()),
                 state::logField("announced", announcedRevision_.value()),
                 state::logField("era", announcedRevision_.era().value()),
                 state::logField("others_heard", peersHeard_) });
  }
}

state::Duration
StoreFollower::behindFor() const
{
  if (!isBehind()) {
    return {};
  }
  const auto oldest =
    std::find_if(announced_.begin(),
                 announced_.end(),
                 [&](const Announcement& aAnnouncement) {
                   return aAnnouncement.sharedRevision_ > knownRevision();
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
StoreFollower::offerSnapshot(const StoreSnapshot& aSnapshot)
{
  if (!aSnapshot.config_.empty()) {
    adoptConfig(aSnapshot.config_, "coordinator");
  }
  if (!listed_ || aSnapshot.at_ <= knownRevision()) {
    return;
  }
  std::vector<state::VmId> gone;
  for (const auto& [vm, text] : plainInstances_) {
    if (!aSnapshot.plainInstances_.contains(vm)) {
      gone.push_back(vm);
    }
  }
  for (const state::VmId& vm : gone) {
    // The sender has already applied the grace period after an outage, so these
    // entries are not kept for another one.
    missing_.erase(vm);
    eraseInstance(vm);
  }
  for (const auto& [vm, text] : aSnapshot.plainInstances_) {
    putInstance(vm, text);
  }
  snapshotRevision_ = aSnapshot.at_;
  publish();
}

bool
StoreFollower::isSharedEntry(const std::string& aKey,
                             const std::optional<std::string>& aValue) const
{
  if (aKey == settings_.configKey_) {
    return true;
  }
  if (!aKey.starts_with(settings_.instancePrefix_)) {
    return false;
  }
  // Changes of model engines reach the daemons through digests of their
  // coordinator.
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
  if (isSharedEntry(aKey, aValue)) {
    sharedRevision_ = std::max(sharedRevision_, aRevision);
    if (aRevision <= snapshotRevision_) {
      // A snapshot from a peer already includes this change or a newer one.
      return;
    }
  }
  if (aKey == settings_.configKey_) {
    if (aValue) {
      adoptConfig(*aValue, "store");
    }
  } else if (aKey.starts_with(settings_.instancePrefix_)) {
    const state::VmId vm(aKey.substr(settings_.instancePrefix_.size()));
    if (aValue) {
      putInstance(vm, *aValue);
    } else {
      removeInstance(vm);
    }
  } else if (aKey.starts_with(settings_.daemonPrefix_)) {
    applyDaemonKey(aKey, aValue);
  }
}

void
StoreFollower::applyDaemonKey(const std::string& aKey,
                              const std::optional<std::string>& aValue)
{
  if (aValue) {
    daemonKeys_.insert(aKey);
  } else {
    daemonKeys_.erase(aKey);
  }
  if (keyHandler_) {
    keyHandler_(aKey, aValue);
  }
}

void
StoreFollower::offerConfig(const std::string& aText)
{
  adoptConfig(aText, "peer");
}

void
StoreFollower::adoptConfig(const std::string& aText, std::string_view aSource)
{
  if (aText == configText_) {
    return;
  }
  std::optional<state::DecodedRouting> decoded = codec_.decodeConfig(aText);
  if (!decoded) {
    log_.write(state::LogWeight::kChange,
               kPart,
               "cannot decode configuration",
               { state::logField("source", aSource),
                 state::logField("bytes", aText.size()) });
    return;
  }
  state::RoutingConfig& config = decoded->config_;
  if (config_ && config.version_ <= config_->version_) {
    return;
  }
  if (config_ && replacedHandler_) {
    replacedHandler_(config_->version_, configText_, config.version_, aText);
  }
  config_ = std::make_shared<const state::RoutingConfig>(std::move(config));
  configText_ = aText;
  log_.write(state::LogWeight::kChange,
             kPart,
             "configuration applied",
             { state::logField("version", config_->version_.value()),
               state::logField("source", aSource),
               state::logField("routes", config_->routes_.size()) });
  logNotes(decoded->notes_);
  if (configHandler_) {
    configHandler_(config_);
  }
}

void
StoreFollower::logNotes(const std::vector<state::InputError>& aNotes)
{
  const std::size_t shown = std::min(aNotes.size(), kMaxLoggedNotes);
  for (std::size_t index = 0; index < shown; ++index) {
    const state::InputError& note = aNotes[index];
    log_.write(state::LogWeight::kChange,
               kPart,
               "configured value is not used as it stands",
               { state::logField("field", std::string_view(note.key_)),
                 state::logField("why", std::string_view(note.message_)),
                 state::logField("of", aNotes.size()) });
  }
}

void
StoreFollower::putInstance(const state::VmId& aVm, const std::string& aText)
{
  std::optional<state::Instance> instance = codec_.decodeInstance(aVm, aText);
  if (!instance) {
    log_.write(state::LogWeight::kRoutine,
               kPart,
               "entry describes no usable instance",
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
  if (clock_.now() < graceEndsAt_) {
    missing_.emplace(aVm, graceEndsAt_);
    return;
  }
  eraseInstance(aVm);
  missing_.erase(aVm);
}

void
StoreFollower::eraseInstance(const state::VmId& aVm)
{
  present_.erase(aVm);
  plainInstances_.erase(aVm);
  changed_ = true;
}

void
StoreFollower::eraseExpiredMissing()
{
  const state::TimePoint now = clock_.now();
  for (auto at = missing_.begin(); at != missing_.end();) {
    if (at->second <= now && !inOutage_) {
      announcesExpiry_ =
        announcesExpiry_ || plainInstances_.contains(at->first);
      eraseInstance(at->first);
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
