// Calls of the follower to the store, and what their answers lead to.

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
    // Others that are still heard have reached the store all the while, so
    // that no entry has expired.
    const bool wasAlone =
      othersHeard_ && now - outageSince_ >= settings_.ownOutageProof_;
    graceUntil_ = wasAlone ? now : now + settings_.returnGrace_;
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
    outageSince_ = clock_.now();
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
  if (listAge_ == ListConsistency::kMayBeStale) {
    lagging_ = aReply;
    return;
  }
  listAge_ = ListConsistency::kMayBeStale;
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
    listAge_ =
      list ? ListConsistency::kLinearizable : ListConsistency::kMayBeStale;
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

} // namespace auburnhaven::coordination
