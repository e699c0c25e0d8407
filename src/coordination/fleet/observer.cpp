// Observes some VMs of the zone and learns of the others from its peers.

#include "coordination/fleet/observer.h"

#include "coordination/fleet/rendezvous_func.h"
#include "state/digest_func.h"
#include "state/vm_report_codec.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr state::Duration kListPeriod =
  std::chrono::seconds(1); ///< Time between two readings of the list.
constexpr double kMaxQuestionsPerSecond = 12; ///< Questions of one daemon.
constexpr state::Duration kQuestionLead = std::chrono::milliseconds(
  300); ///< Time before a heartbeat at which VMs are asked.
constexpr state::Duration kLateAge =
  std::chrono::seconds(4); ///< Greatest age of a late answer.
constexpr std::uint64_t kLateEvery =
  4; ///< Heartbeats of which one attests late answers, too.
constexpr state::Duration kQuestionTimeout =
  std::chrono::seconds(1); ///< Longest wait for an answer.
constexpr state::Duration kLoadRefresh =
  std::chrono::seconds(10);     ///< Time after which a load is sent anyway.
constexpr int kLoadRepeats = 1; ///< Extra times a load is sent.
constexpr std::size_t kMaxLoadsPerBeat = 8; ///< Loads in one heartbeat.
constexpr std::uint32_t kLoadShare = 8;     ///< Part of the slots that matters.

/** @return Digest of what a VM states in one incarnation. */
std::uint64_t
evidenceOf(VmHash aVm, const EntryVersion& aVersion, const std::string& aState)
{
  return state::stableHash(aState, aVm * 31 + aVersion.major_);
}

/** @return Digest of a set and the evidence of its members. */
std::uint64_t
setDigest(std::uint64_t aSetCount, std::uint64_t aEvidence)
{
  const std::uint64_t words[] = { aSetCount, aEvidence };
  return state::stableHash(
    { reinterpret_cast<const char*>(words), sizeof(words) });
}

/** @return Difference of two counts. */
std::uint32_t
difference(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft > aRight ? aLeft - aRight : aRight - aLeft;
}

/** @return Whether a load differs enough to be sent. */
bool
differsMuch(const state::EngineLoad& aOld, const state::EngineLoad& aNew)
{
  const std::uint32_t step = std::max(1U, aNew.slots_ / kLoadShare);
  return aOld.slots_ != aNew.slots_ ||
         difference(aOld.running_, aNew.running_) >= step ||
         difference(aOld.queued_, aNew.queued_) >= step ||
         difference(aOld.tokensPerSecond_, aNew.tokensPerSecond_) * 4 >
           aOld.tokensPerSecond_;
}

} // namespace

Observer::Observer(const FleetSettings& aSettings,
                   const state::Clock& aClock,
                   const Membership& aMembership,
                   GossipTable& aTable,
                   EngineClient& aEngines,
                   VmList& aList)
  : settings_(aSettings)
  , clock_(aClock)
  , membership_(aMembership)
  , table_(aTable)
  , engines_(aEngines)
  , list_(aList)
  , listAt_(aClock.now() + kStartGrace - kListPeriod)
{
  table_.subscribe(EntryKind::kVmInfo,
                   [this](const SharedEntry& aEntry) { takeInfo(aEntry); });
  table_.subscribe(EntryKind::kVmReport,
                   [this](const SharedEntry& aEntry) { takeState(aEntry); });
}

void
Observer::tick(state::TimePoint aNextBeat, state::Duration aBeatPeriod)
{
  readList();
  if (vmsChanged_ || chosenFor_ != membership_.live()) {
    chooseTargets();
  }
  for (auto& [vm, target] : own_) {
    if (!target.asking_ && !target.report_) {
      ask(target);
    }
  }
  if (askedFor_ != aNextBeat && clock_.now() >= aNextBeat - kQuestionLead) {
    askedFor_ = aNextBeat;
    askAll(aBeatPeriod);
  }
}

void
Observer::askAll(state::Duration aBeatPeriod)
{
  const auto perBeat = std::max<std::uint64_t>(
    1,
    static_cast<std::uint64_t>(
      kMaxQuestionsPerSecond *
      std::chrono::duration<double>(aBeatPeriod).count()));
  const std::uint64_t beatsPerQuestion =
    std::max<std::uint64_t>(1, (own_.size() + perBeat - 1) / perBeat);
  if (++beats_ % beatsPerQuestion != 0) {
    return;
  }
  askedAt_ = clock_.now();
  for (auto& [vm, target] : own_) {
    if (!target.asking_) {
      ask(target);
    }
  }
}

void
Observer::readList()
{
  const bool due = !listing_ && clock_.now() - listAt_ >= kListPeriod;
  if (!due || rankOf("vm-list", membership_.live(), settings_.self_.id_) >=
                kListReaders) {
    return;
  }
  listing_ = true;
  listAt_ = clock_.now();
  list_.fetch(settings_.self_.zone_,
              [this](const std::optional<std::vector<state::VmInfo>>& aVms) {
                listing_ = false;
                if (aVms) {
                  takeList(*aVms);
                }
              });
}

void
Observer::takeList(const std::vector<state::VmInfo>& aVms)
{
  // The second reader only passes on what cannot be undone by an older list.
  const bool first =
    rankOf("vm-list", membership_.live(), settings_.self_.id_) == 0;
  std::set<state::VmId> listed;
  for (const state::VmInfo& info : aVms) {
    listed.insert(info.id_);
    const auto known = vms_.find(info.id_);
    const bool arrives = known == vms_.end();
    const bool leaves = !arrives &&
                        info.listing_ == state::VmListing::kLeaving &&
                        known->second.listing_ == state::VmListing::kLive;
    if (arrives ? first : (leaves || (first && known->second != info))) {
      publishInfo(info);
    }
  }
  if (!first) {
    return;
  }
  std::vector<state::VmId> gone;
  for (const auto& [vm, info] : vms_) {
    if (!listed.contains(vm)) {
      gone.push_back(vm);
    }
  }
  for (const state::VmId& vm : gone) {
    publishGone(vm);
  }
}

void
Observer::publishInfo(const state::VmInfo& aInfo)
{
  const EntryKey key{ EntryKind::kVmInfo, aInfo.id_.value() };
  const std::optional<SharedEntry> held = table_.find(key);
  const std::uint64_t count = held ? held->version_.major_ + 1 : 1;
  table_.publish(
    { key, { count, 0 }, state::encodeVmInfo(aInfo), clock_.now() });
}

void
Observer::publishGone(const state::VmId& aVm)
{
  for (const EntryKind kind : { EntryKind::kVmInfo, EntryKind::kVmReport }) {
    const std::optional<SharedEntry> held = table_.find({ kind, aVm.value() });
    if (!held || held->payload_.empty()) {
      continue;
    }
    EntryVersion version = held->version_;
    if (kind == EntryKind::kVmInfo) {
      ++version.major_;
    } else {
      // A later incarnation of the VM still wins.
      version.minor_ = std::numeric_limits<std::uint64_t>::max();
    }
    table_.publish({ held->key_, version, {}, clock_.now() });
  }
}

void
Observer::takeInfo(const SharedEntry& aEntry)
{
  const state::VmId vm(aEntry.key_.name_);
  const std::optional<state::VmInfo> info =
    state::decodeVmInfo(vm, aEntry.payload_);
  vmsChanged_ = vmsChanged_ || info.has_value() != vms_.contains(vm);
  if (info) {
    vms_[vm] = *info;
    known_[hashVm(vm)].vm_ = vm;
  } else {
    vms_.erase(vm);
    reports_.erase(vm);
    known_.erase(hashVm(vm));
  }
}

void
Observer::chooseTargets()
{
  vmsChanged_ = false;
  chosenFor_ = membership_.live();
  std::map<state::VmId, Target> chosen;
  std::vector<VmHash> hashes;
  for (const auto& [vm, info] : vms_) {
    const std::vector<state::DaemonId> observers =
      chooseDaemons("vm/" + vm.value(), chosenFor_, kObserversPerVm);
    const auto self =
      std::find(observers.begin(), observers.end(), settings_.self_.id_);
    if (self == observers.end()) {
      continue;
    }
    const auto held = own_.find(vm);
    Target target = held == own_.end() ? Target() : held->second;
    if (held == own_.end()) {
      target.vm_ = vm;
      target.hash_ = hashVm(vm);
    }
    target.first_ = self == observers.begin();
    hashes.push_back(target.hash_);
    chosen[vm] = std::move(target);
  }
  own_ = std::move(chosen);
  std::string payload = encodeObservedSet(hashes);
  if (payload != setPayload_) {
    setPayload_ = std::move(payload);
    ++setCount_;
    table_.publish({ { EntryKind::kObservedSet, settings_.self_.id_.value() },
                     { settings_.self_.incarnation_.value(), setCount_ },
                     setPayload_,
                     clock_.now() });
  }
}

void
Observer::ask(Target& aTarget)
{
  aTarget.asking_ = true;
  ++questions_;
  engines_.fetchReport(
    vms_.at(aTarget.vm_),
    kQuestionTimeout,
    [this, vm = aTarget.vm_](const std::optional<state::VmReport>& aReport) {
      takeAnswer(vm, aReport);
    });
}

void
Observer::takeAnswer(const state::VmId& aVm,
                     const std::optional<state::VmReport>& aReport)
{
  const auto found = own_.find(aVm);
  if (found == own_.end()) {
    return;
  }
  Target& target = found->second;
  target.asking_ = false;
  const auto order = [](const state::VmReport& aValue) {
    return std::tie(aValue.incarnation_, aValue.count_);
  };
  const bool usable =
    aReport && aReport->vm_ == aVm && vms_.contains(aVm) &&
    (!target.report_ || order(*aReport) >= order(*target.report_));
  if (!usable) {
    return;
  }
  target.report_ = aReport;
  target.evidence_ =
    evidenceOf(target.hash_,
               { aReport->incarnation_.value(), aReport->count_ },
               state::encodeVmState(*aReport));
  publishState(target);
  takeReport(*aReport);
}

void
Observer::publishState(const Target& aTarget)
{
  const EntryKey key{ EntryKind::kVmReport, aTarget.vm_.value() };
  const std::optional<SharedEntry> held = table_.find(key);
  const state::VmReport& report = *aTarget.report_;
  const EntryVersion version{ report.incarnation_.value(), report.count_ };
  const std::string payload = state::encodeVmState(report);
  const bool same = held && held->payload_ == payload &&
                    held->version_.major_ == version.major_;
  if (!same) {
    table_.publish({ key, version, payload, report.observedAt_ });
  }
}

void
Observer::takeState(const SharedEntry& aEntry)
{
  const state::VmId vm(aEntry.key_.name_);
  const VmHash hash = hashVm(vm);
  std::optional<state::VmReport> report =
    state::decodeVmState(vm, aEntry.payload_);
  if (!report) {
    reports_.erase(vm);
    return;
  }
  known_[hash] = { vm, evidenceOf(hash, aEntry.version_, aEntry.payload_) };
  report->incarnation_ = state::Incarnation(aEntry.version_.major_);
  report->count_ = aEntry.version_.minor_;
  report->observedAt_ = aEntry.observedAt_;
  const auto held = reports_.find(vm);
  if (held != reports_.end() &&
      held->second.incarnation_ == report->incarnation_) {
    report->load_ = held->second.load_;
  }
  takeReport(*report);
}

void
Observer::takeReport(const state::VmReport& aReport)
{
  const auto [held, added] = reports_.try_emplace(aReport.vm_, aReport);
  if (added) {
    return;
  }
  state::VmReport& report = held->second;
  const bool newer = std::tie(aReport.incarnation_, aReport.count_) >
                     std::tie(report.incarnation_, report.count_);
  if (newer) {
    report = aReport;
  } else if (aReport.incarnation_ == report.incarnation_ &&
             aReport.count_ == report.count_) {
    report.observedAt_ = std::max(report.observedAt_, aReport.observedAt_);
  }
}

bool
Observer::attestable(const Target& aTarget, bool aLate) const
{
  const auto known = known_.find(aTarget.hash_);
  const bool agreed = aTarget.report_ && known != known_.end() &&
                      known->second.evidence_ == aTarget.evidence_;
  return agreed &&
         (aTarget.report_->observedAt_ >= askedAt_ ||
          (aLate && clock_.now() - aTarget.report_->observedAt_ <= kLateAge));
}

bool
Observer::loadDue(Target& aTarget) const
{
  if (!aTarget.first_ || aTarget.report_->role_.rank_ != 0) {
    return false;
  }
  const state::EngineLoad& load = aTarget.report_->load_;
  const bool refresh = clock_.now() - aTarget.sentAt_ >= kLoadRefresh;
  if (!aTarget.sent_ || refresh || differsMuch(*aTarget.sent_, load)) {
    aTarget.sent_ = load;
    aTarget.sentAt_ = clock_.now();
    aTarget.repeats_ = kLoadRepeats;
    return true;
  }
  return aTarget.repeats_-- > 0;
}

void
Observer::fillHeartbeat(Heartbeat& aBeat)
{
  aBeat.observedAt_ = clock_.now();
  const bool late = beats_ % kLateEvery == 0;
  std::uint64_t evidence = 0;
  std::uint32_t index = 0;
  for (auto& [vm, target] : own_) {
    if (!attestable(target, late)) {
      aBeat.skipped_.push_back(index++);
      continue;
    }
    evidence ^= target.evidence_;
    aBeat.observedAt_ =
      std::min(aBeat.observedAt_, target.report_->observedAt_);
    if (aBeat.loads_.size() < kMaxLoadsPerBeat && loadDue(target)) {
      aBeat.loads_.push_back({ index, target.report_->load_ });
    }
    ++index;
  }
  aBeat.evidence_ = setDigest(setCount_, evidence);
}

void
Observer::receiveHeartbeat(const Member& aMember)
{
  const std::optional<SharedEntry> set =
    table_.find({ EntryKind::kObservedSet, aMember.address_.id_.value() });
  if (!set || set->version_.major_ != aMember.address_.incarnation_.value()) {
    return;
  }
  const Heartbeat& beat = aMember.beat_;
  const std::vector<VmHash> vms = decodeObservedSet(set->payload_);
  std::vector<const Known*> attested(vms.size(), nullptr);
  std::uint64_t evidence = 0;
  auto skipped = beat.skipped_.begin();
  for (std::uint32_t index = 0; index < vms.size(); ++index) {
    if (skipped != beat.skipped_.end() && *skipped == index) {
      ++skipped;
      continue;
    }
    const auto known = known_.find(vms[index]);
    if (known != known_.end()) {
      attested[index] = &known->second;
      evidence ^= known->second.evidence_;
    }
  }
  if (setDigest(set->version_.minor_, evidence) != beat.evidence_) {
    ++mismatches_;
    return;
  }
  for (const Known* known : attested) {
    const auto report =
      known == nullptr ? reports_.end() : reports_.find(known->vm_);
    if (report != reports_.end()) {
      report->second.observedAt_ =
        std::max(report->second.observedAt_, beat.observedAt_);
    }
  }
  for (const HeartbeatLoad& load : beat.loads_) {
    const Known* known =
      load.index_ < attested.size() ? attested[load.index_] : nullptr;
    const auto report =
      known == nullptr ? reports_.end() : reports_.find(known->vm_);
    if (report != reports_.end()) {
      report->second.load_ = load.load_;
    }
  }
}

} // namespace auburnhaven::coordination
