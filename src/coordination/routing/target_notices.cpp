// Notices about themselves that targets have sent in their responses.

#include "coordination/routing/target_notices.h"

#include "coordination/routing/incarnation_func.h"

#include <algorithm>

namespace auburnhaven::coordination {

namespace {

constexpr std::chrono::minutes kMaxRetention(
  10); ///< Age at which a notice is dropped, and longest pause; a target that
       ///< announces its shutdown has exited long before.

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
                         state::Duration aPause)
{
  const state::Duration pause =
    std::min<state::Duration>(aPause, kMaxRetention);
  Notice& notice = noticeOf(aVm, aBornAtMs);
  notice.pausedUntil_ = std::max(notice.pausedUntil_, clock_.now() + pause);
}

void
TargetNotices::noteIncarnation(const state::VmId& aVm, std::uint64_t aBornAtMs)
{
  noteIncarnationIn(notices_, aVm, aBornAtMs);
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
                                 : found->second.pausedUntil_;
}

TargetNotices::Notice&
TargetNotices::noticeOf(const state::VmId& aVm, std::uint64_t aBornAtMs)
{
  pruneExpired();
  Notice& notice = notices_[aVm];
  if (notice.bornAtMs_ == 0) {
    notice.bornAtMs_ = aBornAtMs;
  }
  notice.notedAt_ = clock_.now();
  return notice;
}

void
TargetNotices::pruneExpired()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(notices_, [&](const auto& aEntry) {
    const Notice& notice = aEntry.second;
    const bool expired = !notice.leaving_ && notice.pausedUntil_ <= now;
    return expired || now - notice.notedAt_ >= kMaxRetention;
  });
}

} // namespace auburnhaven::coordination
