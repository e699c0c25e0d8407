// Tests that the fake store behaves as the store interface states.

#include "fakes/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;

class FakeStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FakeStoreTest);
  CPPUNIT_TEST(swapNeedsExpectedRevision);
  CPPUNIT_TEST(lostAnswerTakesEffect);
  CPPUNIT_TEST(leaseLapses);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = fakes::FakeClock();
    data_ = std::make_shared<fakes::FakeStoreData>();
  }

  void swapNeedsExpectedRevision()
  {
    fakes::FakeStore store(clock_, data_);
    CPPUNIT_ASSERT(swap(store, 0, "one").status_ ==
                   coordination::StoreStatus::kOk);
    CPPUNIT_ASSERT(swap(store, 0, "two").status_ ==
                   coordination::StoreStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), data_->items_["k"].value_);
  }

  void lostAnswerTakesEffect()
  {
    fakes::FakeStore store(clock_, data_);
    store.faults().loseAnswers_ = 1;
    CPPUNIT_ASSERT(swap(store, 0, "one").status_ ==
                   coordination::StoreStatus::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), data_->items_["k"].value_);
  }

  void leaseLapses()
  {
    fakes::FakeStore store(clock_, data_);
    CPPUNIT_ASSERT(acquire(store, "a") == coordination::StoreStatus::kOk);
    CPPUNIT_ASSERT(acquire(store, "b") == coordination::StoreStatus::kConflict);
    clock_.advance(std::chrono::seconds(11));
    CPPUNIT_ASSERT(acquire(store, "b") == coordination::StoreStatus::kOk);
  }

private:
  /** Swaps key "k" and waits for the answer. */
  coordination::StoreReply swap(fakes::FakeStore& aStore,
                                std::uint64_t aRevision,
                                std::string aValue)
  {
    coordination::StoreReply result;
    aStore.compareAndSwap(
      "k",
      state::Revision(aRevision),
      std::move(aValue),
      coordination::StorePriority::kOther,
      [&](const coordination::StoreReply& aReply) { result = aReply; });
    clock_.advance(std::chrono::milliseconds(5));
    aStore.step();
    return result;
  }

  /** Acquires lease "l" for ten seconds and waits for the answer. */
  coordination::StoreStatus acquire(fakes::FakeStore& aStore,
                                    const std::string& aHolder)
  {
    coordination::LeaseReply result;
    aStore.acquireLease(
      "l",
      aHolder,
      std::chrono::seconds(10),
      [&](const coordination::LeaseReply& aReply) { result = aReply; });
    clock_.advance(std::chrono::milliseconds(5));
    aStore.step();
    return result.status_;
  }

  fakes::FakeClock clock_;                     ///< Clock of the test.
  std::shared_ptr<fakes::FakeStoreData> data_; ///< Data of the store.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeStoreTest);
