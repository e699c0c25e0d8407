// Joins the daemons' reports of ended targets and finds the parts of prompts
// that end them.

#include "coordination/quarantine/crash_ledger.h"

#include "state/request_digest_func.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using state::PromptPartId;
using state::PromptParts;

constexpr std::chrono::seconds kSameCrashTime(
  5); ///< Longest time between the losses of two requests by one end of a
      ///< target; one that is cut off can look ended again and again.

/** Ends of targets under a part that has not proved sound since. */
struct Suspicion
{
  PromptPartId part_;          ///< The part.
  state::TimePoint firstAt_{}; ///< When the first target ended.
  std::uint32_t crashes_ = 0;  ///< Targets that ended.
};

/** @return Whether a prompt has a part. */
bool
hasPart(const PromptParts& aPrompt, PromptPartId aPart)
{
  return std::find(aPrompt.begin(), aPrompt.end(), aPart) != aPrompt.end();
}

/** @return Whether a set may lack the guilty part, since prompts have further
 * parts that are not known. Sound requests may then have all of it. */
bool
mayLackParts(const PromptParts& aSet)
{
  return aSet.size() >= state::kMaxPromptParts;
}

/** @return Whether a prompt has all parts of a set. */
bool
hasAll(const PromptParts& aPrompt, const PromptParts& aSet)
{
  return std::all_of(aSet.begin(), aSet.end(), [&](PromptPartId aPart) {
    return hasPart(aPrompt, aPart);
  });
}

} // namespace

CrashLedger::CrashLedger(const state::Clock& aClock,
                         const CrashLedgerSettings& aSettings)
  : clock_(aClock)
  , settings_(aSettings)
{
}

void
CrashLedger::noteCrash(const CrashReport& aReport)
{
  forgetOld();
  const state::TimePoint at = clock_.now() - aReport.age_;
  if (aReport.age_ > settings_.retention_) {
    return;
  }
  Crash& crash = crashOf(aReport.vm_, at);
  for (const PromptParts& request : aReport.requests_) {
    addRequest(crash, request, false);
  }
  for (const PromptParts& request : aReport.begun_) {
    addRequest(crash, request, true);
  }
  decideAt_ = clock_.now();
}

void
CrashLedger::addRequest(Crash& aCrash, const PromptParts& aParts, bool aBegun)
{
  PromptParts prompt;
  std::copy_if(
    aParts.begin(),
    aParts.end(),
    std::back_inserter(prompt),
    [](PromptPartId aPart) { return !state::isWholeRequest(aPart); });
  for (const PromptPartId part : aParts) {
    if (state::isWholeRequest(part) &&
        aCrash.wholes_.size() < settings_.maxWholeRequests_) {
      aCrash.wholes_.emplace(part, LostRequestInfo{ prompt, aBegun });
    }
  }
  const bool known =
    std::find(aCrash.requests_.begin(), aCrash.requests_.end(), prompt) !=
    aCrash.requests_.end();
  if (!known && !prompt.empty() &&
      aCrash.requests_.size() < settings_.maxRequests_) {
    aCrash.requests_.push_back(std::move(prompt));
  }
}

CrashLedger::Crash&
CrashLedger::crashOf(const state::VmId& aVm, state::TimePoint aAt)
{
  const auto known =
    std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& aCrash) {
      return aCrash.vm_ == aVm && aCrash.at_ - aAt < kSameCrashTime &&
             aAt - aCrash.at_ < kSameCrashTime;
    });
  if (known != crashes_.end()) {
    return *known;
  }
  const auto next =
    std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& aCrash) {
      return aCrash.at_ > aAt;
    });
  return *crashes_.insert(next, { aVm, aAt, {}, {} });
}

void
CrashLedger::forgetOld()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(crashes_, [&](const Crash& aCrash) {
    return now - aCrash.at_ > settings_.retention_;
  });
  std::erase_if(guilty_, [&](const auto& aEntry) {
    return now - aEntry.second > settings_.retention_;
  });
  while (crashes_.size() >= settings_.maxCrashes_) {
    // Explained ones are no evidence any more.
    const auto explained =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& aCrash) {
        return isExplained(aCrash);
      });
    crashes_.erase(explained != crashes_.end() ? explained : crashes_.begin());
  }
  const std::set<PromptPartId> remembered = rememberedParts();
  std::erase_if(soundAt_, [&](const auto& aEntry) {
    return !remembered.contains(aEntry.first);
  });
}

std::set<PromptPartId>
CrashLedger::partsOf(const Crash& aCrash)
{
  std::set<PromptPartId> parts;
  for (const auto& [whole, lost] : aCrash.wholes_) {
    parts.insert(whole);
  }
  for (const PromptParts& request : aCrash.requests_) {
    parts.insert(request.begin(), request.end());
  }
  return parts;
}

bool
CrashLedger::hasGuiltyRequest(const Crash& aCrash) const
{
  return std::any_of(
    aCrash.wholes_.begin(), aCrash.wholes_.end(), [&](const auto& aEntry) {
      return guilty_.contains({ aEntry.first });
    });
}

std::vector<PromptParts>
CrashLedger::accusingPrompts(const Crash& aCrash) const
{
  if (!hasGuiltyRequest(aCrash)) {
    return aCrash.requests_;
  }
  // The other requests were only in flight beside the guilty ones.
  std::vector<PromptParts> prompts;
  for (const auto& [whole, lost] : aCrash.wholes_) {
    const bool known =
      std::find(prompts.begin(), prompts.end(), lost.prompt_) != prompts.end();
    if (guilty_.contains({ whole }) && !lost.prompt_.empty() && !known) {
      prompts.push_back(lost.prompt_);
    }
  }
  return prompts;
}

bool
CrashLedger::countRequests(const Crash& aCrash,
                           PromptPartId aPart,
                           CountedRequests& aCounted) const
{
  const bool onlyGuilty = hasGuiltyRequest(aCrash);
  bool known = false;
  bool isNew = false;
  for (const auto& [whole, lost] : aCrash.wholes_) {
    const bool counts = !onlyGuilty || guilty_.contains({ whole });
    if (counts && hasPart(lost.prompt_, aPart)) {
      known = true;
      isNew = aCounted[aPart].insert(whole).second || isNew;
    }
  }
  return isNew || !known;
}

std::set<PromptPartId>
CrashLedger::rememberedParts() const
{
  std::set<PromptPartId> parts;
  for (const Crash& crash : crashes_) {
    parts.merge(partsOf(crash));
  }
  return parts;
}

void
CrashLedger::noteSound(const std::vector<SoundPart>& aParts)
{
  const std::set<PromptPartId> remembered = rememberedParts();
  for (const SoundPart& sound : aParts) {
    if (remembered.contains(sound.part_)) {
      const state::TimePoint at = clock_.now() - sound.age_;
      state::TimePoint& latest =
        soundAt_.try_emplace(sound.part_, at).first->second;
      latest = std::max(latest, at);
      decideAt_ = clock_.now();
      acquit(sound.part_, at);
    }
  }
}

void
CrashLedger::acquit(PromptPartId aPart, state::TimePoint aSoundAt)
{
  std::vector<PromptParts> lifted;
  for (const auto& [set, foundAt] : guilty_) {
    if (hasPart(set, aPart) && foundAt < aSoundAt + settings_.soundTime_) {
      lifted.push_back(set);
    }
  }
  for (const PromptParts& set : lifted) {
    guilty_.erase(set);
    changes_.lifted_.push_back(set);
    PromptParts rest = set;
    std::erase(rest, aPart);
    if (!rest.empty()) {
      convict(rest);
    }
  }
}

void
CrashLedger::convict(const PromptParts& aSet)
{
  if (guilty_.emplace(aSet, clock_.now()).second) {
    changes_.added_.push_back(aSet);
  }
}

bool
CrashLedger::isSoundAt(PromptPartId aPart, state::TimePoint aAt) const
{
  const auto sound = soundAt_.find(aPart);
  return sound != soundAt_.end() && aAt < sound->second + settings_.soundTime_;
}

CrashLedger::EvidenceMap
CrashLedger::gatherEvidence() const
{
  EvidenceMap evidence;
  std::map<PromptPartId, state::TimePoint> momentStart;
  CountedRequests counted;
  for (const Crash& crash : crashes_) {
    if (isExplainedByParts(crash)) {
      continue;
    }
    std::map<PromptPartId, bool> counts;
    for (const PromptParts& request : accusingPrompts(crash)) {
      for (const PromptPartId part :
           std::set<PromptPartId>(request.begin(), request.end())) {
        if (isSoundAt(part, crash.at_)) {
          continue;
        }
        const auto [known, isFirst] = counts.emplace(part, false);
        known->second =
          isFirst ? countRequests(crash, part, counted) : known->second;
        if (!known->second) {
          continue;
        }
        const auto [start, first] = momentStart.emplace(part, crash.at_);
        const bool newMoment =
          first || crash.at_ - start->second >= settings_.momentLength_;
        start->second = newMoment ? crash.at_ : start->second;
        Evidence& against = evidence[part];
        against.firstAt_ = first ? crash.at_ : against.firstAt_;
        against.moments_ += newMoment ? 1 : 0;
        if (newMoment && against.moments_ == settings_.minMoments_) {
          against.enoughAt_ = crash.at_;
        }
        ++against.requests_;
        against.alone_ += request.size() == 1 ? 1 : 0;
      }
    }
  }
  return evidence;
}

std::vector<PromptPartId>
CrashLedger::leadersOf(const EvidenceMap& aEvidence) const
{
  // A part that few lost requests had tells more than one that most had.
  const auto rankOf = [](const Evidence& aPart) {
    return std::tuple(aPart.isPrecise(),
                      aPart.moments_,
                      -static_cast<std::int64_t>(aPart.requests_));
  };
  std::vector<PromptPartId> leaders;
  decltype(rankOf(Evidence())) best;
  for (const auto& [part, against] : aEvidence) {
    if (against.moments_ < settings_.minMoments_) {
      continue;
    }
    const auto rank = rankOf(against);
    if (leaders.empty() || rank > best) {
      leaders.clear();
      best = rank;
    }
    if (rank == best) {
      leaders.push_back(part);
    }
  }
  return leaders;
}

PromptParts
CrashLedger::setOf(PromptPartId aPart) const
{
  std::optional<PromptParts> set;
  for (const Crash& crash : crashes_) {
    if (isExplainedByParts(crash) || isSoundAt(aPart, crash.at_)) {
      continue;
    }
    for (const PromptParts& request : accusingPrompts(crash)) {
      if (!hasPart(request, aPart)) {
        continue;
      }
      set = set.value_or(request);
      std::erase_if(*set, [&](PromptPartId aOther) {
        return !hasPart(request, aOther) || isSoundAt(aOther, crash.at_);
      });
    }
  }
  std::sort(set->begin(), set->end());
  set->erase(std::unique(set->begin(), set->end()), set->end());
  return *set;
}

bool
CrashLedger::isDistinct(const PromptParts& aSet,
                        const Evidence& aEvidence) const
{
  const bool othersSound =
    std::any_of(soundAt_.begin(), soundAt_.end(), [&](const auto& aEntry) {
      return aEntry.second > aEvidence.firstAt_;
    });
  // Parts that differed from request to request speak for the one that did not.
  const bool othersDiffer = aEvidence.isPrecise() && aEvidence.alone_ == 0;
  return aSet.size() > 1 || othersSound || othersDiffer;
}

bool
CrashLedger::isExplained(const Crash& aCrash) const
{
  return hasGuiltyRequest(aCrash) || isExplainedByParts(aCrash);
}

bool
CrashLedger::isExplainedByParts(const Crash& aCrash) const
{
  return std::any_of(guilty_.begin(), guilty_.end(), [&](const auto& aEntry) {
    return std::any_of(aCrash.requests_.begin(),
                       aCrash.requests_.end(),
                       [&](const PromptParts& aRequest) {
                         return hasAll(aRequest, aEntry.first);
                       });
  });
}

void
CrashLedger::findGuilty()
{
  for (;;) {
    const EvidenceMap evidence = gatherEvidence();
    std::set<PromptParts> found;
    bool distinct = true;
    state::TimePoint enoughAt{};
    for (const PromptPartId leader : leadersOf(evidence)) {
      const PromptParts set = setOf(leader);
      if (mayLackParts(set)) {
        continue;
      }
      distinct = distinct && isDistinct(set, evidence.at(leader));
      enoughAt = std::max(enoughAt, evidence.at(leader).enoughAt_);
      found.insert(set);
    }
    const bool doubtful = found.size() > 1 || !distinct;
    const bool mayProveSound =
      doubtful && clock_.now() - enoughAt < settings_.doubtTime_;
    if (mayProveSound) {
      decideAt_ = std::min(decideAt_, enoughAt + settings_.doubtTime_);
    }
    if (found.empty() || mayProveSound) {
      return;
    }
    for (const PromptParts& set : found) {
      convict(set);
    }
  }
}

GuiltChanges
CrashLedger::decide()
{
  if (clock_.now() >= decideAt_) {
    decideAt_ = state::TimePoint::max();
    findGuiltyRequests();
    findGuilty();
  }
  return std::exchange(changes_, {});
}

bool
CrashLedger::isGuilty(PromptPartId aPart) const
{
  return std::any_of(guilty_.begin(), guilty_.end(), [&](const auto& aEntry) {
    return hasPart(aEntry.first, aPart);
  });
}

std::vector<SuspectPart>
CrashLedger::suspects() const
{
  const state::TimePoint now = clock_.now();
  std::map<PromptPartId, Suspicion> suspicions;
  for (const Crash& crash : crashes_) {
    const bool recent = now - crash.at_ <= settings_.suspicionTime_;
    if (!recent && guilty_.empty()) {
      continue;
    }
    for (const PromptPartId part : partsOf(crash)) {
      if ((recent || isGuilty(part)) && !isSoundAt(part, crash.at_)) {
        Suspicion& suspicion =
          suspicions.try_emplace(part, Suspicion{ part, crash.at_, 0 })
            .first->second;
        ++suspicion.crashes_;
      }
    }
  }
  std::vector<Suspicion> order;
  order.reserve(suspicions.size());
  for (const auto& [part, suspicion] : suspicions) {
    order.push_back(suspicion);
  }
  std::stable_sort(order.begin(),
                   order.end(),
                   [](const Suspicion& aLeft, const Suspicion& aRight) {
                     return aLeft.crashes_ > aRight.crashes_;
                   });
  const auto repeated = static_cast<std::size_t>(
    std::count_if(order.begin(), order.end(), [](const Suspicion& aSuspicion) {
      return aSuspicion.crashes_ > 1;
    }));
  const std::size_t wanted = std::max(
    settings_.maxSuspects_, std::min(repeated, settings_.maxRepeatedSuspects_));
  order.resize(std::min(order.size(), wanted));
  std::vector<SuspectPart> suspects;
  suspects.reserve(order.size());
  for (const Suspicion& suspicion : order) {
    suspects.push_back({ suspicion.part_, now - suspicion.firstAt_ });
  }
  return suspects;
}

} // namespace auburnhaven::coordination
