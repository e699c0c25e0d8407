// Tests of the replica plan.

#include "coordination/replica/replica_plan_func.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace auburnhaven;
using namespace auburnhaven::coordination;

namespace {

const state::ModelId kLarge("large");
const state::ModelId kSmall("small");

/** @return A VM; with a model, its latest replica had it and it is staged on
 * its host. */
VmSnapshot
vm(const std::string& aName, const std::string& aModel = "")
{
  VmSnapshot free;
  free.id_ = state::VmId(aName);
  if (!aModel.empty()) {
    free.staged_ = { state::ModelId(aModel) };
    free.lastModel_ = state::ModelId(aModel);
  }
  return free;
}

/** @return VMs with numbered names. */
std::vector<VmSnapshot>
vms(const std::string& aPrefix, int aCount, const std::string& aModel = "")
{
  std::vector<VmSnapshot> result;
  result.reserve(static_cast<std::size_t>(aCount));
  for (int index = 0; index < aCount; ++index) {
    result.push_back(vm(aPrefix + std::to_string(index), aModel));
  }
  return result;
}

/** @return An open replica. */
ExistingReplica
replica(const std::string& aName, const std::string& aModel, int aSize)
{
  return { state::ReplicaId(aName),
           state::ModelId(aModel),
           true,
           vms(aName, aSize, aModel) };
}

/** @return A zone with one domain. */
ZoneSnapshot
zone(DomainSnapshot aDomain, std::uint32_t aLoads = 100)
{
  ZoneSnapshot snapshot;
  snapshot.domains_[state::DomainId("d")] = std::move(aDomain);
  snapshot.models_ = { { kLarge, 4, 0.67, 1.0, {}, {} },
                       { kSmall, 2, 0.33, 0.6, {}, {} } };
  snapshot.loads_ = aLoads;
  return snapshot;
}

/** @return The zone with fast loads. */
ZoneSnapshot
withFastLoads(ZoneSnapshot aSnapshot)
{
  aSnapshot.fastLoads_ = true;
  return aSnapshot;
}

/** @return Number of replicas of a model that the plan forms. */
std::size_t
formed(const ReplicaPlan& aPlan, const state::ModelId& aModel)
{
  std::size_t count = 0;
  for (const FormAction& action : aPlan.form_) {
    count += action.model_ == aModel ? 1 : 0;
  }
  return count;
}

} // namespace

class ReplicaPlanTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaPlanTest);
  CPPUNIT_TEST(freshDomainGetsBothModels);
  CPPUNIT_TEST(coldVmsStageBeforeTheyJoin);
  CPPUNIT_TEST(nothingIsFormedBeforeDomainIsStable);
  CPPUNIT_TEST(vmsThatHoldTheModelGoFirst);
  CPPUNIT_TEST(noVmIsInTwoReplicas);
  CPPUNIT_TEST(smallReplicaIsClosedForLargeOne);
  CPPUNIT_TEST(openReplicasStayWithoutNeed);
  CPPUNIT_TEST(loadsAreLimited);
  CPPUNIT_TEST(reserveIsStagedOnSmallReplicas);
  CPPUNIT_TEST(nothingIsStagedWhileReplicaIsMissing);
  CPPUNIT_TEST(busyVmsGetNoOrders);
  CPPUNIT_TEST(countsFollowModelDemand);
  CPPUNIT_TEST(noModelsGiveEmptyPlan);
  CPPUNIT_TEST_SUITE_END();

public:
  void freshDomainGetsBothModels()
  {
    const ReplicaPlan plan =
      planReplicas(withFastLoads(zone({ vms("v", 8), {}, true })));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, formed(plan, kLarge));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, formed(plan, kSmall));
    CPPUNIT_ASSERT(plan.close_.empty());
  }

  void coldVmsStageBeforeTheyJoin()
  {
    DomainSnapshot domain{ vms("held", 3, "large"), {}, true };
    domain.free_.push_back(vm("cold"));
    const ReplicaPlan plan = planReplicas(zone(domain));
    CPPUNIT_ASSERT(plan.form_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, plan.stage_.size());
    CPPUNIT_ASSERT_EQUAL(state::VmId("cold"), plan.stage_.front().vm_);
    CPPUNIT_ASSERT_EQUAL(kLarge, plan.stage_.front().model_);
    // A VM that is already staging the model gets no second order.
    domain.free_.back().staging_ = kLarge;
    domain.free_.back().busy_ = true;
    CPPUNIT_ASSERT(planReplicas(zone(domain)) == ReplicaPlan());
  }

  void nothingIsFormedBeforeDomainIsStable()
  {
    const ReplicaPlan plan = planReplicas(zone({ vms("v", 8), {}, false }));
    CPPUNIT_ASSERT(plan == ReplicaPlan());
  }

  void vmsThatHoldTheModelGoFirst()
  {
    DomainSnapshot domain{ vms("cold", 2), {}, true };
    for (const VmSnapshot& held : vms("held", 4, "large")) {
      domain.free_.push_back(held);
    }
    const ReplicaPlan plan = planReplicas(zone(domain));
    for (const FormAction& action : plan.form_) {
      if (action.model_ == kLarge) {
        CPPUNIT_ASSERT_EQUAL(0U, action.loads_);
        return;
      }
    }
    CPPUNIT_FAIL("no replica of the large model");
  }

  void noVmIsInTwoReplicas()
  {
    const ReplicaPlan plan =
      planReplicas(withFastLoads(zone({ vms("v", 11), {}, true })));
    CPPUNIT_ASSERT(!plan.form_.empty());
    std::set<state::VmId> seen;
    for (const FormAction& action : plan.form_) {
      for (const state::VmId& member : action.members_) {
        CPPUNIT_ASSERT(seen.insert(member).second);
      }
    }
  }

  void smallReplicaIsClosedForLargeOne()
  {
    DomainSnapshot domain{ vms("rest", 3, "large"),
                           { replica("a", "small", 2),
                             replica("b", "small", 2) },
                           true };
    domain.existing_[1].members_[0].staged_ = { kLarge };
    const ReplicaPlan plan = planReplicas(zone(domain));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, plan.close_.size());
    // The replica with a member that has the large model staged.
    CPPUNIT_ASSERT_EQUAL(state::ReplicaId("b"), plan.close_.front());
  }

  void openReplicasStayWithoutNeed()
  {
    const DomainSnapshot domain{ {},
                                 { replica("a", "large", 4),
                                   replica("b", "small", 2),
                                   replica("c", "small", 2) },
                                 true };
    const ReplicaPlan plan = planReplicas(zone(domain));
    CPPUNIT_ASSERT(plan.close_.empty());
    CPPUNIT_ASSERT(plan.form_.empty());
  }

  void loadsAreLimited()
  {
    const ReplicaPlan plan =
      planReplicas(withFastLoads(zone({ vms("v", 8), {}, true }, 4)));
    CPPUNIT_ASSERT(!plan.form_.empty());
    std::uint32_t loads = static_cast<std::uint32_t>(plan.stage_.size());
    for (const FormAction& action : plan.form_) {
      loads += action.loads_;
    }
    CPPUNIT_ASSERT(loads <= 4);
  }

  void reserveIsStagedOnSmallReplicas()
  {
    const DomainSnapshot domain{ {},
                                 { replica("a", "large", 4),
                                   replica("b", "small", 2),
                                   replica("c", "small", 2) },
                                 true };
    const ReplicaPlan plan = planReplicas(zone(domain));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, plan.stage_.size());
    for (const StageAction& action : plan.stage_) {
      CPPUNIT_ASSERT_EQUAL(kLarge, action.model_);
      CPPUNIT_ASSERT_EQUAL('b', action.vm_.value().front());
    }
  }

  void nothingIsStagedWhileReplicaIsMissing()
  {
    const ReplicaPlan plan =
      planReplicas(withFastLoads(zone({ vms("v", 8), {}, true }, 4)));
    CPPUNIT_ASSERT(!plan.form_.empty());
    CPPUNIT_ASSERT(plan.stage_.empty());
  }

  void busyVmsGetNoOrders()
  {
    DomainSnapshot domain{ vms("v", 4), {}, true };
    for (VmSnapshot& free : domain.free_) {
      free.busy_ = true;
    }
    CPPUNIT_ASSERT(planReplicas(zone(domain)) == ReplicaPlan());
  }

  void countsFollowModelDemand()
  {
    // With equal work shares, a model of half the size needs twice as many
    // replicas.
    ZoneSnapshot snapshot;
    for (const char* name : { "d0", "d1", "d2" }) {
      snapshot.domains_[state::DomainId(name)] = { vms(name, 19), {}, true };
    }
    snapshot.models_ = { { kLarge, 8, 0.5, 1.0, {}, {} },
                         { kSmall, 4, 0.5, 0.6, {}, {} } };
    snapshot.loads_ = 1000;
    snapshot.fastLoads_ = true;
    const ReplicaPlan plan = planReplicas(snapshot);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, formed(plan, kLarge));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, formed(plan, kSmall));
  }

  void noModelsGiveEmptyPlan()
  {
    ZoneSnapshot snapshot = zone({ vms("v", 8), {}, true });
    snapshot.models_.clear();
    CPPUNIT_ASSERT(planReplicas(snapshot) == ReplicaPlan());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaPlanTest);
