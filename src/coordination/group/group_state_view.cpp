// One daemon's view of domain records and copies in all availability zones.

#include "coordination/group/group_state_view.h"

#include "coordination/group/domain_summary_codec.h"
#include "coordination/group/order_func.h"
#include "state/domain_record_codec.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using state::DomainId;
using state::DomainRecord;

EntryKey
entryKey(EntryKind aKind, const DomainId& aDomain)
{
  return { aKind, aDomain.value() };
}

/** @return Whether two summaries differ in anything but load and slowdown. */
bool
differBeyondLoad(DomainSummary aLeft, DomainSummary aRight)
{
  for (DomainSummary* summary : { &aLeft, &aRight }) {
    for (CopySummary& copy : summary->copies_) {
      copy.load_ = {};
      copy.slowdownPermille_ = 0;
    }
  }
  return aLeft != aRight;
}

HostedCopy
hostedCopy(const DomainSummary& aSummary,
           const CopySummary& aCopy,
           bool aUnavailable)
{
  return { aCopy.id_,       aSummary.domain_, aSummary.zone_,
           aCopy.vms_,      aCopy.complete_,  aCopy.open_ && !aUnavailable,
           aCopy.outdated_, aUnavailable };
}

} // namespace

GroupStateView::GroupStateView(state::Clock& aClock,
                               const Observation& aObservation,
                               SharedTable& aTable,
                               state::ZoneId aZone,
                               const GroupLimits& aLimits)
  : clock_(aClock)
  , observation_(aObservation)
  , table_(aTable)
  , zone_(std::move(aZone))
  , limits_(aLimits)
{
  table_.subscribe(EntryKind::kDomainRecord, [this](const SharedEntry& aEntry) {
    handleRecordEntry(aEntry);
  });
  table_.subscribe(EntryKind::kCopySummary, [this](const SharedEntry& aEntry) {
    handleSummaryEntry(aEntry);
  });
  for (const SharedEntry& entry : table_.list(EntryKind::kDomainRecord)) {
    handleRecordEntry(entry);
  }
  for (const SharedEntry& entry : table_.list(EntryKind::kCopySummary)) {
    handleSummaryEntry(entry);
  }
}

void
GroupStateView::setRecordHandler(RecordHandler aHandler)
{
  recordHandler_ = std::move(aHandler);
}

void
GroupStateView::updateVmHistory()
{
  history_ = updateHistory(history_,
                           observation_.vms(),
                           observation_.reports(),
                           clock_.now(),
                           limits_);
  for (const auto& [domain, record] : records_) {
    history_ = updateSlowness(std::move(history_),
                              record,
                              observation_.reports(),
                              clock_.now(),
                              limits_);
  }
}

void
GroupStateView::publishRecord(const DomainRecord& aRecord)
{
  const auto known = records_.find(aRecord.domain_);
  if (known != records_.end() && known->second.version_ >= aRecord.version_) {
    return;
  }
  table_.publish({ entryKey(EntryKind::kDomainRecord, aRecord.domain_),
                   { aRecord.version_, 1 },
                   state::encodeDomainRecord(aRecord),
                   clock_.now() });
}

void
GroupStateView::publishSummary(const state::Configuration& aConfiguration,
                               const DomainId& aDomain,
                               const state::DaemonId& aCoordinator)
{
  const auto record = records_.find(aDomain);
  if (record == records_.end()) {
    return;
  }
  DomainSummary summary = summarize(aConfiguration, record->second);
  summary.coordinator_ = aCoordinator;
  const auto known = summaries_.find(aDomain);
  const bool changed = known == summaries_.end() ||
                       differBeyondLoad(known->second.summary_, summary);
  if (!changed && summaryAge(aDomain) < limits_.summaryRefresh_) {
    return;
  }
  const EntryKey key = entryKey(EntryKind::kCopySummary, aDomain);
  const std::optional<SharedEntry> before = table_.find(key);
  EntryVersion version{ summary.version_, 1 };
  if (before && before->version_ >= version) {
    version = { before->version_.major_, before->version_.minor_ + 1 };
  }
  table_.publish({ key, version, encodeDomainSummary(summary), clock_.now() });
}

const std::map<DomainId, DomainRecord>&
GroupStateView::records() const
{
  return records_;
}

const std::map<DomainId, TimedSummary>&
GroupStateView::summaries() const
{
  return summaries_;
}

const VmHistoryMap&
GroupStateView::history() const
{
  return history_;
}

std::set<DomainId>
GroupStateView::domains() const
{
  std::set<DomainId> domains;
  for (const auto& [vm, info] : observation_.vms()) {
    if (info.zone_ == zone_) {
      domains.insert(info.domain_);
    }
  }
  for (const auto& [domain, record] : records_) {
    domains.insert(domain);
  }
  return domains;
}

AllocationFacts
GroupStateView::facts(const state::Configuration& aConfiguration) const
{
  AllocationFacts facts;
  for (const DomainId& domain : domains()) {
    facts.domains_.push_back({ domain, zone_, usableVms(domain) });
    const auto record = records_.find(domain);
    if (record == records_.end()) {
      continue;
    }
    const DomainSummary summary = summarize(aConfiguration, record->second);
    for (const CopySummary& copy : summary.copies_) {
      facts.hosted_.push_back(hostedCopy(summary, copy, false));
    }
  }
  for (const auto& [domain, timed] : summaries_) {
    const DomainSummary& summary = timed.summary_;
    if (summary.zone_ == zone_) {
      continue;
    }
    const bool unavailable = summaryAge(domain) > limits_.unavailableAfter_;
    const std::uint32_t usable = unavailable ? 0 : summary.usable_;
    facts.domains_.push_back({ domain, summary.zone_, usable });
    for (const CopySummary& copy : summary.copies_) {
      facts.hosted_.push_back(hostedCopy(summary, copy, unavailable));
    }
  }
  return facts;
}

std::vector<state::ServingCopy>
GroupStateView::copies() const
{
  std::vector<state::ServingCopy> copies;
  addLocalCopies(copies);
  addRemoteCopies(copies);
  return copies;
}

bool
GroupStateView::hasCoordinator(const DomainId& aDomain,
                               state::Duration aAge) const
{
  const auto found = summaries_.find(aDomain);
  return found != summaries_.end() &&
         !found->second.summary_.coordinator_.empty() &&
         summaryAge(aDomain) <= aAge;
}

state::Duration
GroupStateView::summaryAge(const DomainId& aDomain) const
{
  const auto found = summaries_.find(aDomain);
  return found == summaries_.end() ? state::Duration::max()
                                   : clock_.now() - found->second.observedAt_;
}

void
GroupStateView::handleRecordEntry(const SharedEntry& aEntry)
{
  const std::string source = "domain record " + aEntry.key_.name_;
  state::leaf::try_handle_all(
    [&]() -> state::leaf::result<void> {
      BOOST_LEAF_AUTO(record,
                      state::decodeDomainRecord(aEntry.payload_, source));
      if (record.zone_ != zone_) {
        return {};
      }
      DomainRecord& kept = records_[record.domain_];
      if (kept.domain_.empty() || kept.version_ < record.version_) {
        kept = record;
        if (recordHandler_) {
          recordHandler_(kept);
        }
      }
      return {};
    },
    [] {});
}

void
GroupStateView::handleSummaryEntry(const SharedEntry& aEntry)
{
  state::leaf::try_handle_all(
    [&]() -> state::leaf::result<void> {
      BOOST_LEAF_AUTO(summary, decodeDomainSummary(aEntry.payload_));
      const DomainId domain = summary.domain_;
      summaries_[domain] = { std::move(summary), aEntry.observedAt_ };
      return {};
    },
    [] {});
}

DomainSummary
GroupStateView::summarize(const state::Configuration& aConfiguration,
                          const DomainRecord& aRecord) const
{
  DomainSummary summary;
  summary.domain_ = aRecord.domain_;
  summary.zone_ = aRecord.zone_;
  summary.usable_ = usableVms(aRecord.domain_);
  summary.version_ = aRecord.version_;
  for (const auto& [id, copy] : aRecord.copies_) {
    const EvaluatedCopy evaluated =
      evaluateRecordedCopy(aRecord,
                           id,
                           observation_.reports(),
                           clock_.now(),
                           limits_.evidenceLimit_);
    const auto group = aConfiguration.groups_.find(id.group_);
    const state::VmId& head = evaluated.copy_.members_.front();
    const auto report = observation_.reports().find(head);
    summary.copies_.push_back(
      { id,
        static_cast<std::uint32_t>(copy.members_.size()),
        state::isComplete(copy),
        evaluated.readiness_.open_,
        group != aConfiguration.groups_.end() &&
          isOutdated(copy, group->second),
        evaluated.readiness_.reason_,
        head,
        evaluated.copy_.fencing_,
        report == observation_.reports().end() ? state::EngineLoad{}
                                               : report->second.load_,
        slowdownOf(evaluated.copy_) });
  }
  return summary;
}

std::uint32_t
GroupStateView::usableVms(const DomainId& aDomain) const
{
  const auto record = records_.find(aDomain);
  std::uint32_t usable = 0;
  for (const auto& [vm, info] : observation_.vms()) {
    if (info.domain_ != aDomain || info.listing_ != state::VmListing::kLive) {
      continue;
    }
    const auto history = history_.find(vm);
    const bool unavailable =
      history != history_.end() && history->second.absentSince_ &&
      clock_.now() - *history->second.absentSince_ >= limits_.unavailableAfter_;
    bool withdrawn = false;
    if (record != records_.end()) {
      const auto assignment = record->second.assignments_.find(vm);
      withdrawn = assignment != record->second.assignments_.end() &&
                  assignment->second.kind_ == state::AssignmentKind::kWithdrawn;
    }
    usable += unavailable || withdrawn ? 0 : 1;
  }
  return usable;
}

std::uint32_t
GroupStateView::slowdownOf(const state::CopyRecord& aCopy) const
{
  constexpr std::uint32_t kPermille = 1000;
  std::vector<std::uint32_t> speeds;
  std::uint32_t own = 0;
  for (const auto& [domain, record] : records_) {
    for (const auto& [id, copy] : record.copies_) {
      const auto report = observation_.reports().find(copy.members_.front());
      if (id.group_ != aCopy.id_.group_ ||
          report == observation_.reports().end() ||
          report->second.load_.running_ == 0) {
        continue;
      }
      const state::EngineLoad& load = report->second.load_;
      speeds.push_back(load.tokensPerSecond_ / load.running_);
      own = id == aCopy.id_ ? speeds.back() : own;
    }
  }
  if (own == 0 || speeds.size() < 2) {
    return kPermille;
  }
  std::sort(speeds.begin(), speeds.end());
  return kPermille * speeds[speeds.size() / 2] / own;
}

void
GroupStateView::addLocalCopies(std::vector<state::ServingCopy>& aCopies) const
{
  for (const auto& [domain, record] : records_) {
    for (const auto& [id, recorded] : record.copies_) {
      const EvaluatedCopy evaluated =
        evaluateRecordedCopy(record,
                             id,
                             observation_.reports(),
                             clock_.now(),
                             limits_.evidenceLimit_);
      state::ServingCopy copy;
      copy.id_ = id;
      copy.zone_ = zone_;
      copy.head_ = evaluated.copy_.members_.front();
      copy.fencing_ = evaluated.copy_.fencing_;
      copy.open_ = evaluated.readiness_.open_;
      copy.closedReason_ = evaluated.readiness_.reason_;
      copy.evidenceUntil_ = evaluated.readiness_.evidenceUntil_;
      copy.slowdownPermille_ = slowdownOf(evaluated.copy_);
      const auto listed = observation_.vms().find(copy.head_);
      if (listed == observation_.vms().end()) {
        copy.closedReason_ = copy.open_ ? "head is not in the platform's list"
                                        : copy.closedReason_;
        copy.open_ = false;
      } else {
        copy.endpoint_ = listed->second.endpoint_;
        if (copy.open_ &&
            listed->second.listing_ == state::VmListing::kLeaving) {
          copy.open_ = false;
          copy.closedReason_ = "head is leaving";
        }
      }
      const auto report = observation_.reports().find(copy.head_);
      if (report != observation_.reports().end()) {
        copy.load_ = report->second.load_;
        copy.loadObservedAt_ = report->second.observedAt_;
      }
      aCopies.push_back(std::move(copy));
    }
  }
}

void
GroupStateView::addRemoteCopies(std::vector<state::ServingCopy>& aCopies) const
{
  for (const auto& [domain, timed] : summaries_) {
    if (timed.summary_.zone_ == zone_) {
      continue;
    }
    const state::TimePoint until =
      timed.observedAt_ + limits_.remoteEvidenceLimit_;
    for (const CopySummary& summary : timed.summary_.copies_) {
      state::ServingCopy copy;
      copy.id_ = summary.id_;
      copy.zone_ = timed.summary_.zone_;
      copy.head_ = summary.head_;
      copy.fencing_ = summary.fencing_;
      copy.open_ = summary.open_ && clock_.now() <= until;
      copy.closedReason_ = summary.open_ && !copy.open_
                             ? "no news from its availability zone"
                             : summary.closedReason_;
      copy.load_ = summary.load_;
      copy.loadObservedAt_ = timed.observedAt_;
      copy.evidenceUntil_ = until;
      copy.slowdownPermille_ = summary.slowdownPermille_;
      aCopies.push_back(std::move(copy));
    }
  }
}

} // namespace auburnhaven::coordination
