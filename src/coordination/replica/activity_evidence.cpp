// Stream events of replicas, as evidence whether all their members work.

#include "coordination/replica/activity_evidence.h"

#include <algorithm>
#include <chrono>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::milliseconds kEventLife(
  700); ///< How long an event shows that a replica works.
constexpr std::chrono::milliseconds kAnswerLife(
  250); ///< How long the answers of daemons show silence.
constexpr std::uint32_t kMinSilentStreams =
  2; ///< Silent streams that show the loss of a member; a single one may wait
     ///< for its caller.

} // namespace

ActivityEvidence::ActivityEvidence(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
ActivityEvidence::note(const std::vector<ReplicaActivity>& aReplicas,
                       state::TimePoint aCountedAt)
{
  for (const ReplicaActivity& replica : aReplicas) {
    Events& events = events_[replica.head_];
    if (aCountedAt > events.countedAt_) {
      events.countedAt_ = aCountedAt;
      events.streams_ = 0;
    }
    if (aCountedAt == events.countedAt_) {
      events.streams_ += replica.streams_;
    }
    events.newestAt_ = std::max(events.newestAt_, aCountedAt - replica.age_);
  }
}

bool
ActivityEvidence::showsEventsSince(const state::VmId& aHead,
                                   state::TimePoint aSince) const
{
  const auto found = events_.find(aHead);
  return found != events_.end() && found->second.newestAt_ > aSince &&
         clock_.now() - found->second.newestAt_ < kEventLife;
}

bool
ActivityEvidence::showsStreams(const state::VmId& aHead) const
{
  const auto found = events_.find(aHead);
  return found != events_.end() && found->second.streams_ > 0 &&
         clock_.now() - found->second.countedAt_ < kEventLife;
}

bool
ActivityEvidence::showsSilence(const state::VmId& aHead,
                               state::Duration aLimit) const
{
  const auto found = events_.find(aHead);
  if (found == events_.end()) {
    return false;
  }
  const Events& events = found->second;
  return events.streams_ >= kMinSilentStreams &&
         clock_.now() - events.countedAt_ < kAnswerLife &&
         events.countedAt_ - events.newestAt_ > aLimit;
}

} // namespace auburnhaven::coordination
