// Polls some VMs of the zone and learns of the others by gossip.

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
  std::chrono::seconds(1); ///< Time between two requests for the VM list.
constexpr double kMaxRequestsPerSecond =
  12; ///< Rate limit of polling for one daemon.
constexpr state::Duration kPollLead = std::chrono::milliseconds(
  300); ///< Time before a heartbeat at which the VMs are polled.
constexpr state::Duration kMaxLateAge =
  std::chrono::seconds(4); ///< Greatest age of a late report that is attested.
constexpr std::uint64_t kLateReportInterval =
  4; ///< Every 4th heartbeat also attests late reports.
constexpr state::Duration kReportTimeout =
  std::chrono::seconds(1); ///< Timeout of a report request.
constexpr state::Duration kLoadRefresh = std::chrono::seconds(
  10); ///< Time after which an unchanged load is sent again.
constexpr int kLoadRepeats =
  1; ///< Times that a sent load is repeated in later heartbeats.
constexpr std::size_t kMaxLoadsPerHeartbeat =
  8; ///< Greatest number of loads in one heartbeat.
constexpr std::uint32_t kLoadChangeDivisor =
  8; ///< A load counts as changed from 1/8 of the slots on.

/** @return Digest of the reported state of a VM and its incarnation. */
std::uint64_t
evidenceDigest(VmHash aVm,
               const EntryVersion& aVersion,
               const std::string& aState)
{
  return state::stableHash(aState, aVm * 31 + aVersion.major_);
}

/** @return Digest of an observed set's version and the evidence of its VMs. */
std::uint64_t
setDigest(std::uint64_t aSetVersion, std::uint64_t aEvidence)
{
  const std::uint64_t words[] = { aSetVersion, aEvidence };
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
differsSignificantly(const state::EngineLoad& aOld,
                     const state::EngineLoad& aNew)
{
  const std::uint32_t step = std::max(1U, aNew.slots_ / kLoadChangeDivisor);
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
  , listRequestedAt_(aClock.now() + kStartGrace - kListPeriod)
{
  table_.subscribe(EntryKind::kVmInfo, [this](const SharedEntry& aEntry) {
    handleInfoEntry(aEntry);
  });
  table_.subscribe(EntryKind::kVmReport, [this](const SharedEntry& aEntry) {
    handleStateEntry(aEntry);
  });
}

void
Observer::tick(state::TimePoint aNextHeartbeat,
               state::Duration aHeartbeatPeriod)
{
  readList();
  if (vmsChanged_ || assignedAmong_ != membership_.live()) {
    chooseObservedVms();
  }
  for (auto& [vm, observed] : observed_) {
    if (!observed.requestPending_ && !observed.report_) {
      requestReport(observed);
    }
  }
  if (polledHeartbeat_ != aNextHeartbeat &&
      clock_.now() >= aNextHeartbeat - kPollLead) {
    polledHeartbeat_ = aNextHeartbeat;
    pollObservedVms(aHeartbeatPeriod);
  }
}

void
Observer::pollObservedVms(state::Duration aHeartbeatPeriod)
{
  const auto requestsPerHeartbeat = std::max<std::uint64_t>(
    1,
    static_cast<std::uint64_t>(
      kMaxRequestsPerSecond *
      std::chrono::duration<double>(aHeartbeatPeriod).count()));
  const std::uint64_t heartbeatsPerPoll = std::max<std::uint64_t>(
    1, (observed_.size() + requestsPerHeartbeat - 1) / requestsPerHeartbeat);
  if (++heartbeatCount_ % heartbeatsPerPoll != 0) {
    return;
  }
  lastPolledAt_ = clock_.now();
  for (auto& [vm, observed] : observed_) {
    if (!observed.requestPending_) {
      requestReport(observed);
    }
  }
}

void
Observer::readList()
{
  const bool due =
    !listRequestPending_ && clock_.now() - listRequestedAt_ >= kListPeriod;
  if (!due || rankOf("vm-list", membership_.live(), settings_.self_.id_) >=
                kListReaders) {
    return;
  }
  listRequestPending_ = true;
  listRequestedAt_ = clock_.now();
  list_.fetch(settings_.self_.zone_,
              [this](const std::optional<std::vector<state::VmInfo>>& aVms) {
                listRequestPending_ = false;
                if (aVms) {
                  handleList(*aVms);
                }
              });
}

void
Observer::handleList(const std::vector<state::VmInfo>& aVms)
{
  // The second reader may hold an older list. It publishes only that a VM is
  // leaving, which an older list cannot revert.
  const bool first =
    rankOf("vm-list", membership_.live(), settings_.self_.id_) == 0;
  std::set<state::VmId> listed;
  for (const state::VmInfo& info : aVms) {
    listed.insert(info.id_);
    const auto known = vms_.find(info.id_);
    const bool isNew = known == vms_.end();
    const bool startsLeaving =
      !isNew && info.listing_ == state::VmListing::kLeaving &&
      known->second.listing_ == state::VmListing::kLive;
    if (isNew ? first : (startsLeaving || (first && known->second != info))) {
      publishInfo(info);
    }
  }
  if (!first) {
    return;
  }
  std::vector<state::VmId> removed;
  for (const auto& [vm, info] : vms_) {
    if (!listed.contains(vm)) {
      removed.push_back(vm);
    }
  }
  for (const state::VmId& vm : removed) {
    publishRemoval(vm);
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
Observer::publishRemoval(const state::VmId& aVm)
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
      // The greatest count in this incarnation; a report of a later incarnation
      // still replaces the removed entry.
      version.minor_ = std::numeric_limits<std::uint64_t>::max();
    }
    table_.publish({ held->key_, version, {}, clock_.now() });
  }
}

void
Observer::handleInfoEntry(const SharedEntry& aEntry)
{
  const state::VmId vm(aEntry.key_.name_);
  const std::optional<state::VmInfo> info =
    state::decodeVmInfo(vm, aEntry.payload_);
  vmsChanged_ = vmsChanged_ || info.has_value() != vms_.contains(vm);
  if (info) {
    vms_[vm] = *info;
    knownVms_[hashVm(vm)].vm_ = vm;
  } else {
    vms_.erase(vm);
    reports_.erase(vm);
    knownVms_.erase(hashVm(vm));
  }
}

void
Observer::chooseObservedVms()
{
  vmsChanged_ = false;
  assignedAmong_ = membership_.live();
  std::map<state::VmId, ObservedVm> chosen;
  std::vector<VmHash> hashes;
  for (const auto& [vm, info] : vms_) {
    const std::vector<state::DaemonId> observers =
      chooseDaemons("vm/" + vm.value(), assignedAmong_, kObserversPerVm);
    const auto self =
      std::find(observers.begin(), observers.end(), settings_.self_.id_);
    if (self == observers.end()) {
      continue;
    }
    const auto held = observed_.find(vm);
    ObservedVm observed = held == observed_.end() ? ObservedVm() : held->second;
    if (held == observed_.end()) {
      observed.vm_ = vm;
      observed.hash_ = hashVm(vm);
    }
    observed.reportsLoad_ = self == observers.begin();
    hashes.push_back(observed.hash_);
    chosen[vm] = std::move(observed);
  }
  observed_ = std::move(chosen);
  std::string payload = encodeObservedSet(hashes);
  if (payload != setPayload_) {
    setPayload_ = std::move(payload);
    ++setVersion_;
    table_.publish({ { EntryKind::kObservedSet, settings_.self_.id_.value() },
                     { settings_.self_.incarnation_.value(), setVersion_ },
                     setPayload_,
                     clock_.now() });
  }
}

void
Observer::requestReport(ObservedVm& aObserved)
{
  aObserved.requestPending_ = true;
  ++requestsSent_;
  engines_.fetchReport(
    vms_.at(aObserved.vm_),
    kReportTimeout,
    [this, vm = aObserved.vm_](const std::optional<state::VmReport>& aReport) {
      handleReport(vm, aReport);
    });
}

void
Observer::handleReport(const state::VmId& aVm,
                       const std::optional<state::VmReport>& aReport)
{
  const auto found = observed_.find(aVm);
  if (found == observed_.end()) {
    return;
  }
  ObservedVm& observed = found->second;
  observed.requestPending_ = false;
  const auto order = [](const state::VmReport& aValue) {
    return std::tie(aValue.incarnation_, aValue.count_);
  };
  const bool usable =
    aReport && aReport->vm_ == aVm && vms_.contains(aVm) &&
    (!observed.report_ || order(*aReport) >= order(*observed.report_));
  if (!usable) {
    return;
  }
  observed.report_ = aReport;
  observed.evidence_ =
    evidenceDigest(observed.hash_,
                   { aReport->incarnation_.value(), aReport->count_ },
                   state::encodeVmState(*aReport));
  publishState(observed);
  updateReport(*aReport);
}

void
Observer::publishState(const ObservedVm& aObserved)
{
  const EntryKey key{ EntryKind::kVmReport, aObserved.vm_.value() };
  const std::optional<SharedEntry> held = table_.find(key);
  const state::VmReport& report = *aObserved.report_;
  const EntryVersion version{ report.incarnation_.value(), report.count_ };
  const std::string payload = state::encodeVmState(report);
  const bool same = held && held->payload_ == payload &&
                    held->version_.major_ == version.major_;
  if (!same) {
    table_.publish({ key, version, payload, report.observedAt_ });
  }
}

void
Observer::handleStateEntry(const SharedEntry& aEntry)
{
  const state::VmId vm(aEntry.key_.name_);
  const VmHash hash = hashVm(vm);
  std::optional<state::VmReport> report =
    state::decodeVmState(vm, aEntry.payload_);
  if (!report) {
    reports_.erase(vm);
    return;
  }
  knownVms_[hash] = { vm,
                      evidenceDigest(hash, aEntry.version_, aEntry.payload_) };
  report->incarnation_ = state::Incarnation(aEntry.version_.major_);
  report->count_ = aEntry.version_.minor_;
  report->observedAt_ = aEntry.observedAt_;
  const auto held = reports_.find(vm);
  if (held != reports_.end() &&
      held->second.incarnation_ == report->incarnation_) {
    report->load_ = held->second.load_;
  }
  updateReport(*report);
}

void
Observer::updateReport(const state::VmReport& aReport)
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
Observer::canAttest(const ObservedVm& aObserved, bool aLate) const
{
  const auto known = knownVms_.find(aObserved.hash_);
  const bool agreed = aObserved.report_ && known != knownVms_.end() &&
                      known->second.evidence_ == aObserved.evidence_;
  return agreed && (aObserved.report_->observedAt_ >= lastPolledAt_ ||
                    (aLate && clock_.now() - aObserved.report_->observedAt_ <=
                                kMaxLateAge));
}

bool
Observer::shouldSendLoad(ObservedVm& aObserved) const
{
  if (!aObserved.reportsLoad_ || aObserved.report_->role_.rank_ != 0) {
    return false;
  }
  const state::EngineLoad& load = aObserved.report_->load_;
  const bool refresh = clock_.now() - aObserved.loadSentAt_ >= kLoadRefresh;
  if (!aObserved.sentLoad_ || refresh ||
      differsSignificantly(*aObserved.sentLoad_, load)) {
    aObserved.sentLoad_ = load;
    aObserved.loadSentAt_ = clock_.now();
    aObserved.repeatsLeft_ = kLoadRepeats;
    return true;
  }
  return aObserved.repeatsLeft_-- > 0;
}

void
Observer::fillHeartbeat(Heartbeat& aHeartbeat)
{
  aHeartbeat.observedAt_ = clock_.now();
  const bool late = heartbeatCount_ % kLateReportInterval == 0;
  std::uint64_t evidence = 0;
  std::uint32_t index = 0;
  for (auto& [vm, observed] : observed_) {
    if (!canAttest(observed, late)) {
      aHeartbeat.skipped_.push_back(index++);
      continue;
    }
    evidence ^= observed.evidence_;
    aHeartbeat.observedAt_ =
      std::min(aHeartbeat.observedAt_, observed.report_->observedAt_);
    if (aHeartbeat.loads_.size() < kMaxLoadsPerHeartbeat &&
        shouldSendLoad(observed)) {
      aHeartbeat.loads_.push_back({ index, observed.report_->load_ });
    }
    ++index;
  }
  aHeartbeat.evidence_ = setDigest(setVersion_, evidence);
}

void
Observer::receiveHeartbeat(const Member& aMember)
{
  const std::optional<SharedEntry> set =
    table_.find({ EntryKind::kObservedSet, aMember.address_.id_.value() });
  if (!set || set->version_.major_ != aMember.address_.incarnation_.value()) {
    return;
  }
  const Heartbeat& heartbeat = aMember.heartbeat_;
  const std::vector<VmHash> vms = decodeObservedSet(set->payload_);
  std::vector<const KnownVm*> attested(vms.size(), nullptr);
  std::uint64_t evidence = 0;
  auto skipped = heartbeat.skipped_.begin();
  for (std::uint32_t index = 0; index < vms.size(); ++index) {
    if (skipped != heartbeat.skipped_.end() && *skipped == index) {
      ++skipped;
      continue;
    }
    const auto known = knownVms_.find(vms[index]);
    if (known != knownVms_.end()) {
      attested[index] = &known->second;
      evidence ^= known->second.evidence_;
    }
  }
  if (setDigest(set->version_.minor_, evidence) != heartbeat.evidence_) {
    ++digestMismatches_;
    return;
  }
  for (const KnownVm* known : attested) {
    const auto report =
      known == nullptr ? reports_.end() : reports_.find(known->vm_);
    if (report != reports_.end()) {
      report->second.observedAt_ =
        std::max(report->second.observedAt_, heartbeat.observedAt_);
    }
  }
  for (const HeartbeatLoad& load : heartbeat.loads_) {
    const KnownVm* known =
      load.index_ < attested.size() ? attested[load.index_] : nullptr;
    const auto report =
      known == nullptr ? reports_.end() : reports_.find(known->vm_);
    if (report != reports_.end()) {
      report->second.load_ = load.load_;
    }
  }
}

} // namespace auburnhaven::coordination
