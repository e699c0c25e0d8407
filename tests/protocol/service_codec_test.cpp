// Tests of the JSON codecs of store, engines and VM list.

#include "protocol/base64_func.h"
#include "protocol/engine_codec.h"
#include "protocol/generate_codec.h"
#include "protocol/store_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace auburnhaven;

namespace {

constexpr char kReport[] =
  R"({"vm":"v1","incarnation":7,"count":3,"phase":"ready","role":{"group":"g",)"
  R"("copy":2,"rank":1,"fencing":9,"model":"m","version":"1","adapters":["a"]},)"
  R"("load":{"running":1,"queued":2,"slots":3,"tokens_per_second":4}})";

constexpr char kVms[] =
  R"({"vms":[{"id":"v1","zone":"z","domain":"d","address":"127.0.0.1",)"
  R"("port":80,"accelerators":4,"listing":"leaving","checks_fencing":true}]})";

/** @return Whether a text decodes as anything; it must not crash. */
bool
decodesAsAnything(const std::string& aText)
{
  return protocol::decodeValue(aText) ||
         protocol::decodeRevision(aText, coordination::StoreStatus::kOk) ||
         protocol::decodeLease(aText, coordination::StoreStatus::kOk) ||
         protocol::decodeReport(aText) || protocol::decodeVms(aText) ||
         (protocol::decodeGenerateLine(aText).kind_ !=
          protocol::GenerateLineKind::kMalformed) ||
         protocol::decodeCacheEvents(aText);
}

} // namespace

class ServiceCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ServiceCodecTest);
  CPPUNIT_TEST(binaryValuesSurvive);
  CPPUNIT_TEST(reportIsRead);
  CPPUNIT_TEST(wrongFieldsAreNamed);
  CPPUNIT_TEST(vmsAreRead);
  CPPUNIT_TEST(damagedTextsAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void binaryValuesSurvive()
  {
    std::mt19937_64 random(1);
    for (std::size_t size = 0; size < 200; ++size) {
      std::string value(size, '\0');
      for (char& byte : value) {
        byte = static_cast<char>(random());
      }
      CPPUNIT_ASSERT(protocol::fromText(protocol::toText(value)) == value);
    }
    for (const std::string text : { "plain", "base64:", "base64:QUJD", "" }) {
      CPPUNIT_ASSERT(protocol::fromText(protocol::toText(text)) == text);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("plain"), protocol::toText("plain"));
    CPPUNIT_ASSERT(!protocol::fromText("base64:?"));
  }

  void reportIsRead()
  {
    const auto report = protocol::decodeReport(kReport);
    CPPUNIT_ASSERT(report);
    const state::EngineRole role{
      { state::GroupId("g"), 2 }, 1, state::FencingNumber(9), "m", "1", { "a" }
    };
    CPPUNIT_ASSERT(report->role_ == role);
    CPPUNIT_ASSERT(report->phase_ == state::EnginePhase::kReady);
    CPPUNIT_ASSERT(report->load_ == (state::EngineLoad{ 1, 2, 3, 4 }));
  }

  void wrongFieldsAreNamed()
  {
    std::vector<std::string> keys;
    using Vms = std::vector<state::VmInfo>;
    const Vms vms = state::leaf::try_handle_all(
      [] {
        return protocol::decodeVms(
          R"({"vms":[{"id":1,"zone":"z","domain":"d","address":"1",)"
          R"("port":70000,"accelerators":-4,"listing":"x"}]})");
      },
      [&](const state::InputErrors& aErrors) {
        for (const state::InputError& error : aErrors.errors_) {
          keys.push_back(error.key_);
        }
        return Vms();
      },
      [] { return Vms(); });
    CPPUNIT_ASSERT(vms.empty());
    const std::vector<std::string> expected{
      "id", "port", "accelerators", "listing", "checks_fencing"
    };
    CPPUNIT_ASSERT(keys == expected);
  }

  void vmsAreRead()
  {
    const auto vms = protocol::decodeVms(kVms);
    CPPUNIT_ASSERT(vms && vms->size() == 1);
    CPPUNIT_ASSERT(vms->front().listing_ == state::VmListing::kLeaving);
    CPPUNIT_ASSERT(vms->front().endpoint_ ==
                   (state::Endpoint{ "127.0.0.1", 80 }));
  }

  void damagedTextsAreRefused()
  {
    std::mt19937_64 random(2);
    const std::vector<std::string> seeds{ kReport, kVms };
    for (int round = 0; round < 3000; ++round) {
      std::string text = seeds[round % seeds.size()];
      text.resize(random() % text.size());
      CPPUNIT_ASSERT(!decodesAsAnything(text));
      text = seeds[round % seeds.size()];
      text[random() % text.size()] = static_cast<char>(random());
      decodesAsAnything(text);
      std::string noise(random() % 64, '\0');
      for (char& byte : noise) {
        byte = static_cast<char>(random());
      }
      CPPUNIT_ASSERT(!decodesAsAnything(noise));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceCodecTest);
