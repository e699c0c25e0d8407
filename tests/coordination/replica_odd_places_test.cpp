// Tests of a successor that finds places of replicas that cannot be true.

#include "coordination/replica/replica_func.h"
#include "replica_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <set>
#include <string>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::ReplicaWorld;

namespace {

constexpr std::uint32_t kLargeSize = 4; ///< VMs of the large model.

/** @return Heads of all replicas that serve, with their epochs. */
std::set<std::pair<std::string, std::uint64_t>>
openHeads(const ReplicaWorld& aWorld)
{
  std::set<std::pair<std::string, std::uint64_t>> heads;
  for (const auto& [vm, engine] : aWorld.fleet_.engines_) {
    const auto& place = engine.state_.place_;
    if (engine.alive_ && place && place->rank_ == 0 &&
        place->state_ == state::MemberState::kOpen) {
      heads.emplace(vm.value(), place->epoch_.value());
    }
  }
  return heads;
}

/** @return The place of the head of an open replica of the large model. */
state::MemberPlace
placeOfLargeHead(const ReplicaWorld& aWorld)
{
  for (const auto& [vm, engine] : aWorld.fleet_.engines_) {
    const auto& place = engine.state_.place_;
    if (place && place->rank_ == 0 &&
        coordination::modelOf(place->replica_).value() == "large") {
      return *place;
    }
  }
  CPPUNIT_FAIL("no replica of the large model is open");
  return {};
}

/** Adds a VM that states a place which it was never ordered to.
 * @param aAnswers Whether it reports the place; otherwise it only registers
 * it. */
void
addStating(ReplicaWorld& aWorld,
           const std::string& aVm,
           const state::MemberPlace& aPlace,
           bool aAnswers)
{
  aWorld.fleet_.add(aVm, "domain0");
  fakes::FakeReplicaEngine& engine =
    aWorld.fleet_.engines_.at(state::VmId(aVm));
  engine.alive_ = aAnswers;
  engine.state_.place_ = aPlace;
}

/** @return Any rank, more often one near the size of a replica or a limit. */
rc::Gen<std::uint32_t>
anyRank()
{
  return rc::gen::oneOf(
    rc::gen::inRange<std::uint32_t>(0, kLargeSize * 2),
    rc::gen::element<std::uint32_t>(
      1000, 4095, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

/** One entry with the rank 4294967295 ended each coordinator of its zone. */
class ReplicaOddPlacesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReplicaOddPlacesTest);
  CPPUNIT_TEST(greatestRankEndsNoSuccessor);
  CPPUNIT_TEST(registeredRankPastTheReplicaClosesNothing);
  CPPUNIT_TEST(registeredRankOfAMemberThatAnswersClosesNothing);
  CPPUNIT_TEST(reportedRankPastTheReplicaClosesNothingLater);
  CPPUNIT_TEST(vmThatReportsAnExistingReplicaIsNotFree);
  CPPUNIT_TEST(anyRegisteredPlacesLeaveReplicasOpen);
  CPPUNIT_TEST(anyReportedPlacesKeepInvariants);
  CPPUNIT_TEST_SUITE_END();

public:
  // An entry of another writer ended each process that took over the zone.
  void greatestRankEndsNoSuccessor()
  {
    stateRankAndSucceed("z-other", std::numeric_limits<std::uint32_t>::max());
  }

  // Such an entry made a whole replica look incomplete to a successor.
  void registeredRankPastTheReplicaClosesNothing()
  {
    stateRankAndSucceed("z-other", kLargeSize);
    stateRankAndSucceed("a-other", kLargeSize + 3);
  }

  // The entry of a VM that never answered took the place of one that did.
  void registeredRankOfAMemberThatAnswersClosesNothing()
  {
    stateRankAndSucceed("z-other", 1);
    stateRankAndSucceed("z-other", 0);
    stateRankAndSucceed("a-other", 1);
  }

  // A report past the end of a replica made it look as if members were lost.
  void reportedRankPastTheReplicaClosesNothingLater()
  {
    ReplicaWorld world(1, 1);
    world.run(80s);
    const auto before = openHeads(world);
    state::MemberPlace place = placeOfLargeHead(world);
    place.rank_ = kLargeSize + 1;
    addStating(world, "z-other", place, true);
    world.run(5s);
    CPPUNIT_ASSERT(openHeads(world) == before);
    CPPUNIT_ASSERT(world.fleet_.violations_.empty());
  }

  // A VM that reports the place of another member could be ordered away.
  void vmThatReportsAnExistingReplicaIsNotFree()
  {
    ReplicaWorld world(1, 1);
    world.run(80s);
    state::MemberPlace place = placeOfLargeHead(world);
    place.rank_ = 2;
    addStating(world, "z-other", place, true);
    addStating(world, "z-another", place, true);
    world.run(30s);
    const auto& engines = world.fleet_.engines_;
    CPPUNIT_ASSERT(engines.at(state::VmId("z-other")).state_.place_ == place);
    CPPUNIT_ASSERT(engines.at(state::VmId("z-another")).state_.place_ == place);
    CPPUNIT_ASSERT(world.fleet_.violations_.empty());
  }

  void anyRegisteredPlacesLeaveReplicasOpen()
  {
    const bool kept = rc::check("entries of VMs that never answer", [] {
      ReplicaWorld world(2, 1);
      world.run(80s);
      const auto before = openHeads(world);
      addAnyPlaces(world, false);
      world.coordinator()->paused_ = true;
      world.run(8s);
      RC_ASSERT(world.coordinator() != nullptr);
      RC_ASSERT(world.coordinator()->coordinator_.digest().has_value());
      RC_ASSERT(openHeads(world) == before);
      RC_ASSERT(world.fleet_.violations_.empty());
    });
    CPPUNIT_ASSERT(kept);
  }

  void anyReportedPlacesKeepInvariants()
  {
    const bool kept = rc::check("reports that cannot be true", [] {
      ReplicaWorld world(2, 1);
      world.run(80s);
      addAnyPlaces(world, true);
      world.coordinator()->paused_ = true;
      world.run(20s);
      RC_ASSERT(world.coordinator() != nullptr);
      RC_ASSERT(world.fleet_.violations_.empty());
    });
    CPPUNIT_ASSERT(kept);
  }

private:
  /** Checks that a successor keeps all replicas open beside an entry of a VM
   * that never answers, which states a rank in one of them. */
  static void stateRankAndSucceed(const std::string& aVm, std::uint32_t aRank)
  {
    ReplicaWorld world(2, 1);
    world.run(80s);
    const auto before = openHeads(world);
    state::MemberPlace place = placeOfLargeHead(world);
    place.rank_ = aRank;
    addStating(world, aVm, place, false);
    world.coordinator()->paused_ = true;
    world.run(8s);
    CPPUNIT_ASSERT(world.coordinator() != nullptr);
    CPPUNIT_ASSERT(world.coordinator()->coordinator_.digest().has_value());
    CPPUNIT_ASSERT(openHeads(world) == before);
    CPPUNIT_ASSERT(world.fleet_.violations_.empty());
  }

  /** Adds some VMs that state any places in the replica of the large model. */
  static void addAnyPlaces(ReplicaWorld& aWorld, bool aAnswer)
  {
    const state::MemberPlace head = placeOfLargeHead(aWorld);
    const int count = *rc::gen::inRange(1, 4);
    for (int index = 0; index < count; ++index) {
      state::MemberPlace place = head;
      place.rank_ = *anyRank();
      place.epoch_ = *rc::gen::weightedElement<state::Epoch>(
        { { 3, head.epoch_ },
          { 1, state::Epoch(0) },
          { 1, state::Epoch(std::numeric_limits<std::uint64_t>::max()) } });
      place.state_ = *rc::gen::element(state::MemberState::kJoining,
                                       state::MemberState::kReady,
                                       state::MemberState::kOpen,
                                       state::MemberState::kBroken);
      const std::string prefix = *rc::gen::element<std::string>("a", "z");
      addStating(aWorld, prefix + std::to_string(index), place, aAnswer);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaOddPlacesTest);
