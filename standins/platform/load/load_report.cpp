// Collects how the requests of the load client ended, and judges them.

#include "platform/load/load_report.h"

#include <algorithm>
#include <ostream>

namespace auburnhaven::standins {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLossSlack(
  200); ///< A request that is not passed on may cross the close that long.
constexpr milliseconds kLateRequest(
  3000); ///< After SIGTERM; a request sent before must not be served to its end
         ///< when its worker needs the last part of the grace.
constexpr milliseconds kLastPart = kGrace - kGrace / 6; ///< Its begin.
constexpr milliseconds kDeadlineMargin(
  50); ///< A loss that late is one at the deadline.
constexpr std::uint64_t kDeniedFloor = 5; ///< Wrong refusals that are allowed.
constexpr std::uint64_t kDeniedShare = 500; ///< One more for so many requests.

/** @return Milliseconds between two times. */
std::int64_t
msBetween(LoadTime aFrom, LoadTime aTo)
{
  return duration_cast<milliseconds>(aTo - aFrom).count();
}

} // namespace

LoadReport::LoadReport(const DaemonBoard& aBoard)
  : board_(aBoard)
{
}

void
LoadReport::note(LoadOutcome aOutcome)
{
  ++ends_.at(static_cast<std::size_t>(aOutcome.end_));
  const LoadRequest& request = aOutcome.request_;
  if (aOutcome.end_ == LoadEnd::kSuccess) {
    retried_ += request.earlier_ > 0 ? 1 : 0;
    slowest_ = std::max(slowest_,
                        static_cast<std::uint64_t>(
                          msBetween(request.sentAt_, aOutcome.endedAt_)));
    return;
  }
  if (aOutcome.end_ != LoadEnd::kRefused ||
      request.kind_ == LoadKind::kConfirm) {
    odd_.push_back(std::move(aOutcome));
  }
}

std::vector<std::string>
LoadReport::attemptsToAskFor() const
{
  std::vector<std::string> attempts;
  attempts.reserve(odd_.size());
  for (const LoadOutcome& outcome : odd_) {
    attempts.push_back(outcome.request_.attempt_);
  }
  return attempts;
}

LoadReport::Verdict
LoadReport::verdictOfLoss(const LoadOutcome& aOutcome,
                          const AttemptRuns& aRuns) const
{
  const LoadRequest& request = aOutcome.request_;
  const LoadTime ended = aOutcome.endedAt_;
  if (aOutcome.end_ == LoadEnd::kNoAnswer ||
      ended - request.sentAt_ >= kLoadDeadline - kDeadlineMargin) {
    return { false, "past its deadline" };
  }
  if (board_.wasFrozen(request.daemon_, request.sentAt_, ended)) {
    return { false, "its daemon was frozen" };
  }
  // A sound run that began later would have gone on.
  if (aRuns.brokeOffAt_ != LoadTime() && aRuns.brokeOffAt_ >= aRuns.begunAt_) {
    return { false, "its worker broke off" };
  }
  const auto stop = board_.stopBefore(request.daemon_, ended);
  const bool stillAtWork = aRuns.endedAt_ == LoadTime() ||
                           (stop && aRuns.endedAt_ >= *stop + kLastPart);
  if (stop && aRuns.runs_ > 0 && request.sentAt_ <= *stop + kLateRequest &&
      ended >= *stop + kLastPart && stillAtWork) {
    return { false, "its worker needed the last part of the grace" };
  }
  if (aRuns.orderedAwayAt_ != LoadTime()) {
    return { true, "LOST, its worker was ordered away" };
  }
  if (aRuns.runs_ > 0 || aOutcome.bytes_ > 0) {
    return { true, "LOST" };
  }
  if (aOutcome.end_ == LoadEnd::kBehind ||
      ended - request.sentAt_ <= kLossSlack) {
    return { false, "crossed the close" };
  }
  // Only a process that has read all bytes ends a connection in order.
  const bool wasRead = aOutcome.end_ == LoadEnd::kClosed &&
                       !board_.wasLate(request.sentAt_, ended);
  return wasRead ? Verdict{ true, "LOST, not passed on" }
                 : Verdict{ false, "not read, or late in the client" };
}

LoadReport::Verdict
LoadReport::verdictOf(const LoadOutcome& aOutcome,
                      const AttemptRuns& aRuns) const
{
  const bool once = aOutcome.request_.kind_ == LoadKind::kConfirm;
  if (once && aRuns.runs_ > 1) {
    return { true, "TWICE" };
  }
  if (aOutcome.isLost()) {
    return verdictOfLoss(aOutcome, aRuns);
  }
  switch (aOutcome.end_) {
    case LoadEnd::kWrong:
      return { true, "MIXED or ORDER" };
    case LoadEnd::kRefused:
      return aRuns.runs_ > 0 ? Verdict{ true, "REFUSED" } : Verdict{};
    case LoadEnd::kDenied: {
      const auto denied = ends_.at(static_cast<std::size_t>(LoadEnd::kDenied));
      std::uint64_t all = 0;
      for (const std::uint64_t count : ends_) {
        all += count;
      }
      return { denied > kDeniedFloor + all / kDeniedShare, "denied" };
    }
    default:
      return { false, "failed" };
  }
}

void
LoadReport::print(std::ostream& aOut,
                  const LoadOutcome& aOutcome,
                  const AttemptRuns& aRuns,
                  const Verdict& aVerdict) const
{
  const LoadRequest& request = aOutcome.request_;
  const auto stop = board_.stopBefore(request.daemon_, aOutcome.endedAt_);
  aOut << (aVerdict.fault_ ? "FAULT " : "finding ") << aVerdict.name_
       << ": attempt=" << request.attempt_ << " daemon=" << request.daemon_
       << " kind=" << nameOf(request.kind_) << " end=" << nameOf(aOutcome.end_)
       << " status=" << aOutcome.status_ << " events=" << aOutcome.events_
       << '/' << request.events_ << " bytes=" << aOutcome.bytes_
       << " runs=" << aRuns.runs_
       << " took_ms=" << msBetween(request.sentAt_, aOutcome.endedAt_);
  if (stop) {
    aOut << " sent_after_stop_ms=" << msBetween(*stop, request.sentAt_)
         << " ended_after_stop_ms=" << msBetween(*stop, aOutcome.endedAt_);
  }
  if (aRuns.endedAt_ != LoadTime()) {
    aOut << " worker_ended_before_ms="
         << msBetween(aRuns.endedAt_, aOutcome.endedAt_);
  }
  if (!aOutcome.detail_.empty()) {
    aOut << " detail=" << aOutcome.detail_;
  }
  aOut << '\n';
}

std::size_t
LoadReport::judge(std::ostream& aOut,
                  const std::map<std::string, AttemptRuns>& aRuns) const
{
  std::size_t faults = 0;
  for (const LoadOutcome& outcome : odd_) {
    const auto found = aRuns.find(outcome.request_.attempt_);
    const AttemptRuns runs =
      found == aRuns.end() ? AttemptRuns() : found->second;
    const Verdict verdict = verdictOf(outcome, runs);
    faults += verdict.fault_ ? 1 : 0;
    if (!verdict.name_.empty()) {
      print(aOut, outcome, runs, verdict);
    }
  }
  aOut << "attempts";
  for (std::size_t end = 0; end < kLoadEnds; ++end) {
    aOut << ' ' << nameOf(static_cast<LoadEnd>(end)) << '=' << ends_.at(end);
  }
  aOut << " served_by_a_retry=" << retried_ << " slowest_ms=" << slowest_
       << " faults=" << faults << std::endl;
  return faults;
}

} // namespace auburnhaven::standins
