// Tests the platform's codecs.

#include "platform/config_example.h"
#include "platform/engine_client.h"
#include "platform/routing_codec.h"

#include <nlohmann/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::kConfig;
using Json = nlohmann::json;

namespace {

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
  CPPUNIT_TEST_SUITE_END();

public:
  void configurationIsRead()
  {
    const auto decoded = platform::decodeConfig(kConfig);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->notes_.empty());
    const state::RoutingConfig* config = &decoded->config_;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, config->version_.value());
    const state::Route& stream = config->routes_.at(0);
    CPPUNIT_ASSERT(stream.kind_ == state::RouteKind::kStreaming);
    CPPUNIT_ASSERT(stream.resumable_ && !stream.public_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, stream.services_.size());
    CPPUNIT_ASSERT_EQUAL(10.0, stream.services_.at(1).weight_);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);
