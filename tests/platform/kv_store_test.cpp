// Tests of the client of the platform's store.

#include "platform/scripted_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::LeaseReply;
using coordination::StoreStatus;
using fakes::Replies;
using fakes::ScriptedStore;

namespace {

/** @return A status line's end, and the header with an era of the store. */
std::string
inEra(const char* aStatus, int aEra)
{
  return aStatus + std::string("\r\nStore-Era: ") + std::to_string(aEra);
}

/** @return Replies to a lease that is acquired, renewed in the next era, and
 * created again there; then some more. */
Replies
renewedInNextEra(const Replies& aMore)
{
  Replies replies = {
    { inEra("200 OK", 1), R"({"lease_id":77,"ttl_ms":1500})" },
    { inEra("200 OK", 1), R"({"mod_revision":41})" },
    { inEra("200 OK", 2), R"({"ttl_ms":1500})" },
    { inEra("200 OK", 2), R"({"lease_id":78,"ttl_ms":1500})" }
  };
  replies.insert(replies.end(), aMore.begin(), aMore.end());
  return replies;
}

} // namespace

class KvStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KvStoreTest);
  CPPUNIT_TEST(listReadsAllPages);
  CPPUNIT_TEST(watchReportsChangesAndCompaction);
  CPPUNIT_TEST(leaseIsCreatedRenewedAndLost);
  CPPUNIT_TEST(leaseHeldByAnotherIsConflict);
  CPPUNIT_TEST(ownLeaseIsRecoveredAfterLostAnswer);
  CPPUNIT_TEST(unansweredCompareAndSwapIsUnknown);
  CPPUNIT_TEST(leaseThatTheStoreHasLostIsNotRenewed);
  CPPUNIT_TEST(leaseThatTheStoreHasKeptIsTakenOver);
  CPPUNIT_TEST(leaseNumbersGrowWhenRevisionsGoBack);
  CPPUNIT_TEST(listAcrossARestoreIsReadAgain);
  CPPUNIT_TEST(watchFromAnEarlierEraIsRestored);
  CPPUNIT_TEST(writeOnARevisionOfAnEarlierEraIsConflict);
  CPPUNIT_TEST(oddNumbersOfTheStoreAreNoAnswer);
  CPPUNIT_TEST(wholeNumbersMayBeWrittenAsFractions);
  CPPUNIT_TEST_SUITE_END();

public:
  void listReadsAllPages()
  {
    ScriptedStore scripted(
      { { "200 OK",
          R"({"entries":[{"key":"a","data":"MQ==","mod_revision":3,
              "created_revision":3,"lease_id":0}],"has_more":true,"at":11})" },
        { "200 OK",
          R"({"entries":[{"key":"b","data":"Mg==","mod_revision":8,
              "created_revision":8,"lease_id":0}],"has_more":false,"at":9})" } });
    bool done = false;
    const auto checkReply = [&](const coordination::ListReply& aReply) {
      CPPUNIT_ASSERT(aReply.status_ == StoreStatus::kOk);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, aReply.items_.size());
      CPPUNIT_ASSERT_EQUAL(std::string("2"), aReply.items_.at(1).value_);
      // The revision of the oldest page, so that a watch from it returns the
      // changes that this page lacks.
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, aReply.at_.value());
      done = true;
    };
    scripted.store_.list(
      "", coordination::ListConsistency::kMayBeStale, checkReply);
    scripted.await(done);
    CPPUNIT_ASSERT(scripted.requests_.at(1).find("after=a") !=
                   std::string::npos);
    for (const std::string& request : scripted.requests_) {
      CPPUNIT_ASSERT(request.find("serializable=1") != std::string::npos);
    }
  }

  void watchReportsChangesAndCompaction()
  {
    ScriptedStore scripted(
      { { "200 OK",
          R"({"events":[{"key":"a","data":"MQ==","mod_revision":12,
              "created_revision":3,"lease_id":0},
              {"key":"b","mod_revision":13,"compacted":true}],"at":13})" },
        { "410 Gone", "{}" } });
    bool done = false;
    scripted.store_.watchPrefix(
      "", state::Revision(9), 100ms, [&](const auto& aReply) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, aReply.changes_.size());
        CPPUNIT_ASSERT(aReply.changes_.at(0).value_ == "1");
        CPPUNIT_ASSERT(!aReply.changes_.at(1).value_);
        done = true;
      });
    scripted.await(done);
    done = false;
    scripted.store_.watchPrefix(
      "", state::Revision(13), 100ms, [&](const auto& aReply) {
        CPPUNIT_ASSERT(aReply.status_ == coordination::WatchStatus::kCompacted);
        done = true;
      });
    scripted.await(done);
  }

  void leaseIsCreatedRenewedAndLost()
  {
    ScriptedStore scripted({ { "200 OK", R"({"lease_id":77,"ttl_ms":1500})" },
                             { "200 OK", R"({"mod_revision":41})" },
                             { "200 OK", R"({"ttl_ms":1500})" },
                             { "404 Not Found", "{}" },
                             { "503 Unavailable", "{}" } });
    for (int round = 0; round < 2; ++round) {
      const LeaseReply reply = scripted.acquire();
      CPPUNIT_ASSERT(reply.status_ == StoreStatus::kOk);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 41 }, reply.number_);
    }
    CPPUNIT_ASSERT(scripted.acquire().status_ == StoreStatus::kUnavailable);
    CPPUNIT_ASSERT(
      scripted.requests_.at(2).starts_with("POST /v1/kv-keep/77 "));
  }

  void leaseHeldByAnotherIsConflict()
  {
    ScriptedStore scripted(
      { { "200 OK", R"({"lease_id":77,"ttl_ms":1500})" },
        { "412 Precondition Failed",
          R"({"entries":[{"key":"k","data":"b3RoZXI=","mod_revision":5,
              "created_revision":5,"lease_id":70}]})" } });
    const LeaseReply reply = scripted.acquire();
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), reply.holder_);
  }

  void ownLeaseIsRecoveredAfterLostAnswer()
  {
    ScriptedStore scripted(
      { { "200 OK", R"({"lease_id":77,"ttl_ms":1500})" },
        { "", "" },
        { "200 OK", R"({"lease_id":78,"ttl_ms":1500})" },
        { "412 Precondition Failed",
          R"({"entries":[{"key":"k","data":"bWU=","mod_revision":5,
              "created_revision":5,"lease_id":77}]})" },
        { "200 OK", R"({"ttl_ms":1500})" } });
    CPPUNIT_ASSERT(scripted.acquire().status_ == StoreStatus::kUnknown);
    const LeaseReply reply = scripted.acquire();
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kOk);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, reply.number_);
    CPPUNIT_ASSERT(
      scripted.requests_.at(4).starts_with("POST /v1/kv-keep/77 "));
  }

  void unansweredCompareAndSwapIsUnknown()
  {
    ScriptedStore scripted({ { "", "" }, { "429 Too Many", "{}" } });
    for (const StoreStatus expected :
         { StoreStatus::kUnknown, StoreStatus::kUnavailable }) {
      bool done = false;
      scripted.store_.compareAndSwap(
        "k", {}, "v", {}, [&](const coordination::StoreReply& aReply) {
          CPPUNIT_ASSERT(aReply.status_ == expected);
          done = true;
        });
      scripted.await(done);
    }
  }

  void leaseThatTheStoreHasLostIsNotRenewed()
  {
    // The same number now belongs to a lease of another holder.
    ScriptedStore scripted(renewedInNextEra(
      { { inEra("412 Precondition Failed", 2),
          R"({"entries":[{"key":"k","data":"b3RoZXI=","mod_revision":35,
              "created_revision":35,"lease_id":77}]})" } }));
    CPPUNIT_ASSERT(scripted.acquire().status_ == StoreStatus::kOk);
    const LeaseReply reply = scripted.acquire();
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), reply.holder_);
  }

  void leaseThatTheStoreHasKeptIsTakenOver()
  {
    ScriptedStore scripted(renewedInNextEra(
      { { inEra("412 Precondition Failed", 2),
          R"({"entries":[{"key":"k","data":"bWU=","mod_revision":41,
              "created_revision":41,"lease_id":77}]})" },
        { inEra("200 OK", 2), R"({"ttl_ms":1500})" },
        { inEra("200 OK", 2), R"({"ttl_ms":1500})" } }));
    const std::uint64_t before = scripted.acquire().number_;
    const LeaseReply reply = scripted.acquire();
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kOk);
    CPPUNIT_ASSERT(reply.number_ > before);
    CPPUNIT_ASSERT_EQUAL(reply.number_, scripted.acquire().number_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, scripted.requests_.size());
  }

  void leaseNumbersGrowWhenRevisionsGoBack()
  {
    ScriptedStore scripted(
      { { inEra("200 OK", 1), R"({"lease_id":77,"ttl_ms":1500})" },
        { inEra("200 OK", 1), R"({"mod_revision":265})" },
        { inEra("404 Not Found", 2), "{}" },
        { inEra("200 OK", 2), R"({"lease_id":70,"ttl_ms":1500})" },
        { inEra("200 OK", 2), R"({"mod_revision":213})" } });
    const std::uint64_t before = scripted.acquire().number_;
    CPPUNIT_ASSERT(scripted.acquire().number_ > before);
  }

  void listAcrossARestoreIsReadAgain()
  {
    const char* const first =
      R"({"entries":[{"key":"a","data":"MQ==","mod_revision":3,
          "created_revision":3,"lease_id":0}],"has_more":true,"at":11})";
    const char* const last =
      R"({"entries":[{"key":"b","data":"Mg==","mod_revision":8,
          "created_revision":8,"lease_id":0}],"has_more":false,"at":9})";
    ScriptedStore scripted({ { inEra("200 OK", 1), first },
                             { inEra("200 OK", 2), last },
                             { inEra("200 OK", 2), first },
                             { inEra("200 OK", 2), last } });
    bool done = false;
    scripted.store_.list("",
                         coordination::ListConsistency::kLinearizable,
                         [&](const coordination::ListReply& aReply) {
                           CPPUNIT_ASSERT(aReply.status_ == StoreStatus::kOk);
                           CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                                                aReply.items_.size());
                           done = true;
                         });
    scripted.await(done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, scripted.requests_.size());
  }

  void watchFromAnEarlierEraIsRestored()
  {
    const char* const events = R"({"events":[],"at":90})";
    ScriptedStore scripted({ { inEra("200 OK", 2), events },
                             { inEra("410 Gone", 2), "{}" },
                             { inEra("200 OK", 2), events } });
    using coordination::WatchStatus;
    const state::StoreEra earlier(1);
    const state::StoreEra present(2);
    const std::pair<state::Revision, WatchStatus> cases[] = {
      { state::Revision(41, earlier), WatchStatus::kRestored },
      { state::Revision(95, earlier), WatchStatus::kRestored },
      { state::Revision(41, present), WatchStatus::kChanges }
    };
    for (const auto& [after, expected] : cases) {
      bool done = false;
      scripted.store_.watchPrefix(
        "", after, 100ms, [&, wanted = expected](const auto& aReply) {
          CPPUNIT_ASSERT(aReply.status_ == wanted);
          done = true;
        });
      scripted.await(done);
    }
  }

  void writeOnARevisionOfAnEarlierEraIsConflict()
  {
    ScriptedStore scripted(
      { { inEra("200 OK", 2), R"({"mod_revision":41})" },
        { inEra("200 OK", 2), R"({"mod_revision":42})" } });
    const state::StoreEra earlier(1);
    // The era is not known yet, so the write takes effect.
    CPPUNIT_ASSERT(scripted.swapKey(state::Revision(40, earlier)) ==
                   StoreStatus::kUnknown);
    CPPUNIT_ASSERT(scripted.swapKey(state::Revision(40, earlier)) ==
                   StoreStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, scripted.requests_.size());
    CPPUNIT_ASSERT(scripted.swapKey(state::Revision(41, state::StoreEra(2))) ==
                   StoreStatus::kOk);
  }

  /** A revision of -1 became the largest number there is, so that no later
   * change was newer. */
  void oddNumbersOfTheStoreAreNoAnswer()
  {
    const std::vector<std::string> odds = {
      "-1", "12.5", "1e300", "18446744073709551616", "null", "true", "\"12\""
    };
    for (const std::string& odd : odds) {
      CPPUNIT_ASSERT_MESSAGE(odd, !isListed(itemAt(odd), "13"));
      CPPUNIT_ASSERT_MESSAGE(odd, !isListed(itemAt("12"), odd));
      CPPUNIT_ASSERT_MESSAGE(odd, !isWatched(itemAt(odd), "13"));
      CPPUNIT_ASSERT_MESSAGE(odd, !isWatched(itemAt("12"), odd));
      ScriptedStore swap({ { "200 OK", "{\"mod_revision\":" + odd + "}" } });
      CPPUNIT_ASSERT_MESSAGE(
        odd, swap.swapKey(state::Revision(4)) == StoreStatus::kUnknown);
      ScriptedStore lease({ { "200 OK", "{\"lease_id\":" + odd + "}" },
                            { "200 OK", R"({"mod_revision":41})" } });
      CPPUNIT_ASSERT_MESSAGE(odd, lease.acquire().status_ != StoreStatus::kOk);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        odd, std::size_t{ 1 }, lease.requests_.size());
    }
  }

  void wholeNumbersMayBeWrittenAsFractions()
  {
    CPPUNIT_ASSERT(isListed(itemAt("12.0"), "13.0"));
    CPPUNIT_ASSERT(isWatched(itemAt("12.0"), "1.3e1"));
    ScriptedStore lease({ { "200 OK", R"({"lease_id":77.0,"ttl_ms":1500.0})" },
                          { "200 OK", R"({"mod_revision":41.0})" },
                          { "200 OK", R"({"ttl_ms":1500.0})" } });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 41 }, lease.acquire().number_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 41 }, lease.acquire().number_);
    CPPUNIT_ASSERT(lease.requests_.at(2).starts_with("POST /v1/kv-keep/77 "));
  }

private:
  /** @return An item whose last change has a revision. */
  static std::string itemAt(const std::string& aRevision)
  {
    return R"([{"key":"a","data":"MQ==","created_revision":3,"lease_id":0,)"
           R"("mod_revision":)" +
           aRevision + "}]";
  }

  /** @return Whether a list with such entries and revision succeeds. */
  static bool isListed(const std::string& aEntries, const std::string& aAt)
  {
    ScriptedStore scripted({ { "200 OK",
                               "{\"entries\":" + aEntries + ",\"at\":" + aAt +
                                 ",\"has_more\":false}" } });
    bool done = false;
    bool listed = false;
    scripted.store_.list("",
                         coordination::ListConsistency::kLinearizable,
                         [&](const coordination::ListReply& aReply) {
                           listed = aReply.status_ == StoreStatus::kOk;
                           done = true;
                         });
    scripted.await(done);
    return listed;
  }

  /** @return Whether a watch with such events and revision tells changes. */
  static bool isWatched(const std::string& aEvents, const std::string& aAt)
  {
    ScriptedStore scripted(
      { { "200 OK", "{\"events\":" + aEvents + ",\"at\":" + aAt + "}" } });
    bool done = false;
    bool told = false;
    scripted.store_.watchPrefix(
      "", state::Revision(9), 100ms, [&](const auto& aReply) {
        told = aReply.status_ == coordination::WatchStatus::kChanges;
        done = true;
      });
    scripted.await(done);
    return told;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KvStoreTest);
