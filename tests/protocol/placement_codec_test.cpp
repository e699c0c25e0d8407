// Tests of the datagrams that ask for places.

#include "protocol/placement_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace auburnhaven;
using namespace auburnhaven::protocol;
using namespace std::chrono_literals;

class PlacementCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementCodecTest);
  CPPUNIT_TEST(questionPasses);
  CPPUNIT_TEST(questionOfAnEarlierVersionIsRead);
  CPPUNIT_TEST(answerPasses);
  CPPUNIT_TEST(otherBytesAreNone);
  CPPUNIT_TEST_SUITE_END();

public:
  void questionPasses()
  {
    const PlacementQuestion question{
      7,
      { state::ServiceId("s"),
        state::ModelId("m"),
        { 1420, 144 },
        500ms,
        8s,
        { state::VmId("a"), state::VmId("b") } },
      { { state::VmId("a"), 2.5, 20ms }, { state::VmId("b"), {}, 3s } }
    };
    const auto decoded = decodeQuestion(encodeQuestion(question));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(*decoded == question);
    CPPUNIT_ASSERT(!decodeAnswer(encodeQuestion(question)));
  }

  void questionOfAnEarlierVersionIsRead()
  {
    nlohmann::json fields =
      nlohmann::json::from_cbor(encodeQuestion({ 7, {}, {} }));
    fields.erase(fields.size() - 1);
    const auto bytes = nlohmann::json::to_cbor(fields);
    const auto decoded = decodeQuestion({ bytes.begin(), bytes.end() });
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(decoded->limits_.empty());
  }

  void answerPasses()
  {
    const PlacementAnswer answer{
      7, coordination::RefusalReason::kTooLate, state::VmId("a"), 80ms, 300ms, 4
    };
    const auto decoded = decodeAnswer(encodeAnswer(answer));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(*decoded == answer);
    CPPUNIT_ASSERT(!decodeQuestion(encodeAnswer(answer)));
  }

  void otherBytesAreNone()
  {
    std::mt19937 random(3);
    const std::string whole = encodeQuestion({ 7, {}, {} });
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!decodeQuestion(whole.substr(0, size)));
    }
    for (int round = 0; round < 2000; ++round) {
      std::string bytes(random() % 40, '\0');
      for (char& byte : bytes) {
        byte = static_cast<char>(random());
      }
      CPPUNIT_ASSERT(!decodeQuestion(bytes));
      CPPUNIT_ASSERT(!decodeAnswer(bytes));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementCodecTest);
