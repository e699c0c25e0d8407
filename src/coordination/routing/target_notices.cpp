// What targets have told this daemon of themselves in their answers.

#include "coordination/routing/target_notices.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::minutes kLongestMemory(
  10); ///< Age at which a notice is forgotten; a target that leaves has ended
       ///< long before.

} // namespace

TargetNotices::TargetNotices(const state::Clock& aClock)
  : clock_(aClock)
{
}

void
TargetNotices::noteLeaving(const state::VmId& aVm, std::uint64_t aBornAtMs)
{
  noticeOf(aVm, aBornAtMs).leaving_ = true;
}

void
TargetNotices::notePause(const state::VmId& aVm,
                         std::uint64_t aBornAtMs,
                         state::Duration aRest)
{
  const state::Duration rest = std::min<state::Duration>(aRest, kLongestMemory);
  Notice& notice = noticeOf(aVm, aBornAtMs);
  notice.restsUntil_ = std::max(notice.restsUntil_, clock_.now() + rest);
}

void
TargetNotices::noteIncarnation(const state::VmId& aVm, std::uint64_t aBornAtMs)
{
  const auto found = notices_.find(aVm);
  if (found == notices_.end() || aBornAtMs == 0) {
    return;
  }
  if (found->second.bornAtMs_ == 0) {
    found->second.bornAtMs_ = aBornAtMs;
  } else if (found->second.bornAtMs_ != aBornAtMs) {
    notices_.erase(found);
  }
}

bool
TargetNotices::isLeaving(const state::VmId& aVm) const
{
  const auto found = notices_.find(aVm);
  return found != notices_.end() && found->second.leaving_;
}

state::TimePoint
TargetNotices::pausedUntil(const state::VmId& aVm) const
{
  const auto found = notices_.find(aVm);
  return found == notices_.end() ? state::TimePoint()
                                 : found->second.restsUntil_;
}

TargetNotices::Notice&
TargetNotices::noticeOf(const state::VmId& aVm, std::uint64_t aBornAtMs)
{
  forgetOld();
  Notice& notice = notices_[aVm];
  if (notice.bornAtMs_ == 0) {
    notice.bornAtMs_ = aBornAtMs;
  }
  notice.notedAt_ = clock_.now();
  return notice;
}

void
TargetNotices::forgetOld()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(notices_, [&](const auto& aEntry) {
    const Notice& notice = aEntry.second;
    const bool over = !notice.leaving_ && notice.restsUntil_ <= now;
    return over || now - notice.notedAt_ >= kLongestMemory;
  });
}

} // namespace auburnhaven::coordination
