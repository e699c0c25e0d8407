// Tests of requests with a part in their prompts that ends each target.

#include "platform/crashing_world.h"

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::chunk;
using fakes::CrashingWorld;
using fakes::kStreamHead;
using fakes::RelayWorld;

namespace {

constexpr int kDaemons = 4;      ///< Daemons that share the targets.
constexpr int kTargets = 24;     ///< Targets.
constexpr int kMaxEnded = 5 + 3; ///< Targets that may end: five until it must
                                 ///< be noticed, and three more.
const std::string kFirstPart = "f1:40";  ///< First part of all prompts.
const std::string kBadPart = "bad1:200"; ///< Part that ends targets.

const std::string kGreatestPart =
  "fffffff0:200"; ///< The same, behind all others in their order.

/** @return A caller's request for a stream, with a prompt of its own. */
std::string
requestWith(const std::vector<std::string>& aParts, int aIndex)
{
  const std::string mark = "X-Custom: kept\r\n";
  std::string header = "X-Prefix-Hash: ";
  for (const std::string& part : aParts) {
    header += part;
    header += ',';
  }
  header += std::to_string(aIndex);
  header += ":9\r\n";
  std::string request = RelayWorld::request(
    "POST", "/stream/x", "prompt " + std::to_string(aIndex));
  request.insert(request.find(mark), header);
  return request;
}

} // namespace

class RelayCrashingPartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayCrashingPartTest);
  CPPUNIT_TEST(partThatEndsTargetsReachesFewMore);
  CPPUNIT_TEST(requestsWithTheCommonPartsAreServed);
  CPPUNIT_TEST_SUITE_END();

public:
  void partThatEndsTargetsReachesFewMore()
  {
    expectSoundRequestsServed({ kFirstPart }, kBadPart, kTargets);
  }

  // Four of the common parts were held back in place of the part that ends
  // targets, if its identifier was the greatest.
  void requestsWithTheCommonPartsAreServed()
  {
    constexpr int kRequests = 12;
    for (const std::size_t count : { 5U, 60U }) {
      std::vector<std::string> common;
      for (std::size_t part = 0; part < count; ++part) {
        common.push_back(std::to_string(100 + part) + ":40");
      }
      expectSoundRequestsServed(common, kGreatestPart, kRequests);
    }
  }

private:
  /** Sends requests with a part that ends targets, and fails unless few targets
   * end and requests with the common parts alone are still served. */
  static void expectSoundRequestsServed(const std::vector<std::string>& aCommon,
                                        const std::string& aBad,
                                        int aRequests)
  {
    CrashingWorld world(
      kDaemons,
      kTargets,
      { aBad,
        kStreamHead,
        kStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" });
    for (int index = 0; index < aRequests; ++index) {
      world.ask(index, requestWith(with(aCommon, aBad), index));
      std::this_thread::sleep_for(120ms);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(world.ended()) + " targets ended",
                           world.ended() <= kMaxEnded);
    for (int index = 0; index < kDaemons; ++index) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        world.ask(index,
                  requestWith(with(aCommon, "good:200"), aRequests + index)));
    }
  }

  static std::vector<std::string> with(std::vector<std::string> aCommon,
                                       const std::string& aPart)
  {
    aCommon.push_back(aPart);
    return aCommon;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCrashingPartTest);
