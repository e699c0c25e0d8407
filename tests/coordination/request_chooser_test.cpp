// Tests of target choice with stale, slow, failing and leaving targets.

#include "coordination/request/target_chooser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::TimePoint kNow{ 1h }; ///< Current time.

/** @return An open copy with a fresh load report and unexpired evidence. */
state::ServingCopy
openCopy(std::uint32_t aIndex, const std::string& aZone)
{
  state::ServingCopy copy;
  copy.id_ = { state::GroupId("g"), aIndex };
  copy.zone_ = state::ZoneId(aZone);
  copy.head_ = state::VmId(aZone + std::to_string(aIndex));
  copy.open_ = true;
  copy.load_.slots_ = 16;
  copy.loadObservedAt_ = kNow;
  copy.evidenceUntil_ = kNow + 3s;
  return copy;
}

/** @return A request to the serving group "g". */
RequestInfo
request()
{
  RequestInfo info;
  info.group_ = state::GroupId("g");
  return info;
}

} // namespace

class RequestChooserTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestChooserTest);
  CPPUNIT_TEST(closedAndExpiredCopiesGetNoRequests);
  CPPUNIT_TEST(leavingVmGetsNoRequests);
  CPPUNIT_TEST(ownZoneIsPreferred);
  CPPUNIT_TEST(otherZoneRequiresGateway);
  CPPUNIT_TEST(partitionedZoneUsesItsOwnCopies);
  CPPUNIT_TEST(triedTargetIsNotChosenAgain);
  CPPUNIT_TEST(failingTargetIsAvoidedUnlessNoneIsLeft);
  CPPUNIT_TEST(slowTargetGetsFewerRequests);
  CPPUNIT_TEST(staleReportsDoNotAttractAllRequests);
  CPPUNIT_TEST(targetWithCachedPrefixIsPreferred);
  CPPUNIT_TEST(newAssignmentInvalidatesPrefixHints);
  CPPUNIT_TEST(outstandingWorkIsCounted);
  CPPUNIT_TEST(plainServiceOfOwnZone);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    random_.seed(5);
    chooser_ = std::make_unique<TargetChooser>(state::ZoneId("z"),
                                               [this] { return random_(); });
    view_ = state::ServingView();
    for (std::uint32_t index = 0; index < 4; ++index) {
      copies().push_back(openCopy(index, "z"));
    }
  }

  void closedAndExpiredCopiesGetNoRequests()
  {
    copies()[0].open_ = false;
    copies()[1].evidenceUntil_ = kNow;
    const auto counts = chooseMany(200);
    CPPUNIT_ASSERT(!counts.contains("z0") && !counts.contains("z1"));
    CPPUNIT_ASSERT(!chooser_->choose(request(), kNow + 3s));
  }

  void leavingVmGetsNoRequests()
  {
    view_.leavingVms_ = { state::VmId("z2") };
    CPPUNIT_ASSERT(!chooseMany(200).contains("z2"));
  }

  void ownZoneIsPreferred()
  {
    copies().push_back(openCopy(9, "y"));
    view_.gateways_[state::ZoneId("y")] = {
      { state::DaemonId("d"), state::ZoneId("y"), {} }
    };
    CPPUNIT_ASSERT(!chooseMany(200).contains("y9"));
  }

  void otherZoneRequiresGateway()
  {
    copies() = { openCopy(9, "y") };
    CPPUNIT_ASSERT(chooseMany(1).empty());
    view_.gateways_[state::ZoneId("y")] = {
      { state::DaemonId("d"), state::ZoneId("y"), {} }
    };
    publish();
    const auto choice = chooser_->choose(request(), kNow);
    CPPUNIT_ASSERT(choice && choice->gateway_->id_ == state::DaemonId("d"));
  }

  void partitionedZoneUsesItsOwnCopies()
  {
    copies().push_back(openCopy(9, "y"));
    copies().back().open_ = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), chooseMany(200).size());
  }

  void triedTargetIsNotChosenAgain()
  {
    publish();
    const std::vector<state::VmId> tried{ state::VmId("z0"),
                                          state::VmId("z1"),
                                          state::VmId("z3") };
    for (int count = 0; count < 50; ++count) {
      const auto choice = chooser_->choose(request(), kNow, tried);
      CPPUNIT_ASSERT(choice && choice->vm_ == state::VmId("z2"));
    }
  }

  void failingTargetIsAvoidedUnlessNoneIsLeft()
  {
    copies().resize(2);
    publish();
    failOnce("z0");
    for (int count = 0; count < 50; ++count) {
      CPPUNIT_ASSERT(chooser_->choose(request(), kNow)->vm_ ==
                     state::VmId("z1"));
    }
    failOnce("z1");
    CPPUNIT_ASSERT(chooser_->choose(request(), kNow));
  }

  void slowTargetGetsFewerRequests()
  {
    copies()[0].slowdownPermille_ = 4000;
    const auto counts = chooseMany(400, true);
    CPPUNIT_ASSERT(counts.contains("z1"));
    const int slow = counts.contains("z0") ? counts.at("z0") : 0;
    CPPUNIT_ASSERT(slow * 3 <= counts.at("z1"));
  }

  void staleReportsDoNotAttractAllRequests()
  {
    for (state::ServingCopy& copy : copies()) {
      copy.load_.running_ = 16;
      copy.loadObservedAt_ = kNow - 60s;
    }
    copies()[0].load_.running_ = 0;
    const auto counts = chooseMany(400, true);
    CPPUNIT_ASSERT(counts.at("z0") < 140);
  }

  void targetWithCachedPrefixIsPreferred()
  {
    publish();
    RequestInfo info = request();
    info.prefixHashes_ = prefixHashes(std::string(1024, 'x'), "m");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), info.prefixHashes_.size());
    const auto first = chooser_->choose(info, kNow);
    chooser_->start(*first, info);
    for (int count = 0; count < 50; ++count) {
      CPPUNIT_ASSERT(chooser_->choose(info, kNow)->vm_ == first->vm_);
    }
  }

  void newAssignmentInvalidatesPrefixHints()
  {
    const TargetHash before =
      targetHash(state::VmId("z0"), state::FencingNumber(1));
    const TargetHash after =
      targetHash(state::VmId("z0"), state::FencingNumber(2));
    CPPUNIT_ASSERT(before != after);
    PrefixTable table(8);
    table.add(7, before);
    CPPUNIT_ASSERT_EQUAL(before, table.find(7)[0]);
    table.remove(7, before);
    CPPUNIT_ASSERT_EQUAL(TargetHash(0), table.find(7)[0]);
  }

  void outstandingWorkIsCounted()
  {
    publish();
    const auto choice = chooser_->choose(request(), kNow);
    {
      OutstandingWork work = chooser_->start(*choice, request());
      const OutstandingWork moved = std::move(work);
      CPPUNIT_ASSERT_EQUAL(1U, chooser_->outstanding(choice->vm_));
    }
    CPPUNIT_ASSERT_EQUAL(0U, chooser_->outstanding(choice->vm_));
  }

  void plainServiceOfOwnZone()
  {
    auto configuration = std::make_shared<state::Configuration>();
    state::PlainService service;
    service.id_ = state::ServiceId("orders");
    service.targets_ = { { state::VmId("s1"), state::ZoneId("z"), {} },
                         { state::VmId("s2"), state::ZoneId("y"), {} } };
    configuration->services_[service.id_] = service;
    view_.configuration_ = configuration;
    publish();
    RequestInfo info;
    info.service_ = service.id_;
    const auto choice = chooser_->choose(info, kNow);
    CPPUNIT_ASSERT(choice && choice->vm_ == state::VmId("s1"));
    CPPUNIT_ASSERT(!chooser_->choose(info, kNow, { state::VmId("s1") }));
  }

private:
  std::vector<state::ServingCopy>& copies()
  {
    return view_.copies_[state::GroupId("g")];
  }

  void publish()
  {
    chooser_->setView(std::make_shared<const state::ServingView>(view_));
  }

  /** Makes one attempt on a target fail. */
  void failOnce(const std::string& aVm)
  {
    for (int count = 0; count < 200; ++count) {
      const auto choice = chooser_->choose(request(), kNow);
      if (choice->vm_.value() == aVm) {
        chooser_->start(*choice, request()).finish(WorkResult::kFailed, kNow);
        return;
      }
    }
    CPPUNIT_FAIL("never chosen");
  }

  /**
   * Chooses a target repeatedly.
   * @param aCount Number of choices.
   * @param aKeepOutstanding Whether the work on chosen targets stays
   * outstanding until the last choice.
   * @return How often each target was chosen.
   */
  std::map<std::string, int> chooseMany(int aCount,
                                        bool aKeepOutstanding = false)
  {
    publish();
    std::map<std::string, int> counts;
    std::vector<OutstandingWork> outstanding;
    for (int count = 0; count < aCount; ++count) {
      const auto choice = chooser_->choose(request(), kNow);
      if (choice) {
        ++counts[choice->vm_.value()];
        OutstandingWork work = chooser_->start(*choice, request());
        if (aKeepOutstanding) {
          outstanding.push_back(std::move(work));
        }
      }
    }
    return counts;
  }

  std::mt19937_64 random_;                 ///< Source of random numbers.
  std::unique_ptr<TargetChooser> chooser_; ///< Chooser under test.
  state::ServingView view_; ///< Snapshot that publish() passes to the chooser.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestChooserTest);
