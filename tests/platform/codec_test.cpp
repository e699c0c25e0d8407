// Tests the platform's codecs and its store client.

#include "fakes/fake_event_log.h"
#include "platform/engine_client.h"
#include "platform/kv_store.h"
#include "platform/routing_codec.h"

#include "transport/loopback.h"
#include "transport/system_clock.h"

#include <nlohmann/json.hpp>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::LeaseReply;
using coordination::StoreStatus;
using fakes::RawServer;
using Json = nlohmann::json;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr char kConfig[] = R"({"version":7,"route_table":[
 {"name":"r1","hostname":"a.example","prefix":"/x/","route_type":"streaming",
  "timeout_ms":8000,"target_latency_ms":500,"priority":1,
  "weighted_backends":[{"backend":"s1","weight":90},{"backend":"s2","weight":10}],
  "max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,
  "target_itl_ms":300},
 {"name":"r2","hostname":"a.example","prefix":"/y/","route_type":"idempotent",
  "timeout_ms":800,"target_latency_ms":150,"priority":2,"backend":"s2",
  "max_attempts":2,"public":true}],
 "backends":[{"name":"s1","health_check_path":"/healthz","max_connections":698,
  "runtime":{"batch_slots":26,"kv_capacity":1400000,"step_ms":6.07,
   "per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,
   "pairs_per_m":0.7,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,
   "usual":{"prompt":1076,"answer":116},"batch_form_ms":300,
   "model_list":[{"name":"m0","size":4,"work_share":0.67,"pace":1.0,
    "load_time_s":16.0,"warm_s":1.6}]}},
  {"name":"s2","max_connections":244}],
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":3}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":4194304,
  "header_timeout_ms":5000,"idle_timeout_ms":20000},"new_field":1})";

constexpr char kEntry[] = R"({"backend":"s1","address":"10.0.0.9:8080",
 "zone":"z1","version":"v1","batch_slots":26,"state":"healthy",
 "warmup_remaining_ms":0,"phase":"colocated","born":1773141150000,
 "model_list":[{"name":"m0","version":1,"loras":[]}],"sequence":4,
 "fault_domain":"d1","preloaded":["m0"],
 "group":{"name":"g","epoch":12,"rank":1,"state":"healthy"}})";

/** @return kEntry with one field replaced, or removed if aValue is null. */
std::string
entryWith(const char* aField, const Json& aValue)
{
  Json entry = Json::parse(kEntry);
  if (aValue.is_null()) {
    entry.erase(aField);
  } else {
    entry[aField] = aValue;
  }
  return entry.dump();
}

const state::VmId kVm("i-1");

using Replies =
  std::vector<std::pair<std::string, std::string>>; ///< Status and body of each
                                                    ///< response.

/** A store client connected to a server that sends scripted responses. */
class ScriptedStore
{
public:
  /** @param aReplies Status and body of each response, in order; an empty
   * status closes the connection without a response. */
  explicit ScriptedStore(Replies aReplies)
    : replies_(std::move(aReplies))
    , server_([this](Socket& aSocket, int) { serve(aSocket); })
    , client_(context_)
    , caller_(context_, client_)
    , store_(caller_, log_, { server_.endpoint(), 300ms, 200ms })
  {
  }

  /** Runs the event loop until aDone is true. */
  void await(const bool& aDone)
  {
    fakes::runUntil(context_, [&] { return aDone; });
  }

  std::vector<std::string> requests_; ///< Requests received.

private:
  void serve(Socket& aSocket)
  {
    for (;;) {
      const std::string request = RawServer::readRequest(aSocket);
      if (request.empty() || next_ == replies_.size()) {
        return;
      }
      requests_.push_back(request);
      const auto& [status, body] = replies_[next_++];
      if (status.empty()) {
        return;
      }
      std::string response = "HTTP/1.1 " + status + "\r\nContent-Length: ";
      response += std::to_string(body.size()) + "\r\n\r\n";
      response += body;
      RawServer::write(aSocket, response);
    }
  }

  Replies replies_;                 ///< Scripted responses.
  std::size_t next_ = 0;            ///< Index of the next response.
  RawServer server_;                ///< Stands in for the store.
  boost::asio::io_context context_; ///< Event loop.
  transport::HttpClient client_;    ///< HTTP client.
  transport::ServiceCaller caller_; ///< Makes the HTTP calls.
  fakes::FakeEventLog log_;         ///< Receives log records.

public:
  platform::KvStore store_; ///< Client under test.
};

} // namespace

class PlatformCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformCodecTest);
  CPPUNIT_TEST(configurationIsRead);
  CPPUNIT_TEST(invalidConfigurationIsRejected);
  CPPUNIT_TEST(entryIsRead);
  CPPUNIT_TEST(invalidEntryIsRejected);
  CPPUNIT_TEST(reportIsRead);
  CPPUNIT_TEST(ordersAreEncoded);
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
  CPPUNIT_TEST_SUITE_END();

public:
  void configurationIsRead()
  {
    const auto config = platform::decodeConfig(kConfig);
    CPPUNIT_ASSERT(config.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, config->version_.value());
    const state::Route& stream = config->routes_.at(0);
    CPPUNIT_ASSERT(stream.kind_ == state::RouteKind::kStreaming);
    CPPUNIT_ASSERT(stream.resumable_ && !stream.public_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, stream.services_.size());
    CPPUNIT_ASSERT_EQUAL(10U, stream.services_.at(1).weight_);
    CPPUNIT_ASSERT(stream.latencyTarget_ == 500ms);
    const state::EngineSpec& engine = *config->services_.at(0).engine_;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(46.0, engine.promptTokensPerMs_, 1e-9);
    CPPUNIT_ASSERT(engine.models_.at(0).warmTime_ == 1600ms);
    CPPUNIT_ASSERT(!config->services_.at(1).engine_);
    CPPUNIT_ASSERT_EQUAL(3U, *config->accounts_->at(0).priority_);
    CPPUNIT_ASSERT(config->limits_.idleTimeout_ == 20000ms);
  }

  void invalidConfigurationIsRejected()
  {
    CPPUNIT_ASSERT(!platform::decodeConfig(""));
    CPPUNIT_ASSERT(!platform::decodeConfig("{"));
    CPPUNIT_ASSERT(!platform::decodeConfig(R"({"version":"x"})"));
    Json config = Json::parse(kConfig);
    config["route_table"][0].erase("prefix");
    CPPUNIT_ASSERT(!platform::decodeConfig(config.dump()));
  }

  void entryIsRead()
  {
    const auto instance = platform::decodeInstance(kVm, kEntry);
    CPPUNIT_ASSERT(instance.has_value());
    CPPUNIT_ASSERT(
      (instance->endpoint_ == state::Endpoint{ "10.0.0.9", 8080 }));
    CPPUNIT_ASSERT(!instance->leaving_);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 1 }, instance->engine_->place_->rank_);
    CPPUNIT_ASSERT(instance->engine_->place_->state_ ==
                   state::MemberState::kReady);
    CPPUNIT_ASSERT(instance->engine_->staged_.contains(state::ModelId("m0")));
    CPPUNIT_ASSERT(
      platform::decodeInstance(kVm, entryWith("state", "draining"))->leaving_);
    CPPUNIT_ASSERT(
      !platform::decodeInstance(kVm, entryWith("fault_domain", nullptr))
         ->engine_);
  }

  void invalidEntryIsRejected()
  {
    for (const std::string& text : { std::string("\xff\xfe"),
                                     std::string("[]"),
                                     entryWith("address", nullptr),
                                     entryWith("address", "nowhere"),
                                     entryWith("address", "1.2.3.4:99999"),
                                     entryWith("backend", 5),
                                     entryWith("state", "sleepy"),
                                     entryWith("batch_slots", "many"),
                                     entryWith("zone", nullptr) }) {
      CPPUNIT_ASSERT_MESSAGE(text,
                             !platform::decodeInstance(kVm, text).has_value());
    }
  }

  void reportIsRead()
  {
    const auto report = platform::decodeReport(
      R"({"phase":"colocated","model_list":[],"busy":true,"sequence":2,
          "queued":1,"active":12,"born":5,"fault_domain":"d","group":null,
          "pace":2.5})");
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT_EQUAL(12U, report->load_.running_);
    CPPUNIT_ASSERT_EQUAL(1U, report->load_.waiting_);
    CPPUNIT_ASSERT(!report->state_.place_);
    CPPUNIT_ASSERT(report->state_.busy_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, report->slowness_, 1e-9);
    CPPUNIT_ASSERT(!platform::decodeReport("oops").has_value());
  }

  void ordersAreEncoded()
  {
    using coordination::ReplicaOrderKind;
    coordination::ReplicaOrder order{ ReplicaOrderKind::kJoin,
                                      state::ReplicaId("g7"),
                                      state::Epoch(12),
                                      state::ModelId("m0"),
                                      { state::VmId("a"), state::VmId("b") },
                                      4 };
    CPPUNIT_ASSERT(Json::parse(platform::encodeOrder(order)) ==
                   Json::parse(R"({"operation":"join","group":"g7","epoch":12,
        "model_id":"m0","member_list":["a","b"],"expected":4})"));
    order = {};
    order.kind_ = ReplicaOrderKind::kStage;
    order.model_ = state::ModelId("m0");
    CPPUNIT_ASSERT(Json::parse(platform::encodeOrder(order)) ==
                   Json::parse(R"({"operation":"phase","model_id":"m0",
                     "expected":0})"));
  }

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
      const LeaseReply reply = acquire(scripted);
      CPPUNIT_ASSERT(reply.status_ == StoreStatus::kOk);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 41 }, reply.number_);
    }
    CPPUNIT_ASSERT(acquire(scripted).status_ == StoreStatus::kUnavailable);
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
    const LeaseReply reply = acquire(scripted);
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
    CPPUNIT_ASSERT(acquire(scripted).status_ == StoreStatus::kUnknown);
    const LeaseReply reply = acquire(scripted);
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
    CPPUNIT_ASSERT(acquire(scripted).status_ == StoreStatus::kOk);
    const LeaseReply reply = acquire(scripted);
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
    const std::uint64_t before = acquire(scripted).number_;
    const LeaseReply reply = acquire(scripted);
    CPPUNIT_ASSERT(reply.status_ == StoreStatus::kOk);
    CPPUNIT_ASSERT(reply.number_ > before);
    CPPUNIT_ASSERT_EQUAL(reply.number_, acquire(scripted).number_);
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
    const std::uint64_t before = acquire(scripted).number_;
    CPPUNIT_ASSERT(acquire(scripted).number_ > before);
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
    CPPUNIT_ASSERT(swapKey(scripted, state::Revision(40, earlier)) ==
                   StoreStatus::kUnknown);
    CPPUNIT_ASSERT(swapKey(scripted, state::Revision(40, earlier)) ==
                   StoreStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, scripted.requests_.size());
    CPPUNIT_ASSERT(swapKey(scripted, state::Revision(41, state::StoreEra(2))) ==
                   StoreStatus::kOk);
  }

private:
  static StoreStatus swapKey(ScriptedStore& aScripted,
                             state::Revision aExpected)
  {
    bool done = false;
    StoreStatus status{};
    aScripted.store_.compareAndSwap(
      "k", aExpected, "v", {}, [&](const coordination::StoreReply& aReply) {
        status = aReply.status_;
        done = true;
      });
    aScripted.await(done);
    return status;
  }

  /** @return A status line's end, and the header with an era of the store. */
  static std::string inEra(const char* aStatus, int aEra)
  {
    return aStatus + std::string("\r\nStore-Era: ") + std::to_string(aEra);
  }

  /** @return Replies to a lease that is acquired, renewed in the next era, and
   * created again there; then some more. */
  static Replies renewedInNextEra(const Replies& aMore)
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

  static LeaseReply acquire(ScriptedStore& aScripted)
  {
    bool done = false;
    LeaseReply result;
    aScripted.store_.acquireLease(
      "k", "me", 1500ms, [&](const LeaseReply& aReply) {
        result = aReply;
        done = true;
      });
    aScripted.await(done);
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);
