// Events of streams as evidence that replicas work.

#include "coordination/routing/stream_activity.h"

#include <chrono>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::seconds kRetention(
  5); ///< Age at which the last event of a replica without streams is dropped.

} // namespace

StreamActivity::StreamActivity(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
StreamActivity::noteBegin(const state::VmId& aHead)
{
  const std::lock_guard lock(mutex_);
  const state::TimePoint now = clock_.now();
  std::erase_if(streams_, [&](const auto& aEntry) {
    return aEntry.second.open_ == 0 &&
           now - aEntry.second.newestAt_ > kRetention;
  });
  Streams& streams = streams_[aHead];
  ++streams.open_;
  streams.newestAt_ = now;
}

void
StreamActivity::noteEvent(const state::VmId& aHead)
{
  const std::lock_guard lock(mutex_);
  streams_[aHead].newestAt_ = clock_.now();
}

void
StreamActivity::noteEnd(const state::VmId& aHead)
{
  const std::lock_guard lock(mutex_);
  const auto found = streams_.find(aHead);
  if (found != streams_.end() && found->second.open_ > 0) {
    --found->second.open_;
  }
}

ReplicaActivity
StreamActivity::describe(const state::VmId& aHead,
                         const Streams& aStreams) const
{
  return { aHead, clock_.now() - aStreams.newestAt_, aStreams.open_ };
}

std::vector<ReplicaActivity>
StreamActivity::activityOf(const std::vector<state::VmId>& aHeads) const
{
  const std::lock_guard lock(mutex_);
  std::vector<ReplicaActivity> known;
  for (const state::VmId& head : aHeads) {
    const auto found = streams_.find(head);
    if (found != streams_.end()) {
      known.push_back(describe(head, found->second));
    }
  }
  return known;
}

std::vector<ReplicaActivity>
StreamActivity::unfinished() const
{
  const std::lock_guard lock(mutex_);
  std::vector<ReplicaActivity> known;
  for (const auto& [head, streams] : streams_) {
    if (streams.open_ > 0) {
      known.push_back(describe(head, streams));
    }
  }
  return known;
}

} // namespace auburnhaven::coordination
