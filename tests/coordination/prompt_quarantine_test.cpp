// Tests of quarantined prompt parts, their store entries and the observer of
// lost requests.

#include "coordination/quarantine/crash_observer.h"
#include "coordination/quarantine/quarantine_record.h"
#include "fakes/fake_event_log.h"
#include "fakes/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::CrashObserver;
using coordination::PromptQuarantine;
using coordination::QuarantineRecord;
using state::PromptPartId;
using state::PromptParts;
using state::VmId;

namespace {

constexpr PromptPartId kOne(1);                    ///< A part.
constexpr PromptPartId kTwo(2);                    ///< Another part.
const state::Endpoint kEndpoint{ "10.0.0.1", 80 }; ///< Endpoint of a target.

/** Keeps the probes for the test to answer. */
class FakeListenerProbe : public coordination::ListenerProbe
{
public:
  void probe(const state::Endpoint& /*aEndpoint*/, Handler aHandler) override
  {
    handlers_.push_back(std::move(aHandler));
  }

  std::vector<Handler> handlers_; ///< One for each probe.
};

} // namespace

class PromptQuarantineTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PromptQuarantineTest);
  CPPUNIT_TEST(requestWithAllPartsOfASetIsBlocked);
  CPPUNIT_TEST(quarantineEnds);
  CPPUNIT_TEST(passingASetOnDoesNotProlongIt);
  CPPUNIT_TEST(setsAreBounded);
  CPPUNIT_TEST(startingDaemonLearnsFromTheStore);
  CPPUNIT_TEST(liftedSetLeavesTheStore);
  CPPUNIT_TEST(failedWriteIsRepeated);
  CPPUNIT_TEST(setThatTheStoreLosesIsWrittenAgain);
  CPPUNIT_TEST(malformedEntryIsIgnored);
  CPPUNIT_TEST(refusedConnectionTellsThatATargetEnded);
  CPPUNIT_TEST(listeningTargetHasNotEnded);
  CPPUNIT_TEST(soundAnswersToSuspectsAreCollected);
  CPPUNIT_TEST(longSetIsInTheStore);
  CPPUNIT_TEST(answersBeforeTheSuspicionAreRecalled);
  CPPUNIT_TEST(partsInUseAreRememberedBesideManyOthers);
  CPPUNIT_TEST_SUITE_END();

public:
  void requestWithAllPartsOfASetIsBlocked()
  {
    PromptQuarantine quarantine(clock_);
    CPPUNIT_ASSERT(!quarantine.blocks({ kOne }));
    quarantine.add({ { kOne, kTwo }, 10s });
    CPPUNIT_ASSERT(quarantine.blocks({ PromptPartId(9), kTwo, kOne }));
    CPPUNIT_ASSERT(!quarantine.blocks({ kOne, PromptPartId(9) }));
    CPPUNIT_ASSERT(!quarantine.blocks({}));
    CPPUNIT_ASSERT(quarantine.lift({ kOne, kTwo }));
    CPPUNIT_ASSERT(!quarantine.blocks({ kOne, kTwo }));
  }

  void quarantineEnds()
  {
    PromptQuarantine quarantine(clock_);
    quarantine.add({ { kOne }, PromptQuarantine::kDuration + 1h });
    clock_.advance(PromptQuarantine::kDuration - 1s);
    CPPUNIT_ASSERT(quarantine.blocks({ kOne }));
    clock_.advance(1s);
    CPPUNIT_ASSERT(!quarantine.blocks({ kOne }));
    CPPUNIT_ASSERT(quarantine.sets().empty());
  }

  void passingASetOnDoesNotProlongIt()
  {
    PromptQuarantine quarantine(clock_);
    CPPUNIT_ASSERT(quarantine.add({ { kOne }, 5s }));
    clock_.advance(4s);
    CPPUNIT_ASSERT(!quarantine.add({ { kOne }, 5s }));
    clock_.advance(2s);
    CPPUNIT_ASSERT(!quarantine.blocks({ kOne }));
  }

  void setsAreBounded()
  {
    PromptQuarantine quarantine(clock_);
    for (std::uint64_t part = 1; part <= 500; ++part) {
      quarantine.add({ { PromptPartId(part) }, 1min + part * 1s });
    }
    CPPUNIT_ASSERT(quarantine.sets().size() <= 64);
    CPPUNIT_ASSERT(quarantine.blocks({ PromptPartId(500) }));
  }

  void startingDaemonLearnsFromTheStore()
  {
    PromptQuarantine quarantine(clock_);
    quarantine.add({ { kOne, kTwo }, 1min });
    QuarantineRecord writer(clock_, store_, log_, "q/", "one");
    run(writer, quarantine, 2s);
    CPPUNIT_ASSERT(data_->leases_.contains("q/1,2"));
    QuarantineRecord reader(clock_, store_, log_, "q/", "two");
    const auto parts = reader.take("q/1,2", "one");
    CPPUNIT_ASSERT(parts == (PromptParts{ kOne, kTwo }));
    CPPUNIT_ASSERT(!reader.take("q/1,2", std::nullopt));
    CPPUNIT_ASSERT(!reader.take("daemon/1,2", "one"));
  }

  void liftedSetLeavesTheStore()
  {
    PromptQuarantine quarantine(clock_);
    quarantine.add({ { kOne }, 1min });
    QuarantineRecord record(clock_, store_, log_, "q/", "one");
    run(record, quarantine, 2s);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), data_->leases_["q/1"].holder_);
    quarantine.lift({ kOne });
    run(record, quarantine, 1s);
    CPPUNIT_ASSERT_EQUAL(std::string(), data_->leases_["q/1"].holder_);
  }

  void failedWriteIsRepeated()
  {
    PromptQuarantine quarantine(clock_);
    quarantine.add({ { kOne }, 1min });
    QuarantineRecord record(clock_, store_, log_, "q/", "one");
    store_.faults().down_ = true;
    run(record, quarantine, 3s);
    CPPUNIT_ASSERT(!data_->leases_.contains("q/1"));
    store_.faults().down_ = false;
    run(record, quarantine, 3s);
    CPPUNIT_ASSERT(data_->leases_.contains("q/1"));
    const auto writes = data_->writes_;
    run(record, quarantine, 10s);
    CPPUNIT_ASSERT_EQUAL(writes, data_->writes_);
  }

  void setThatTheStoreLosesIsWrittenAgain()
  {
    PromptQuarantine quarantine(clock_);
    quarantine.add({ { kOne }, 1min });
    quarantine.add({ { kTwo }, 1min });
    QuarantineRecord record(clock_, store_, log_, "q/", "one");
    run(record, quarantine, 2s);
    const auto writes = data_->writes_;
    data_->restore({});
    record.noteRestored();
    CPPUNIT_ASSERT(record.take("q/2", "one").has_value());
    run(record, quarantine, 3s);
    CPPUNIT_ASSERT(data_->leases_.contains("q/1"));
    CPPUNIT_ASSERT_EQUAL(writes + 1, data_->writes_);
  }

  void malformedEntryIsIgnored()
  {
    QuarantineRecord record(clock_, store_, log_, "q/", "one");
    for (const char* key :
         { "q/", "q/x", "q/1,", "q/11112222333344445", "q/digest-0" }) {
      CPPUNIT_ASSERT_MESSAGE(key, !record.take(key, "one"));
    }
  }

  void refusedConnectionTellsThatATargetEnded()
  {
    lose("a", { kOne });
    lose("a", { kTwo });
    observer_.poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, probe_.handlers_.size());
    CPPUNIT_ASSERT(observer_.takeReports().empty());
    clock_.advance(5ms);
    probe_.handlers_.front()(true);
    const auto reports = observer_.takeReports();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reports.size());
    CPPUNIT_ASSERT(
      reports.front() ==
      (coordination::CrashReport{ VmId("a"), 5ms, { { kOne }, { kTwo } } }));
    lose("a", { kOne, kTwo });
    observer_.poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, probe_.handlers_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, observer_.takeReports().size());
    clock_.advance(2s);
    lose("a", { kOne });
    observer_.poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, probe_.handlers_.size());
  }

  void listeningTargetHasNotEnded()
  {
    lose("a", { kOne });
    observer_.poll();
    probe_.handlers_.front()(false);
    observer_.poll();
    CPPUNIT_ASSERT(observer_.takeReports().empty());
  }

  void soundAnswersToSuspectsAreCollected()
  {
    observer_.noteAnswer({ kOne }, clock_.now());
    observer_.setSuspects({ { kOne, 1s } });
    observer_.noteAnswer({ kOne }, clock_.now() - 2s);
    observer_.noteAnswer({ kTwo }, clock_.now());
    CPPUNIT_ASSERT(observer_.takeSound().empty());
    observer_.noteAnswer({ kTwo, kOne }, clock_.now());
    observer_.noteAnswer({ kOne }, clock_.now());
    CPPUNIT_ASSERT(observer_.takeSound() ==
                   std::vector<coordination::SoundPart>({ { kOne, 0s } }));
  }

  // The key of a set with many parts was too long for the store.
  void longSetIsInTheStore()
  {
    PromptParts parts;
    for (std::uint64_t part = 0; part < 60; ++part) {
      parts.emplace_back((std::uint64_t{ 1 } << 60U) + part);
    }
    PromptQuarantine quarantine(clock_);
    quarantine.add({ parts, 1min });
    QuarantineRecord writer(clock_, store_, log_, "q/", "one");
    run(writer, quarantine, 2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, data_->leases_.size());
    const auto& [key, lease] = *data_->leases_.begin();
    CPPUNIT_ASSERT(key.size() <= 200);
    QuarantineRecord reader(clock_, store_, log_, "q/", "two");
    CPPUNIT_ASSERT(reader.take(key, lease.holder_) == parts);
    const auto writes = data_->writes_;
    run(reader, quarantine, 5s);
    CPPUNIT_ASSERT_EQUAL(writes, data_->writes_);
    quarantine.lift(parts);
    run(writer, quarantine, 1s);
    CPPUNIT_ASSERT_EQUAL(std::string(), data_->leases_[key].holder_);
  }

  // Sound parts were known only from answers after the first crash, so that
  // rare requests could not show them in time.
  void answersBeforeTheSuspicionAreRecalled()
  {
    observer_.noteWholeAnswer({ kOne }, clock_.now());
    clock_.advance(3s);
    observer_.setSuspects({ { kOne, 1s }, { kTwo, 1s } });
    CPPUNIT_ASSERT(observer_.takeSound() ==
                   std::vector<coordination::SoundPart>({ { kOne, 3s } }));
    observer_.addSuspects({ { kOne, 1s } });
    CPPUNIT_ASSERT(observer_.takeSound().empty());
    clock_.advance(1s);
    // The message may have been lost.
    observer_.setSuspects({ { kOne, 2s } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, observer_.takeSound().size());
    clock_.advance(10s);
    observer_.setSuspects({ { kOne, 1s } });
    CPPUNIT_ASSERT(observer_.takeSound().empty());
  }

  void partsInUseAreRememberedBesideManyOthers()
  {
    coordination::SoundPartMemory memory(std::chrono::seconds(10), 100);
    std::uint64_t fresh = 1000;
    for (int index = 0; index < 1000; ++index) {
      memory.note({ kOne, PromptPartId(++fresh) }, clock_.now(), clock_.now());
      clock_.advance(1ms);
    }
    CPPUNIT_ASSERT(memory.lastAt(kOne) == clock_.now() - 1ms);
    CPPUNIT_ASSERT(!memory.lastAt(PromptPartId(1001)));
    CPPUNIT_ASSERT(memory.lastAt(PromptPartId(fresh)));
  }

private:
  void lose(const std::string& aVm, const PromptParts& aParts)
  {
    observer_.noteLost({ VmId(aVm), kEndpoint, aParts, clock_.now() });
  }

  /** Lets a daemon update the store for some time. */
  void run(QuarantineRecord& aRecord,
           const PromptQuarantine& aQuarantine,
           state::Duration aTime)
  {
    for (state::Duration passed{}; passed < aTime; passed += 50ms) {
      aRecord.update(aQuarantine);
      clock_.advance(50ms);
      store_.step();
    }
  }

  fakes::FakeClock clock_;  ///< Clock.
  fakes::FakeEventLog log_; ///< Log.
  std::shared_ptr<fakes::FakeStoreData> data_ =
    std::make_shared<fakes::FakeStoreData>();             ///< The store's data.
  fakes::FakeStore store_{ clock_, data_ };               ///< The store.
  FakeListenerProbe probe_;                               ///< Probes.
  CrashObserver observer_{ clock_, probe_, log_, [] {} }; ///< The observer.
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);
