// Tests of the planner, the allocation of copies and the choice of loads.

#include "coordination/group/allocation_func.h"
#include "coordination/group/order_func.h"
#include "coordination/group/planner_func.h"
#include "fakes/fake_observation.h"
#include "state/domain_record_func.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using state::CopyId;
using state::GroupId;
using state::VmId;

namespace {

constexpr std::chrono::seconds kStep{ 1 };

VmId
vmId(int aNumber)
{
  return VmId((aNumber < 10 ? "vm0" : "vm") + std::to_string(aNumber));
}

/** Simulates one domain; plans and orders take effect immediately. */
class SimulatedDomain
{
public:
  explicit SimulatedDomain(int aVms)
  {
    record_.domain_ = state::DomainId("d");
    record_.zone_ = state::ZoneId("z");
    engines_.loadTime_ = std::chrono::seconds(5);
    for (int vm = 0; vm < aVms; ++vm) {
      engines_.add({ vmId(vm), record_.zone_, record_.domain_, {}, 4 });
    }
    configuration_.policy_.sparesPerDomain_ = 0;
  }

  void addGroup(const std::string& aName,
                std::int32_t aPriority,
                std::uint32_t aCopies,
                std::uint32_t aVms)
  {
    state::ServingGroup group;
    group.id_ = GroupId(aName);
    group.model_ = "m";
    group.version_ = "1";
    group.copies_ = aCopies;
    group.vmsPerCopy_ = aVms;
    group.priority_ = aPriority;
    configuration_.groups_[group.id_] = group;
  }

  void run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      clock_.advance(kStep);
      engines_.advance(kStep);
      observation_.refresh(engines_, clock_.now());
      runPlanner();
      deliverOrders();
      CPPUNIT_ASSERT_EQUAL(std::string(), state::brokenInvariant(record_));
    }
  }

  bool isOpen(const std::string& aGroup, std::uint32_t aIndex) const
  {
    const auto found = record_.copies_.find({ GroupId(aGroup), aIndex });
    return found != record_.copies_.end() &&
           evaluateCopyReadiness(found->second,
                                 observation_.reports_,
                                 clock_.now(),
                                 limits_.evidenceLimit_)
             .open_;
  }

  std::size_t count(state::AssignmentKind aKind) const
  {
    std::size_t count = 0;
    for (const auto& [vm, assignment] : record_.assignments_) {
      count += assignment.kind_ == aKind ? 1 : 0;
    }
    return count;
  }

  bool isMember(int aVm) const
  {
    const auto found = record_.assignments_.find(vmId(aVm));
    return found != record_.assignments_.end() &&
           found->second.kind_ == state::AssignmentKind::kMember;
  }

  fakes::FakeEngineData engines_;      ///< Engines of the domain.
  fakes::FakeObservation observation_; ///< Observed VMs and reports.
  fakes::FakeClock clock_;             ///< Simulated time.
  state::Configuration configuration_; ///< Configuration in force.
  state::DomainRecord record_;         ///< Record of the domain.
  GroupLimits limits_;                 ///< Limits and periods.

private:
  AllocationFacts facts() const
  {
    AllocationFacts result;
    std::uint32_t usable = 0;
    for (const auto& [vm, info] : observation_.vms_) {
      const VmHealth health =
        healthOf(vm, history_, observation_.vms_, clock_.now(), limits_);
      usable += health == VmHealth::kPresent || health == VmHealth::kSuspect;
    }
    result.domains_.push_back({ record_.domain_, record_.zone_, usable });
    for (const auto& [id, copy] : record_.copies_) {
      result.hosted_.push_back(
        { id,
          record_.domain_,
          record_.zone_,
          static_cast<std::uint32_t>(copy.members_.size()),
          state::isComplete(copy),
          isOpen(id.group_.value(), id.index_),
          isOutdated(copy, configuration_.groups_.at(id.group_)) });
    }
    return result;
  }

  void runPlanner()
  {
    history_ = updateHistory(history_,
                             observation_.vms_,
                             observation_.reports_,
                             clock_.now(),
                             limits_);
    history_ = updateSlowness(
      history_, record_, observation_.reports_, clock_.now(), limits_);
    const Allocation allocation = allocateCopies(configuration_, facts());
    const auto wanted = allocation.wanted_.find(record_.domain_);
    static const std::set<CopyId> kNone;
    const PlannedCommands commands =
      plan({ record_,
             observation_.vms_,
             observation_.reports_,
             history_,
             configuration_,
             wanted == allocation.wanted_.end() ? kNone : wanted->second,
             allocation.mayUpdate_,
             limits_,
             clock_.now() });
    if (!commands.empty()) {
      record_ = applyPlannedCommands(record_, commands);
    }
  }

  void deliverOrders()
  {
    const std::vector<const state::DomainRecord*> records{ &record_ };
    const std::set<VmId> loads = chooseLoads({ records,
                                               observation_.reports_,
                                               configuration_,
                                               limits_,
                                               clock_.now() });
    for (const auto& [vm, report] : observation_.reports_) {
      const EngineOrder order = orderFor(record_, vm);
      if (!followsOrder(record_, order, report) &&
          (!needsLoad(order, report) || loads.contains(vm))) {
        engines_.deliver(order);
      }
    }
  }

  VmHistoryMap history_; ///< History of each VM.
};

} // namespace

class GroupPlannerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GroupPlannerTest);
  CPPUNIT_TEST(completesCopiesByPriority);
  CPPUNIT_TEST(loadsCopiesOneAtATime);
  CPPUNIT_TEST(replacesAbsentMemberBySpare);
  CPPUNIT_TEST(keepsMemberAfterShortAbsence);
  CPPUNIT_TEST(returningVmBecomesSpareAfterSettling);
  CPPUNIT_TEST(flappingMemberIsReplacedWithoutInterruption);
  CPPUNIT_TEST(stragglerIsReplaced);
  CPPUNIT_TEST(leavingMemberIsReplacedAfterPreload);
  CPPUNIT_TEST(lowerPriorityCopyIsPreempted);
  CPPUNIT_TEST(preemptionCanBeDisabled);
  CPPUNIT_TEST(incompleteCopiesOfSamePriorityAreMerged);
  CPPUNIT_TEST(rollingUpdateKeepsConfiguredCopiesOpen);
  CPPUNIT_TEST(domainRecoversFromOutageWithoutReload);
  CPPUNIT_TEST(unwantedCopyIsRemoved);
  CPPUNIT_TEST(reservesAreAssignedInAdvance);
  CPPUNIT_TEST(copyMovesFromUnavailableDomain);
  CPPUNIT_TEST(closedHostOfDuplicateCopyIsDropped);
  CPPUNIT_TEST(sparesTakePrecedenceOverFurtherCopies);
  CPPUNIT_TEST_SUITE_END();

public:
  void completesCopiesByPriority()
  {
    SimulatedDomain domain(5);
    domain.addGroup("low", 1, 1, 3);
    domain.addGroup("high", 2, 1, 3);
    domain.run(20);
    CPPUNIT_ASSERT(domain.isOpen("high", 0));
    CPPUNIT_ASSERT(!domain.isOpen("low", 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         domain.count(state::AssignmentKind::kSpare));
  }

  /** Loads beyond the limit wait, so the first copy serves long before the
   * last one. */
  void loadsCopiesOneAtATime()
  {
    SimulatedDomain domain(8);
    domain.engines_.loadsAtOnce_ = 2;
    domain.limits_.loadsAtOnce_ = 2;
    domain.addGroup("g", 1, 4, 2);
    domain.run(9);
    CPPUNIT_ASSERT(domain.isOpen("g", 0));
    CPPUNIT_ASSERT(!domain.isOpen("g", 3));
    domain.run(25);
    CPPUNIT_ASSERT(domain.isOpen("g", 3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, domain.engines_.loads_);
  }

  void replacesAbsentMemberBySpare()
  {
    SimulatedDomain domain(4);
    domain.addGroup("g", 1, 1, 3);
    domain.run(15);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && domain.isMember(1));
    domain.engines_.engines_.at(vmId(1)).alive_ = false;
    domain.run(7);
    CPPUNIT_ASSERT(!domain.isOpen("g", 0) && domain.isMember(1));
    domain.run(25);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && !domain.isMember(1));
  }

  void keepsMemberAfterShortAbsence()
  {
    SimulatedDomain domain(4);
    domain.addGroup("g", 1, 1, 3);
    domain.run(15);
    domain.engines_.engines_.at(vmId(1)).alive_ = false;
    domain.run(9);
    domain.engines_.engines_.at(vmId(1)).alive_ = true;
    domain.run(2);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && domain.isMember(1));
    // The fourth load is the preload of the spare, which is free again.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, domain.engines_.loads_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         domain.count(state::AssignmentKind::kSpare));
  }

  void returningVmBecomesSpareAfterSettling()
  {
    SimulatedDomain domain(4);
    domain.addGroup("g", 1, 1, 3);
    domain.run(15);
    domain.engines_.engines_.at(vmId(1)).alive_ = false;
    domain.run(40);
    domain.engines_.engines_.at(vmId(1)).alive_ = true;
    domain.run(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         domain.count(state::AssignmentKind::kWithdrawn));
    domain.run(40);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         domain.count(state::AssignmentKind::kSpare));
    CPPUNIT_ASSERT(domain.engines_.engines_.at(vmId(1)).report_.phase_ ==
                   state::EnginePhase::kIdle);
  }

  void flappingMemberIsReplacedWithoutInterruption()
  {
    SimulatedDomain domain(4);
    domain.addGroup("g", 1, 1, 3);
    domain.run(15);
    for (int flap = 0; flap < 3; ++flap) {
      domain.engines_.engines_.at(vmId(1)).alive_ = false;
      domain.run(7);
      domain.engines_.engines_.at(vmId(1)).alive_ = true;
      domain.run(2);
    }
    domain.run(15);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && !domain.isMember(1));
  }

  void stragglerIsReplaced()
  {
    SimulatedDomain domain(5);
    domain.addGroup("g", 1, 1, 4);
    domain.run(15);
    for (auto& [vm, engine] : domain.engines_.engines_) {
      engine.report_.load_.running_ = 1;
      engine.report_.load_.tokensPerSecond_ = vm == vmId(2) ? 10 : 100;
    }
    domain.run(50);
    CPPUNIT_ASSERT(domain.isMember(2));
    domain.run(30);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && !domain.isMember(2));
  }

  void leavingMemberIsReplacedAfterPreload()
  {
    SimulatedDomain domain(4);
    domain.addGroup("g", 1, 1, 3);
    domain.run(15);
    domain.engines_.engines_.at(vmId(0)).info_.listing_ =
      state::VmListing::kLeaving;
    int closedSteps = 0;
    for (int step = 0; step < 20; ++step) {
      domain.run(1);
      closedSteps += domain.isOpen("g", 0) ? 0 : 1;
    }
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && !domain.isMember(0));
    CPPUNIT_ASSERT(closedSteps <= 1);
  }

  void lowerPriorityCopyIsPreempted()
  {
    SimulatedDomain domain(6);
    domain.addGroup("low", 1, 1, 3);
    domain.addGroup("high", 2, 1, 3);
    domain.run(20);
    CPPUNIT_ASSERT(domain.isOpen("low", 0) && domain.isOpen("high", 0));
    const VmId lost =
      domain.record_.copies_.at({ GroupId("high"), 0 }).members_[1];
    domain.engines_.engines_.at(lost).alive_ = false;
    domain.run(55);
    CPPUNIT_ASSERT(!domain.isOpen("high", 0) && domain.isOpen("low", 0));
    domain.run(25);
    CPPUNIT_ASSERT(domain.isOpen("high", 0) && !domain.isOpen("low", 0));
  }

  void preemptionCanBeDisabled()
  {
    SimulatedDomain domain(6);
    domain.configuration_.policy_.allowPreemption_ = false;
    domain.addGroup("low", 1, 1, 3);
    domain.addGroup("high", 2, 1, 3);
    domain.run(20);
    const VmId lost =
      domain.record_.copies_.at({ GroupId("high"), 0 }).members_[1];
    domain.engines_.engines_.at(lost).alive_ = false;
    domain.run(100);
    CPPUNIT_ASSERT(!domain.isOpen("high", 0) && domain.isOpen("low", 0));
  }

  void incompleteCopiesOfSamePriorityAreMerged()
  {
    SimulatedDomain domain(6);
    domain.addGroup("g", 1, 2, 3);
    domain.run(20);
    for (std::uint32_t index = 0; index < 2; ++index) {
      const VmId lost =
        domain.record_.copies_.at({ GroupId("g"), index }).members_[1];
      domain.engines_.engines_.at(lost).alive_ = false;
    }
    domain.run(80);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) != domain.isOpen("g", 1));
  }

  void rollingUpdateKeepsConfiguredCopiesOpen()
  {
    SimulatedDomain domain(6);
    domain.addGroup("g", 1, 2, 2);
    domain.run(20);
    domain.configuration_.groups_.at(GroupId("g")).version_ = "2";
    for (int step = 0; step < 60; ++step) {
      domain.run(1);
      int open = 0;
      for (std::uint32_t index = 0; index < 3; ++index) {
        open += domain.isOpen("g", index) ? 1 : 0;
      }
      CPPUNIT_ASSERT(open >= 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, domain.record_.copies_.size());
    for (const auto& [id, copy] : domain.record_.copies_) {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), copy.version_);
    }
  }

  void domainRecoversFromOutageWithoutReload()
  {
    SimulatedDomain domain(6);
    domain.addGroup("g", 1, 2, 3);
    domain.run(20);
    for (auto& [vm, engine] : domain.engines_.engines_) {
      engine.alive_ = false;
    }
    domain.run(300);
    CPPUNIT_ASSERT(!domain.isOpen("g", 0));
    for (auto& [vm, engine] : domain.engines_.engines_) {
      engine.alive_ = true;
    }
    domain.run(3);
    CPPUNIT_ASSERT(domain.isOpen("g", 0) && domain.isOpen("g", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, domain.engines_.loads_);
  }

  void unwantedCopyIsRemoved()
  {
    SimulatedDomain domain(4);
    domain.addGroup("g", 1, 2, 2);
    domain.run(15);
    domain.configuration_.groups_.at(GroupId("g")).copies_ = 1;
    domain.run(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, domain.record_.copies_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         domain.count(state::AssignmentKind::kSpare));
  }

  void reservesAreAssignedInAdvance()
  {
    SimulatedDomain domain(5);
    domain.configuration_.policy_.reservesPerCopy_ = 1;
    domain.addGroup("g", 1, 2, 2);
    domain.run(15);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         domain.count(state::AssignmentKind::kReserve));
    const VmId lost =
      domain.record_.copies_.at({ GroupId("g"), 1 }).members_[0];
    domain.engines_.engines_.at(lost).alive_ = false;
    domain.run(40);
    CPPUNIT_ASSERT(domain.isOpen("g", 1));
  }

  /** @return Facts of two domains with four VMs each; the first one optionally
   * has no usable VM. */
  static AllocationFacts factsOfTwoDomains(bool aFirstUnavailable)
  {
    AllocationFacts facts;
    const state::ZoneId zone("z");
    facts.domains_ = {
      { state::DomainId("a"), zone, aFirstUnavailable ? 0U : 4U },
      { state::DomainId("b"), zone, 4U }
    };
    return facts;
  }

  void copyMovesFromUnavailableDomain()
  {
    SimulatedDomain domain(0);
    domain.addGroup("g", 1, 1, 3);
    AllocationFacts facts = factsOfTwoDomains(true);
    const CopyId copy{ GroupId("g"), 0 };
    facts.hosted_.push_back(
      { copy, state::DomainId("a"), state::ZoneId("z"), 3, true, false });
    const Allocation allocation = allocateCopies(domain.configuration_, facts);
    CPPUNIT_ASSERT(allocation.wanted_.at(state::DomainId("b")).contains(copy));
  }

  void closedHostOfDuplicateCopyIsDropped()
  {
    SimulatedDomain domain(0);
    domain.addGroup("g", 1, 1, 3);
    AllocationFacts facts = factsOfTwoDomains(false);
    const CopyId copy{ GroupId("g"), 0 };
    const state::ZoneId zone("z");
    facts.hosted_ = { { copy, state::DomainId("a"), zone, 3, true, false },
                      { copy, state::DomainId("b"), zone, 3, true, true } };
    const Allocation allocation = allocateCopies(domain.configuration_, facts);
    CPPUNIT_ASSERT(!allocation.wanted_.contains(state::DomainId("a")));
    CPPUNIT_ASSERT(allocation.wanted_.at(state::DomainId("b")).contains(copy));
  }

  void sparesTakePrecedenceOverFurtherCopies()
  {
    SimulatedDomain domain(0);
    domain.addGroup("g", 1, 4, 2);
    domain.configuration_.policy_.sparesPerDomain_ = 1;
    const Allocation allocation =
      allocateCopies(domain.configuration_, factsOfTwoDomains(false));
    std::size_t copies = 0;
    for (const auto& [domainId, wanted] : allocation.wanted_) {
      copies += wanted.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, copies);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupPlannerTest);
