// Finds the whole requests that end targets.

#include "coordination/quarantine/crash_ledger.h"

#include <algorithm>

namespace auburnhaven::coordination {

using state::PromptPartId;

CrashLedger::RequestEvidenceMap
CrashLedger::gatherRequestEvidence() const
{
  RequestEvidenceMap evidence;
  for (const Crash& crash : crashes_) {
    if (isExplained(crash)) {
      continue;
    }
    for (const auto& [request, lost] : crash.wholes_) {
      if (isSoundAt(request, crash.at_)) {
        continue;
      }
      RequestEvidence& against = evidence[request];
      const bool newMoment =
        against.crashes_.empty() ||
        crash.at_ - against.lastAt_ >= settings_.momentLength_;
      against.crashes_.push_back(&crash);
      if (newMoment) {
        ++against.moments_;
        against.lastAt_ = crash.at_;
      }
    }
  }
  return evidence;
}

std::size_t
CrashLedger::countUnanswered(const std::vector<const Crash*>& aCrashes,
                             PromptPartId aRequest)
{
  return static_cast<std::size_t>(
    std::count_if(aCrashes.begin(), aCrashes.end(), [&](const Crash* aCrash) {
      const auto lost = aCrash->wholes_.find(aRequest);
      return lost != aCrash->wholes_.end() && !lost->second.begun_;
    }));
}

bool
CrashLedger::hasTwin(PromptPartId aRequest,
                     const RequestEvidenceMap& aEvidence) const
{
  const std::vector<const Crash*>& crashes = aEvidence.at(aRequest).crashes_;
  const std::size_t unanswered = countUnanswered(crashes, aRequest);
  const auto isTwin = [&](PromptPartId aOther) {
    const bool isCandidate = aOther != aRequest && aEvidence.contains(aOther);
    return isCandidate &&
           std::all_of(crashes.begin(),
                       crashes.end(),
                       [&](const Crash* aCrash) {
                         return aCrash->wholes_.contains(aOther);
                       }) &&
           countUnanswered(crashes, aOther) >= unanswered;
  };
  const auto& others = crashes.front()->wholes_;
  return std::any_of(others.begin(), others.end(), [&](const auto& aEntry) {
    return isTwin(aEntry.first);
  });
}

std::optional<PromptPartId>
CrashLedger::guiltyRequest()
{
  const RequestEvidenceMap evidence = gatherRequestEvidence();
  std::optional<PromptPartId> worst;
  for (const auto& [request, against] : evidence) {
    if (against.moments_ < settings_.minRequestMoments_) {
      continue;
    }
    const bool twin = hasTwin(request, evidence);
    if (twin && against.moments_ < settings_.minMoments_) {
      continue;
    }
    const state::TimePoint decidedAt =
      against.lastAt_ + (twin ? settings_.doubtTime_ : settings_.settleTime_);
    if (clock_.now() < decidedAt) {
      decideAt_ = std::min(decideAt_, decidedAt);
      continue;
    }
    if (!worst || against.moments_ > evidence.at(*worst).moments_) {
      worst = request;
    }
  }
  return worst;
}

void
CrashLedger::findGuiltyRequests()
{
  // Each one found explains crashes that spoke against others.
  while (const auto request = guiltyRequest()) {
    convict({ *request });
  }
}

} // namespace auburnhaven::coordination
