// Tests of the planner, the allocation and the choice of loads.

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

/** One domain whose plans and orders take effect at once. */
class Scene
{
public:
  explicit Scene(int aVms)
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
      planOnce();
      orderAll();
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
  fakes::FakeObservation observation_; ///< What is known of them.
  fakes::FakeClock clock_;             ///< Clock.
  state::Configuration configuration_; ///< Configuration.
  state::DomainRecord record_;         ///< Record of the domain.
  GroupLimits limits_;                 ///< Limits.

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

  void planOnce()
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
    const PlannedCommands moves =
      plan({ record_,
             observation_.vms_,
             observation_.reports_,
             history_,
             configuration_,
             wanted == allocation.wanted_.end() ? kNone : wanted->second,
             allocation.mayUpdate_,
             limits_,
             clock_.now() });
    if (!moves.empty()) {
      record_ = applyPlannedCommands(record_, moves);
    }
  }

  void orderAll()
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

  VmHistoryMap history_; ///< History of the VMs.
};

} // namespace

class GroupPlannerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GroupPlannerTest);
  CPPUNIT_TEST(formsCopiesByPriority);
  CPPUNIT_TEST(loadsOneCopyAfterTheOther);
  CPPUNIT_TEST(replacesAbsentMemberBySpare);
  CPPUNIT_TEST(keepsMemberThatComesBackSoon);
  CPPUNIT_TEST(returningVmBecomesSpareAfterSettling);
  CPPUNIT_TEST(flappingMemberIsReplacedWithoutStop);
  CPPUNIT_TEST(stragglerIsReplaced);
  CPPUNIT_TEST(leavingMemberIsReplacedAfterPreparation);
  CPPUNIT_TEST(lesserCopyCompletesGreater);
  CPPUNIT_TEST(preemptionCanBeForbidden);
  CPPUNIT_TEST(brokenCopiesOfOnePriorityMerge);
  CPPUNIT_TEST(rollingChangeKeepsPromisedCopies);
  CPPUNIT_TEST(darkDomainComesBackWithoutReload);
  CPPUNIT_TEST(unwantedCopyIsRemoved);
  CPPUNIT_TEST(reservesAreWrittenAhead);
  CPPUNIT_TEST(copyMovesFromDarkDomain);
  CPPUNIT_TEST(doubleHostGivesUp);
  CPPUNIT_TEST(sparesArePreferredToFurtherCopies);
  CPPUNIT_TEST_SUITE_END();

public:
  void formsCopiesByPriority()
  {
    Scene scene(5);
    scene.addGroup("low", 1, 1, 3);
    scene.addGroup("high", 2, 1, 3);
    scene.run(20);
    CPPUNIT_ASSERT(scene.isOpen("high", 0));
    CPPUNIT_ASSERT(!scene.isOpen("low", 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         scene.count(state::AssignmentKind::kSpare));
  }

  void loadsOneCopyAfterTheOther()
  {
    Scene scene(8);
    scene.engines_.loadsAtOnce_ = 2;
    scene.limits_.loadsAtOnce_ = 2;
    scene.addGroup("g", 1, 4, 2);
    scene.run(9);
    CPPUNIT_ASSERT(scene.isOpen("g", 0));
    CPPUNIT_ASSERT(!scene.isOpen("g", 3));
    scene.run(25);
    CPPUNIT_ASSERT(scene.isOpen("g", 3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, scene.engines_.loads_);
  }

  void replacesAbsentMemberBySpare()
  {
    Scene scene(4);
    scene.addGroup("g", 1, 1, 3);
    scene.run(15);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && scene.isMember(1));
    scene.engines_.engines_.at(vmId(1)).alive_ = false;
    scene.run(7);
    CPPUNIT_ASSERT(!scene.isOpen("g", 0) && scene.isMember(1));
    scene.run(25);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && !scene.isMember(1));
  }

  void keepsMemberThatComesBackSoon()
  {
    Scene scene(4);
    scene.addGroup("g", 1, 1, 3);
    scene.run(15);
    scene.engines_.engines_.at(vmId(1)).alive_ = false;
    scene.run(9);
    scene.engines_.engines_.at(vmId(1)).alive_ = true;
    scene.run(2);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && scene.isMember(1));
    // Only the spare that was prepared meanwhile has loaded; it is free again.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, scene.engines_.loads_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         scene.count(state::AssignmentKind::kSpare));
  }

  void returningVmBecomesSpareAfterSettling()
  {
    Scene scene(4);
    scene.addGroup("g", 1, 1, 3);
    scene.run(15);
    scene.engines_.engines_.at(vmId(1)).alive_ = false;
    scene.run(40);
    scene.engines_.engines_.at(vmId(1)).alive_ = true;
    scene.run(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         scene.count(state::AssignmentKind::kWithdrawn));
    scene.run(40);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         scene.count(state::AssignmentKind::kSpare));
    CPPUNIT_ASSERT(scene.engines_.engines_.at(vmId(1)).report_.phase_ ==
                   state::EnginePhase::kIdle);
  }

  void flappingMemberIsReplacedWithoutStop()
  {
    Scene scene(4);
    scene.addGroup("g", 1, 1, 3);
    scene.run(15);
    for (int flap = 0; flap < 3; ++flap) {
      scene.engines_.engines_.at(vmId(1)).alive_ = false;
      scene.run(7);
      scene.engines_.engines_.at(vmId(1)).alive_ = true;
      scene.run(2);
    }
    scene.run(15);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && !scene.isMember(1));
  }

  void stragglerIsReplaced()
  {
    Scene scene(5);
    scene.addGroup("g", 1, 1, 4);
    scene.run(15);
    for (auto& [vm, engine] : scene.engines_.engines_) {
      engine.report_.load_.running_ = 1;
      engine.report_.load_.tokensPerSecond_ = vm == vmId(2) ? 10 : 100;
    }
    scene.run(50);
    CPPUNIT_ASSERT(scene.isMember(2));
    scene.run(30);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && !scene.isMember(2));
  }

  void leavingMemberIsReplacedAfterPreparation()
  {
    Scene scene(4);
    scene.addGroup("g", 1, 1, 3);
    scene.run(15);
    scene.engines_.engines_.at(vmId(0)).info_.listing_ =
      state::VmListing::kLeaving;
    int closed = 0;
    for (int step = 0; step < 20; ++step) {
      scene.run(1);
      closed += scene.isOpen("g", 0) ? 0 : 1;
    }
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && !scene.isMember(0));
    CPPUNIT_ASSERT(closed <= 1);
  }

  void lesserCopyCompletesGreater()
  {
    Scene scene(6);
    scene.addGroup("low", 1, 1, 3);
    scene.addGroup("high", 2, 1, 3);
    scene.run(20);
    CPPUNIT_ASSERT(scene.isOpen("low", 0) && scene.isOpen("high", 0));
    const VmId lost =
      scene.record_.copies_.at({ GroupId("high"), 0 }).members_[1];
    scene.engines_.engines_.at(lost).alive_ = false;
    scene.run(55);
    CPPUNIT_ASSERT(!scene.isOpen("high", 0) && scene.isOpen("low", 0));
    scene.run(25);
    CPPUNIT_ASSERT(scene.isOpen("high", 0) && !scene.isOpen("low", 0));
  }

  void preemptionCanBeForbidden()
  {
    Scene scene(6);
    scene.configuration_.policy_.allowPreemption_ = false;
    scene.addGroup("low", 1, 1, 3);
    scene.addGroup("high", 2, 1, 3);
    scene.run(20);
    const VmId lost =
      scene.record_.copies_.at({ GroupId("high"), 0 }).members_[1];
    scene.engines_.engines_.at(lost).alive_ = false;
    scene.run(100);
    CPPUNIT_ASSERT(!scene.isOpen("high", 0) && scene.isOpen("low", 0));
  }

  void brokenCopiesOfOnePriorityMerge()
  {
    Scene scene(6);
    scene.addGroup("g", 1, 2, 3);
    scene.run(20);
    for (std::uint32_t index = 0; index < 2; ++index) {
      const VmId lost =
        scene.record_.copies_.at({ GroupId("g"), index }).members_[1];
      scene.engines_.engines_.at(lost).alive_ = false;
    }
    scene.run(80);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) != scene.isOpen("g", 1));
  }

  void rollingChangeKeepsPromisedCopies()
  {
    Scene scene(6);
    scene.addGroup("g", 1, 2, 2);
    scene.run(20);
    scene.configuration_.groups_.at(GroupId("g")).version_ = "2";
    for (int step = 0; step < 60; ++step) {
      scene.run(1);
      int open = 0;
      for (std::uint32_t index = 0; index < 3; ++index) {
        open += scene.isOpen("g", index) ? 1 : 0;
      }
      CPPUNIT_ASSERT(open >= 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, scene.record_.copies_.size());
    for (const auto& [id, copy] : scene.record_.copies_) {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), copy.version_);
    }
  }

  void darkDomainComesBackWithoutReload()
  {
    Scene scene(6);
    scene.addGroup("g", 1, 2, 3);
    scene.run(20);
    for (auto& [vm, engine] : scene.engines_.engines_) {
      engine.alive_ = false;
    }
    scene.run(300);
    CPPUNIT_ASSERT(!scene.isOpen("g", 0));
    for (auto& [vm, engine] : scene.engines_.engines_) {
      engine.alive_ = true;
    }
    scene.run(3);
    CPPUNIT_ASSERT(scene.isOpen("g", 0) && scene.isOpen("g", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 6 }, scene.engines_.loads_);
  }

  void unwantedCopyIsRemoved()
  {
    Scene scene(4);
    scene.addGroup("g", 1, 2, 2);
    scene.run(15);
    scene.configuration_.groups_.at(GroupId("g")).copies_ = 1;
    scene.run(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, scene.record_.copies_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         scene.count(state::AssignmentKind::kSpare));
  }

  void reservesAreWrittenAhead()
  {
    Scene scene(5);
    scene.configuration_.policy_.reservesPerCopy_ = 1;
    scene.addGroup("g", 1, 2, 2);
    scene.run(15);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         scene.count(state::AssignmentKind::kReserve));
    const VmId lost = scene.record_.copies_.at({ GroupId("g"), 1 }).members_[0];
    scene.engines_.engines_.at(lost).alive_ = false;
    scene.run(40);
    CPPUNIT_ASSERT(scene.isOpen("g", 1));
  }

  /** @return Facts of two domains of four VMs, the first one dark or not. */
  static AllocationFacts twoDomains(bool aDark)
  {
    AllocationFacts facts;
    const state::ZoneId zone("z");
    facts.domains_ = { { state::DomainId("a"), zone, aDark ? 0U : 4U },
                       { state::DomainId("b"), zone, 4U } };
    return facts;
  }

  void copyMovesFromDarkDomain()
  {
    Scene scene(0);
    scene.addGroup("g", 1, 1, 3);
    AllocationFacts facts = twoDomains(true);
    const CopyId copy{ GroupId("g"), 0 };
    facts.hosted_.push_back(
      { copy, state::DomainId("a"), state::ZoneId("z"), 3, true, false });
    const Allocation allocation = allocateCopies(scene.configuration_, facts);
    CPPUNIT_ASSERT(allocation.wanted_.at(state::DomainId("b")).contains(copy));
  }

  void doubleHostGivesUp()
  {
    Scene scene(0);
    scene.addGroup("g", 1, 1, 3);
    AllocationFacts facts = twoDomains(false);
    const CopyId copy{ GroupId("g"), 0 };
    const state::ZoneId zone("z");
    facts.hosted_ = { { copy, state::DomainId("a"), zone, 3, true, false },
                      { copy, state::DomainId("b"), zone, 3, true, true } };
    const Allocation allocation = allocateCopies(scene.configuration_, facts);
    CPPUNIT_ASSERT(!allocation.wanted_.contains(state::DomainId("a")));
    CPPUNIT_ASSERT(allocation.wanted_.at(state::DomainId("b")).contains(copy));
  }

  void sparesArePreferredToFurtherCopies()
  {
    Scene scene(0);
    scene.addGroup("g", 1, 4, 2);
    scene.configuration_.policy_.sparesPerDomain_ = 1;
    const Allocation allocation =
      allocateCopies(scene.configuration_, twoDomains(false));
    std::size_t copies = 0;
    for (const auto& [domain, wanted] : allocation.wanted_) {
      copies += wanted.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, copies);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupPlannerTest);
