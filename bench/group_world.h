// Discrete event run of one availability zone over the pure planner, or over a
// naive one.
#pragma once

#include "coordination/group/allocation_func.h"
#include "coordination/group/order_func.h"
#include "coordination/group/planner_func.h"
#include "fakes/fake_observation.h"
#include "state/domain_record_func.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::bench {

/** What happens to a VM. */
enum class TraceKind : std::uint8_t
{
  kFail,    ///< It dies and is replaced after a long time.
  kRestart, ///< It starts anew without notice.
  kReplace, ///< It is listed as leaving, then goes and comes back new.
  kPause,   ///< It is silent for a short time and keeps what it loaded.
  kDark,    ///< A whole domain is silent for a time.
};

/** One event of a trace. */
struct TraceEvent
{
  std::int64_t second_ = 0;           ///< When it happens.
  TraceKind kind_ = TraceKind::kFail; ///< What happens.
  std::uint32_t domain_ = 0;          ///< Domain.
  std::uint32_t vm_ = 0;              ///< VM of the domain.
  std::int64_t lasts_ = 0;            ///< Seconds.
};

/** Size of the zone and its rates. */
struct WorldShape
{
  std::uint32_t domains_ = 1;       ///< Fabric domains.
  std::uint32_t vmsPerDomain_ = 16; ///< VMs of each.
  std::uint32_t vmsPerCopy_ = 4;    ///< VMs of a copy.
  std::uint32_t copies_ = 4;        ///< Copies of both groups together.
  std::uint32_t spares_ = 0;        ///< Spares asked for, per domain.
  std::uint32_t loadsAtOnce_ = 4;   ///< Loads at the full rate.
  std::int64_t loadSeconds_ = 60;   ///< Time of a load at the full rate.
};

/** What was measured. */
struct WorldFigures
{
  double downMinutes_ = 0;     ///< Minutes of wanted copies that do not serve.
  double noCopyMinutes_ = 0;   ///< Minutes of groups without any copy.
  double strandedMinutes_ = 0; ///< Minutes of healthy idle accelerators.
  std::uint64_t loads_ = 0;    ///< Loads started.
  std::uint64_t changes_ = 0;  ///< Records written.
};

/** Processor time of the parts of one second, in microseconds. */
struct WorldCosts
{
  double history_ = 0; ///< Carrying the history on.
  double plan_ = 0;    ///< Plan of the first domain.
  double loads_ = 0;   ///< Choice of loads.
  double orders_ = 0;  ///< Comparison of all VMs with their orders.
};

/** Builds the trace of one zone with the target's failure rates. Equal seeds
 * give equal traces. */
class TraceMaker
{
public:
  /** Share of the restarts and replacements that the platform's list tells
   * ahead, in 1,000. */
  TraceMaker(const WorldShape& aShape,
             std::uint64_t aSeed,
             std::uint32_t aAnnouncedPermille)
    : shape_(aShape)
    , random_(aSeed)
    , announced_(aAnnouncedPermille)
  {
  }

  std::vector<TraceEvent> make(std::int64_t aSeconds)
  {
    constexpr double kWorkers = 12000.0;
    constexpr double kDay = 86400.0;
    constexpr double kFails = 130.0 / kWorkers / kDay;
    constexpr double kRestarts = 3500.0 / kWorkers / kDay;
    constexpr double kPauses = kRestarts;
    constexpr double kDomainOutages = 1.0 / (kWorkers / 256.0) / (7.0 * kDay);
    const double vms = shape_.domains_ * shape_.vmsPerDomain_;
    add(TraceKind::kFail, kFails * vms, 3600.0, aSeconds);
    const double announced = announced_ / 1000.0;
    add(TraceKind::kReplace, kRestarts * vms * announced, 180.0, aSeconds);
    add(TraceKind::kRestart, kRestarts * vms * (1 - announced), 30.0, aSeconds);
    add(TraceKind::kPause, kPauses * vms, 5.0, aSeconds);
    add(TraceKind::kDark, kDomainOutages * shape_.domains_, 1200.0, aSeconds);
    std::stable_sort(events_.begin(),
                     events_.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second_ < aRight.second_;
                     });
    return events_;
  }

private:
  void add(TraceKind aKind, double aRate, double aMeanLasts, std::int64_t aEnd)
  {
    if (aRate <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(aRate);
    std::exponential_distribution<double> lasts(1.0 / aMeanLasts);
    for (double at = gap(random_); at < static_cast<double>(aEnd);
         at += gap(random_)) {
      events_.push_back(
        { static_cast<std::int64_t>(at),
          aKind,
          static_cast<std::uint32_t>(random_() % shape_.domains_),
          static_cast<std::uint32_t>(random_() % shape_.vmsPerDomain_),
          1 + static_cast<std::int64_t>(lasts(random_)) });
    }
  }

  WorldShape shape_;               ///< Size of the zone.
  std::mt19937_64 random_;         ///< Source of the trace.
  std::uint32_t announced_;        ///< Announced share, in 1,000.
  std::vector<TraceEvent> events_; ///< Events so far.
};

/** One zone under the planner or under the naive one. */
class World
{
public:
  static constexpr std::int64_t kNotice =
    120; ///< Seconds from leaving to gone.
  static constexpr std::uint32_t kAccelerators = 4; ///< Accelerators of a VM.

  World(const WorldShape& aShape, bool aNaive)
    : shape_(aShape)
    , naive_(aNaive)
  {
    limits_.loadsAtOnce_ = shape_.loadsAtOnce_;
    engines_.loadsAtOnce_ = shape_.loadsAtOnce_;
    engines_.loadTime_ = std::chrono::seconds(shape_.loadSeconds_);
    configuration_.policy_.sparesPerDomain_ = shape_.spares_;
    addGroup("high", 2, (shape_.copies_ + 1) / 2);
    addGroup("low", 1, shape_.copies_ / 2);
    records_.resize(shape_.domains_);
    for (std::uint32_t domain = 0; domain < shape_.domains_; ++domain) {
      records_[domain].domain_ = domainId(domain);
      for (std::uint32_t vm = 0; vm < shape_.vmsPerDomain_; ++vm) {
        engines_.add({ vmId(domain, vm), {}, domainId(domain), {}, 4 });
      }
    }
  }

  /** Forms all copies with fast loads, then forgets what was measured. */
  void warmUp()
  {
    engines_.loadTime_ = std::chrono::seconds(1);
    awaitAll();
    engines_.loadTime_ = std::chrono::seconds(shape_.loadSeconds_);
    forget();
  }

  /** Forgets what was measured. */
  void forget()
  {
    figures_ = {};
    start_ = second_;
    engines_.loads_ = 0;
  }

  void run(const std::vector<TraceEvent>& aTrace, std::int64_t aSeconds)
  {
    constexpr std::int64_t kCalm = 400;
    std::size_t next = 0;
    std::int64_t lastEvent = second_;
    while (second_ - start_ < aSeconds) {
      while (next < aTrace.size() && aTrace[next].second_ <= second_ - start_) {
        begin(aTrace[next++]);
        lastEvent = second_;
      }
      const bool calm = ends_.empty() && second_ - lastEvent > kCalm &&
                        countOpen() == shape_.copies_;
      if (calm) {
        const std::int64_t until =
          next < aTrace.size() ? aTrace[next].second_ : aSeconds;
        skip(std::min(until, aSeconds) - (second_ - start_) - 1);
      }
      step();
    }
    figures_.loads_ = engines_.loads_;
  }

  /** Restarts the engines of some domains at once.
   * @return Seconds until each copy serves again. */
  std::int64_t restartDomains(std::uint32_t aDomains)
  {
    for (std::uint32_t domain = 0; domain < aDomains; ++domain) {
      for (std::uint32_t vm = 0; vm < shape_.vmsPerDomain_; ++vm) {
        engines_.restart(vmId(domain, vm));
      }
    }
    step();
    return 1 + awaitAll();
  }

  /** Kills the first member of the first copy.
   * @return Seconds until each copy serves again. */
  std::int64_t killOneMember()
  {
    const auto& copies = records_.front().copies_;
    engines_.engines_.at(copies.begin()->second.members_.front()).alive_ =
      false;
    for (int second = 0; second < 7; ++second) {
      step();
    }
    return 7 + awaitAll();
  }

  /** Measures the parts of one second, each so many times. */
  WorldCosts measureCosts(int aTimes)
  {
    std::set<state::CopyId> wanted;
    for (const auto& [id, copy] : records_.front().copies_) {
      wanted.insert(id);
    }
    const std::set<state::CopyId> none;
    const std::vector<const state::DomainRecord*> all{ &records_.front() };
    WorldCosts costs;
    costs.history_ = timed(aTimes, [&] {
      history_ = coordination::updateHistory(history_,
                                             observation_.vms_,
                                             observation_.reports_,
                                             clock_.now(),
                                             limits_);
    });
    costs.plan_ = timed(aTimes, [&] {
      coordination::plan({ records_.front(),
                           observation_.vms_,
                           observation_.reports_,
                           history_,
                           configuration_,
                           wanted,
                           none,
                           limits_,
                           clock_.now() });
    });
    costs.loads_ = timed(aTimes, [&] {
      coordination::chooseLoads(
        { all, observation_.reports_, configuration_, limits_, clock_.now() });
    });
    costs.orders_ = timed(aTimes, [&] { order(nullptr); });
    return costs;
  }

  const WorldFigures& figures() const { return figures_; }
  std::uint32_t countOpen() const
  {
    std::uint32_t open = 0;
    for (const auto& [id, group] : configuration_.groups_) {
      open += countOpenOf(id);
    }
    return open;
  }
  std::uint32_t countOpenOf(const state::GroupId& aGroup) const
  {
    std::uint32_t open = 0;
    for (const state::DomainRecord& record : records_) {
      for (const auto& [id, copy] : record.copies_) {
        const bool serves =
          id.group_ == aGroup && isOpen(copy) && isAlive(copy);
        open += serves ? 1 : 0;
      }
    }
    return open;
  }
  const std::vector<state::DomainRecord>& records() const { return records_; }

private:
  template<class Work>
  static double timed(int aTimes, const Work& aWork)
  {
    const auto begin = std::chrono::steady_clock::now();
    for (int time = 0; time < aTimes; ++time) {
      aWork();
    }
    const std::chrono::duration<double, std::micro> lasted =
      std::chrono::steady_clock::now() - begin;
    return lasted.count() / aTimes;
  }

  static state::DomainId domainId(std::uint32_t aDomain)
  {
    return state::DomainId("d" + std::to_string(aDomain));
  }
  static state::VmId vmId(std::uint32_t aDomain, std::uint32_t aVm)
  {
    return state::VmId(domainId(aDomain).value() + "-" + std::to_string(aVm));
  }

  void addGroup(const char* aName, std::int32_t aPriority, std::uint32_t aCount)
  {
    state::ServingGroup group;
    group.id_ = state::GroupId(aName);
    group.model_ = "m";
    group.version_ = "1";
    group.vmsPerCopy_ = shape_.vmsPerCopy_;
    group.copies_ = aCount;
    group.priority_ = aPriority;
    configuration_.groups_[group.id_] = group;
  }

  std::int64_t awaitAll()
  {
    constexpr std::int64_t kMost = 100000;
    const std::int64_t begin = second_;
    while (countOpen() < shape_.copies_ && second_ - begin < kMost) {
      step();
    }
    return second_ - begin;
  }

  void begin(const TraceEvent& aEvent)
  {
    if (aEvent.kind_ == TraceKind::kDark) {
      for (std::uint32_t vm = 0; vm < shape_.vmsPerDomain_; ++vm) {
        silence(vmId(aEvent.domain_, vm), aEvent.lasts_, false);
      }
      return;
    }
    const state::VmId vm = vmId(aEvent.domain_, aEvent.vm_);
    if (busy_.contains(vm)) {
      return;
    }
    if (aEvent.kind_ == TraceKind::kReplace) {
      busy_.insert(vm);
      engines_.engines_.at(vm).info_.listing_ = state::VmListing::kLeaving;
      ends_.emplace(second_ + kNotice, [this, vm, aEvent] {
        busy_.erase(vm);
        silence(vm, aEvent.lasts_, true);
      });
    } else {
      silence(vm, aEvent.lasts_, aEvent.kind_ != TraceKind::kPause);
    }
  }

  void silence(const state::VmId& aVm, std::int64_t aLasts, bool aForgets)
  {
    if (!busy_.insert(aVm).second) {
      return;
    }
    engines_.engines_.at(aVm).alive_ = false;
    ends_.emplace(second_ + aLasts, [this, aVm, aForgets] {
      busy_.erase(aVm);
      engines_.engines_.at(aVm).info_.listing_ = state::VmListing::kLive;
      if (aForgets) {
        engines_.restart(aVm);
      } else {
        engines_.engines_.at(aVm).alive_ = true;
      }
    });
  }

  void skip(std::int64_t aSeconds)
  {
    if (aSeconds <= 0) {
      return;
    }
    measure(aSeconds);
    clock_.advance(std::chrono::seconds(aSeconds));
    second_ += aSeconds;
    for (auto& [vm, report] : observation_.reports_) {
      report.observedAt_ = clock_.now();
    }
  }

  void step()
  {
    clock_.advance(std::chrono::seconds(1));
    ++second_;
    while (!ends_.empty() && ends_.begin()->first <= second_) {
      const auto end = ends_.begin()->second;
      ends_.erase(ends_.begin());
      end();
    }
    engines_.advance(std::chrono::seconds(1));
    observation_.refresh(engines_, clock_.now());
    if (naive_) {
      planNaively();
    } else {
      planWell();
    }
    measure(1);
  }

  void measure(std::int64_t aSeconds)
  {
    constexpr double kMinute = 60.0;
    const std::uint32_t open = std::min(countOpen(), shape_.copies_);
    const double minutes = static_cast<double>(aSeconds) / kMinute;
    figures_.downMinutes_ += (shape_.copies_ - open) * minutes;
    for (const auto& [id, group] : configuration_.groups_) {
      figures_.noCopyMinutes_ += countOpenOf(id) > 0 ? 0 : minutes;
    }
    std::uint32_t stranded = 0;
    for (const auto& [vm, engine] : engines_.engines_) {
      stranded += engine.alive_ ? engine.info_.accelerators_ : 0;
    }
    stranded -= open * shape_.vmsPerCopy_ * kAccelerators;
    figures_.strandedMinutes_ += stranded * minutes;
  }

  bool isOpen(const state::CopyRecord& aCopy) const
  {
    return coordination::evaluateCopyReadiness(
             aCopy, observation_.reports_, clock_.now(), limits_.evidenceLimit_)
      .open_;
  }

  /** @return Whether each member is there, known to the daemons or not. */
  bool isAlive(const state::CopyRecord& aCopy) const
  {
    return std::all_of(
      aCopy.members_.begin(), aCopy.members_.end(), [&](const auto& aVm) {
        return engines_.engines_.at(aVm).alive_;
      });
  }

  bool isFresh(const state::VmId& aVm) const
  {
    const auto found = observation_.reports_.find(aVm);
    return found != observation_.reports_.end() &&
           clock_.now() - found->second.observedAt_ <= limits_.evidenceLimit_;
  }

  void planWell()
  {
    history_ = coordination::updateHistory(history_,
                                           observation_.vms_,
                                           observation_.reports_,
                                           clock_.now(),
                                           limits_);
    const coordination::Allocation allocation =
      coordination::allocateCopies(configuration_, facts());
    static const std::set<state::CopyId> kNone;
    std::vector<const state::DomainRecord*> all;
    for (state::DomainRecord& record : records_) {
      const auto wanted = allocation.wanted_.find(record.domain_);
      const coordination::Moves moves = coordination::plan(
        { record,
          observation_.vms_,
          observation_.reports_,
          history_,
          configuration_,
          wanted == allocation.wanted_.end() ? kNone : wanted->second,
          allocation.mayChange_,
          limits_,
          clock_.now() });
      if (!moves.empty()) {
        record = coordination::applyMoves(record, moves);
        ++figures_.changes_;
      }
      all.push_back(&record);
    }
    const std::set<state::VmId> loads = coordination::chooseLoads(
      { all, observation_.reports_, configuration_, limits_, clock_.now() });
    order(&loads);
  }

  coordination::AllocationFacts facts() const
  {
    coordination::AllocationFacts facts;
    for (const state::DomainRecord& record : records_) {
      std::uint32_t usable = 0;
      for (const auto& [vm, assignment] : record.assignments_) {
        const auto history = history_.find(vm);
        const bool dark = history != history_.end() &&
                          history->second.absentSince_ &&
                          clock_.now() - *history->second.absentSince_ >=
                            limits_.unavailableAfter_;
        const bool withdrawn =
          assignment.kind_ == state::AssignmentKind::kWithdrawn;
        usable += dark || withdrawn ? 0 : 1;
      }
      if (record.assignments_.empty()) {
        usable = shape_.vmsPerDomain_;
      }
      facts.domains_.push_back({ record.domain_, {}, usable });
      for (const auto& [id, copy] : record.copies_) {
        facts.hosted_.push_back(
          { id,
            record.domain_,
            {},
            static_cast<std::uint32_t>(copy.members_.size()),
            state::isComplete(copy),
            isOpen(copy) });
      }
    }
    return facts;
  }

  /** First fit: each copy keeps its present members and takes the first free
   * VMs at once; what cannot be completed gives its VMs back. */
  void planNaively()
  {
    for (std::uint32_t domain = 0; domain < shape_.domains_; ++domain) {
      state::DomainRecord next = records_[domain];
      for (std::uint32_t vm = 0; vm < shape_.vmsPerDomain_; ++vm) {
        takeInNaively(next, vmId(domain, vm));
      }
      for (std::uint32_t index = domain; index < shape_.copies_;
           index += shape_.domains_) {
        const state::CopyId id{ state::GroupId(index % 2 == 0 ? "high" : "low"),
                                index / 2 };
        fillNaively(next, id);
      }
      if (next != records_[domain]) {
        ++next.version_;
        records_[domain] = std::move(next);
        ++figures_.changes_;
      }
    }
    order(nullptr);
  }

  void execute(state::DomainRecord& aRecord,
               const state::AssignmentCommand& aCommand)
  {
    state::runCommand(aRecord, aCommand, state::CommandMode::kExecute);
  }

  void takeInNaively(state::DomainRecord& aRecord, const state::VmId& aVm)
  {
    const auto known = aRecord.assignments_.find(aVm);
    const bool fresh = isFresh(aVm);
    const bool withdrawn =
      known != aRecord.assignments_.end() &&
      known->second.kind_ == state::AssignmentKind::kWithdrawn;
    if (fresh && (known == aRecord.assignments_.end() || withdrawn)) {
      execute(aRecord, state::MakeSpare{ aVm, "" });
    } else if (!fresh && known != aRecord.assignments_.end() && !withdrawn) {
      execute(aRecord, state::WithdrawVm{ aVm, "" });
    }
  }

  void fillNaively(state::DomainRecord& aRecord, const state::CopyId& aCopy)
  {
    execute(aRecord,
            state::CreateCopy{ aCopy, "m", "1", {}, shape_.vmsPerCopy_ });
    std::vector<state::VmId> free;
    for (const auto& [vm, assignment] : aRecord.assignments_) {
      if (assignment.kind_ == state::AssignmentKind::kSpare) {
        free.push_back(vm);
      }
    }
    const std::vector<state::VmId> members = aRecord.copies_.at(aCopy).members_;
    std::size_t next = 0;
    for (std::uint32_t rank = 0; rank < members.size(); ++rank) {
      if (members[rank].empty() && next < free.size()) {
        execute(aRecord, state::AssignMember{ free[next++], aCopy, rank, "" });
      }
    }
    if (!state::isComplete(aRecord.copies_.at(aCopy))) {
      for (const state::VmId& vm : aRecord.copies_.at(aCopy).members_) {
        if (!vm.empty()) {
          execute(aRecord, state::MakeSpare{ vm, "" });
        }
      }
    }
  }

  void order(const std::set<state::VmId>* aLoads)
  {
    for (const state::DomainRecord& record : records_) {
      for (const auto& [vm, assignment] : record.assignments_) {
        if (!isFresh(vm)) {
          continue;
        }
        const auto& report = observation_.reports_.at(vm);
        const auto order = coordination::orderFor(record, vm);
        if (coordination::followsOrder(record, order, report)) {
          continue;
        }
        if (aLoads == nullptr || !coordination::needsLoad(order, report) ||
            aLoads->contains(vm)) {
          engines_.deliver(order);
        }
      }
    }
  }

  WorldShape shape_;                   ///< Size.
  bool naive_;                         ///< Whether the naive planner runs.
  coordination::GroupLimits limits_;   ///< Limits.
  fakes::FakeClock clock_;             ///< Clock.
  fakes::FakeEngineData engines_;      ///< Engines.
  fakes::FakeObservation observation_; ///< What is known of them.
  state::Configuration configuration_; ///< Two groups.
  std::vector<state::DomainRecord> records_; ///< Records by domain.
  coordination::VmHistoryMap history_;       ///< History of the VMs.
  std::int64_t second_ = 0;                  ///< Present second.
  std::int64_t start_ = 0;                   ///< Second at which it started.
  std::multimap<std::int64_t, std::function<void()>>
    ends_;                     ///< Ends of events, by second.
  std::set<state::VmId> busy_; ///< VMs under an event.
  WorldFigures figures_;       ///< What was measured.
};

} // namespace auburnhaven::bench
