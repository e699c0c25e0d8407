// Tests of datagrams whose numbers are not the whole numbers that daemons send.

#include "coordination/replica/replica_type.h"
#include "protocol/activity_codec.h"
#include "protocol/datagram_func.h"
#include "protocol/extension_codec.h"
#include "protocol/placement_codec.h"
#include "protocol/quarantine_codec.h"
#include "protocol/zone_digest_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace auburnhaven;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

const state::TimePoint kNow{ 1000s };

/** @return A datagram with the value at a place replaced. */
std::string
with(const std::string& aDatagram,
     const std::string& aPlace,
     const Json& aValue)
{
  Json message = Json::from_cbor(aDatagram);
  CPPUNIT_ASSERT_MESSAGE(aPlace, message.contains(Json::json_pointer(aPlace)));
  message[Json::json_pointer(aPlace)] = aValue;
  return protocol::encodeDatagram(message);
}

/** Asserts that a datagram is read as it is, and not when a number in it is
 * negative, a fraction, too large or no number. */
void
expectRefused(const std::string& aDatagram,
              const std::vector<std::string>& aPlaces,
              const std::function<bool(const std::string&)>& aIsRead)
{
  CPPUNIT_ASSERT(aIsRead(aDatagram));
  const std::vector<Json> odd = { -1, 0.5, -0.5, 1e300, "7", nullptr, true };
  for (const std::string& place : aPlaces) {
    for (const Json& value : odd) {
      CPPUNIT_ASSERT_MESSAGE(place + " = " + value.dump(),
                             !aIsRead(with(aDatagram, place, value)));
    }
  }
}

/** @return A copy that a digest tells. */
coordination::CopyLoad
someCopy()
{
  coordination::CopyLoad copy;
  copy.head_ = state::VmId("m-1");
  copy.endpoint_ = { "10.0.0.9", 8080 };
  copy.model_ = state::ModelId("m0");
  copy.running_ = 3;
  copy.waiting_ = 1;
  copy.slowness_ = 1.5;
  copy.asOf_ = kNow - 1s;
  return copy;
}

} // namespace

class OddNumberTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OddNumberTest);
  CPPUNIT_TEST(digestOfAZone);
  CPPUNIT_TEST(slownessIsBounded);
  CPPUNIT_TEST(questionForAPlace);
  CPPUNIT_TEST(answerToAQuestion);
  CPPUNIT_TEST(extensionOfALease);
  CPPUNIT_TEST_SUITE_END();

public:
  void digestOfAZone()
  {
    expectRefused(
      digest(),
      { "/2", "/3", "/4", "/8", "/5/0/2", "/5/0/4", "/5/0/5" },
      [](const std::string& aDatagram) {
        return protocol::decodeZoneDigest(aDatagram, kNow).has_value();
      });
  }

  void slownessIsBounded()
  {
    const auto slownessOf = [](const Json& aValue) {
      const auto read =
        protocol::decodeZoneDigest(with(digest(), "/5/0/6", aValue), kNow);
      return read ? read->copies_.at(0).slowness_ : 0;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, slownessOf(2.5), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10000, slownessOf(1e300), 1e-9);
    for (const double odd :
         { -1.0, std::nan(""), std::numeric_limits<double>::infinity() }) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0, slownessOf(odd), 1e-9);
    }
  }

  void questionForAPlace()
  {
    protocol::PlacementQuestion question;
    question.number_ = 7;
    question.need_.tokens_ = { 800, 100 };
    question.limits_.push_back({ state::VmId("m-1"), 2.5, 10ms });
    expectRefused(protocol::encodeQuestion(question),
                  { "/1", "/4", "/5", "/9/0/2" },
                  [](const std::string& aDatagram) {
                    return protocol::decodeQuestion(aDatagram).has_value();
                  });
  }

  void answerToAQuestion()
  {
    expectRefused(protocol::encodeAnswer({}),
                  { "/1", "/2", "/6" },
                  [](const std::string& aDatagram) {
                    return protocol::decodeAnswer(aDatagram).has_value();
                  });
  }

  void extensionOfALease()
  {
    expectRefused(
      protocol::encodeExtensionRequest({ 3, state::ZoneId("a"), 9 }),
      { "/1", "/3" },
      [](const std::string& aDatagram) {
        return protocol::decodeExtensionRequest(aDatagram).has_value();
      });
    const auto isHandover = [](const std::string& aDatagram) {
      return protocol::decodeHandover(aDatagram).has_value();
    };
    const std::string handover =
      protocol::encodeHandover({ state::ZoneId("a"), 9, 2 });
    expectRefused(handover, { "/2", "/3" }, isHandover);
    CPPUNIT_ASSERT(
      !isHandover(with(handover, "/3", coordination::kEpochsPerTerm)));
    CPPUNIT_ASSERT(
      isHandover(with(handover, "/3", coordination::kEpochsPerTerm - 1)));
  }

private:
  static std::string digest()
  {
    coordination::ZoneDigest digest;
    digest.zone_ = state::ZoneId("a");
    digest.service_ = state::ServiceId("s");
    digest.authority_ = 5;
    digest.count_ = 6;
    digest.copies_.push_back(someCopy());
    digest.knownAsOf_ = kNow;
    return protocol::encodeZoneDigest(digest, kNow);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddNumberTest);
