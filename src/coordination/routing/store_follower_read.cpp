// Store calls of the follower and the handling of their replies.

#include "coordination/routing/store_follower.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::string_view kPart = "store"; ///< Component name in logs.
constexpr std::chrono::milliseconds kCatchUpTimeout(
  5); ///< Wait of a watch for changes that the store already has, such as
      ///< those after a list.

/** Pause between calls by urgency. */
constexpr std::array kPauseByUrgency = { &FollowerSettings::lowUrgencyPause_,
                                         &FollowerSettings::normalUrgencyPause_,
                                         &FollowerSettings::highUrgencyPause_ };

/** @return A list with later changes applied. */
ListReply
withChanges(ListReply aList, const std::vector<StoreChange>& aChanges)
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

void
StoreFollower::watchFirstConfig()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix(settings_.configKey_,
                     state::Revision(),
                     settings_.firstWatchTimeout_,
                     [this, alive](const WatchReply& aReply) {
                       if (!alive.expired()) {
                         onFirstConfigReply(aReply);
                       }
                     });
}

void
StoreFollower::onFirstConfigReply(const WatchReply& aReply)
{
  callInFlight_ = false;
  if (aReply.status_ == WatchStatus::kUnavailable) {
    noteFailure("watch for the first configuration");
    return;
  }
  noteReply();
  // When the history does not reach back to the start, the configuration may
  // have been written before it.
  awaitsConfig_ = aReply.status_ == WatchStatus::kChanges &&
                  aReply.changes_.empty() && !config_;
}

void
StoreFollower::list()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.list("", listConsistency_, [this, alive](const ListReply& aReply) {
    if (!alive.expired()) {
      onListReply(aReply);
    }
  });
}

void
StoreFollower::watch()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix("",
                     staleList_ ? staleList_->at_ : watchRevision_,
                     watchTimeout(),
                     [this, alive](const WatchReply& aReply) {
                       if (!alive.expired()) {
                         onWatchReply(aReply);
                       }
                     });
}

state::Duration
StoreFollower::watchTimeout() const
{
  if (staleList_) {
    return kCatchUpTimeout;
  }
  if (inOutage_ || peersHeard_) {
    return settings_.outageWatchTimeout_;
  }
  return urgency_ == FollowerUrgency::kLow ? settings_.watchTimeout_
                                           : settings_.coordinatorWatchTimeout_;
}

void
StoreFollower::noteReply()
{
  const state::TimePoint now = clock_.now();
  if (inOutage_) {
    inOutage_ = false;
    // Peers that knew the store all the time show that a long outage was one of
    // this daemon alone. Live entries were then renewed, so missing ones need
    // no grace period.
    const bool wasLocalOutage =
      peersHeard_ && peersFollowed_ &&
      now - outageSince_ >= settings_.localOutageThreshold_;
    graceEndsAt_ = wasLocalOutage ? now : now + settings_.missingEntryGrace_;
    log_.write(state::LogWeight::kChange,
               kPart,
               "store is reachable again",
               { state::logField(
                 "silent_ms",
                 std::chrono::duration<double, std::milli>(now - lastReplyAt_)
                   .count()) });
  }
  lastReplyAt_ = now;
}

void
StoreFollower::noteReadTo(state::Revision aAt)
{
  readRevision_ = std::max(readRevision_, aAt);
  // The store may have answered at any time since the call began.
  readAsOf_ = callSentAt_;
}

void
StoreFollower::noteFailure(std::string_view aCall)
{
  retryDelay_ = inOutage_ ? std::min(retryDelay_ * 2, settings_.maxRetryDelay_)
                          : settings_.retryDelay_;
  nextCall_ = clock_.now() + retryDelay_;
  if (!inOutage_) {
    inOutage_ = true;
    outageSince_ = clock_.now();
    peersFollowed_ = true;
    log_.write(state::LogWeight::kChange,
               kPart,
               "store does not respond",
               { state::logField("call", aCall) });
  }
}

void
StoreFollower::onListReply(const ListReply& aReply)
{
  callInFlight_ = false;
  if (aReply.status_ != StoreStatus::kOk) {
    noteFailure("list");
    return;
  }
  noteReply();
  mustList_ = false;
  const bool mayBeStale = listConsistency_ == ListConsistency::kMayBeStale;
  if (mayBeStale && isOfLaterEra(aReply.at_)) {
    listConsistently();
    return;
  }
  if (mayBeStale) {
    staleList_ = aReply;
    return;
  }
  listConsistency_ = ListConsistency::kMayBeStale;
  applyList(aReply);
  publish();
}

bool
StoreFollower::isOfLaterEra(state::Revision aRevision) const
{
  return listed_ && aRevision.era() > watchRevision_.era();
}

void
StoreFollower::listConsistently()
{
  mustList_ = true;
  listConsistency_ = ListConsistency::kLinearizable;
}

void
StoreFollower::noteRestored(state::Revision aAt)
{
  // Registrations that the copy lacks are written again.
  graceEndsAt_ = clock_.now() + settings_.missingEntryGrace_;
  log_.write(state::LogWeight::kChange,
             kPart,
             "store has returned to an older state",
             { state::logField("era", aAt.era().value()),
               state::logField("revision", aAt.value()),
               state::logField("known", watchRevision_.value()) });
  if (restoreHandler_) {
    restoreHandler_();
  }
}

void
StoreFollower::applyList(const ListReply& aReply)
{
  if (isOfLaterEra(aReply.at_)) {
    noteRestored(aReply.at_);
  }
  std::set<std::string> seen;
  for (const StoreItem& item : aReply.items_) {
    seen.insert(item.key_);
    apply(item.key_, item.value_, item.revision_);
  }
  removeMissing(seen);
  watchRevision_ = aReply.at_;
  noteReadTo(watchRevision_);
  if (listed_) {
    // Keys removed since the last read are unknown, so peers must read the
    // shared entries again too.
    sharedRevision_ = std::max(sharedRevision_, watchRevision_);
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
  for (const std::string& key : daemonKeys_) {
    if (!aSeen.contains(key)) {
      goneKeys.push_back(key);
    }
  }
  for (const std::string& key : goneKeys) {
    applyDaemonKey(key, std::nullopt);
  }
}

void
StoreFollower::onWatchReply(const WatchReply& aReply)
{
  callInFlight_ = false;
  const std::optional<ListReply> list = std::exchange(staleList_, std::nullopt);
  if (aReply.status_ == WatchStatus::kUnavailable) {
    mustList_ = mustList_ || list;
    noteFailure("watch");
    return;
  }
  noteReply();
  if (aReply.status_ == WatchStatus::kRestored) {
    listConsistently();
    return;
  }
  if (aReply.status_ == WatchStatus::kCompacted) {
    mustList_ = true;
    listConsistency_ =
      list ? ListConsistency::kLinearizable : ListConsistency::kMayBeStale;
    log_.write(state::LogWeight::kChange,
               kPart,
               "watch history was compacted; listing all keys again",
               {});
    return;
  }
  if (list) {
    applyList(withChanges(*list, aReply.changes_));
  } else {
    for (const StoreChange& change : aReply.changes_) {
      apply(change.key_, change.value_, change.revision_);
    }
  }
  const bool advances = aReply.at_ > watchRevision_;
  watchRevision_ = std::max(watchRevision_, aReply.at_);
  noteReadTo(watchRevision_);
  if (announcesExpiry_ && advances) {
    // Peers that know an earlier revision take the instances from here again.
    announcesExpiry_ = false;
    sharedRevision_ = std::max(sharedRevision_, watchRevision_);
  }
  if (!aReply.changes_.empty()) {
    nextCall_ = clock_.now() +
                settings_.*kPauseByUrgency[static_cast<std::size_t>(urgency_)];
  }
  publish();
}

bool
StoreFollower::mustReadByPrefix() const
{
  if (staleList_) {
    return false;
  }
  const bool isLarge = configText_.size() >= settings_.largeConfigBytes_;
  // A watch of all keys continues at watchRevision_ and would miss
  // configuration versions that were skipped before it.
  const bool configBehind = knownRevision() < watchRevision_;
  return configBehind || (isLarge && peersHeard_ && isConfirmed());
}

void
StoreFollower::watchInstances()
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix(settings_.instancePrefix_,
                     watchRevision_,
                     kCatchUpTimeout,
                     [this, alive](const WatchReply& aReply) {
                       if (!alive.expired() && applyPrefixReply(aReply)) {
                         watchDaemonKeys(aReply.at_);
                       }
                     });
}

void
StoreFollower::watchDaemonKeys(state::Revision aInstancesAt)
{
  const std::weak_ptr<bool> alive = alive_;
  store_.watchPrefix(settings_.daemonPrefix_,
                     watchRevision_,
                     kCatchUpTimeout,
                     [this, alive, aInstancesAt](const WatchReply& aReply) {
                       if (!alive.expired() && applyPrefixReply(aReply)) {
                         readConfig(std::min(aInstancesAt, aReply.at_));
                       }
                     });
}

void
StoreFollower::readConfig(state::Revision aAt)
{
  watchRevision_ = std::max(watchRevision_, aAt);
  if (peersHeard_ && isConfirmed() && !isBehind()) {
    callInFlight_ = false;
    noteReply();
    publish();
    return;
  }
  const std::weak_ptr<bool> alive = alive_;
  store_.get(settings_.configKey_,
             StorePriority::kConfiguration,
             [this, alive, aAt](const StoreReply& aReply) {
               if (!alive.expired()) {
                 onConfigReply(aReply, aAt);
               }
             });
}

void
StoreFollower::onConfigReply(const StoreReply& aReply, state::Revision aAt)
{
  callInFlight_ = false;
  if (aReply.status_ != StoreStatus::kOk) {
    publish();
    noteFailure("read of the configuration");
    return;
  }
  noteReply();
  if (isOfLaterEra(aReply.revision_)) {
    publish();
    listConsistently();
    return;
  }
  sharedRevision_ = std::max(sharedRevision_, aReply.revision_);
  noteReadTo(aAt);
  publish();
  adoptConfig(aReply.value_, "store");
}

bool
StoreFollower::applyPrefixReply(const WatchReply& aReply)
{
  if (aReply.status_ == WatchStatus::kChanges) {
    for (const StoreChange& change : aReply.changes_) {
      apply(change.key_, change.value_, change.revision_);
    }
    return true;
  }
  callInFlight_ = false;
  if (aReply.status_ == WatchStatus::kUnavailable) {
    noteFailure("watch");
  } else {
    noteReply();
    mustList_ = true;
    if (aReply.status_ == WatchStatus::kRestored) {
      listConsistently();
    }
  }
  return false;
}

} // namespace auburnhaven::coordination
