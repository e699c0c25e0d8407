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
  CPPUNIT_TEST_SUITE_END();

public:
  void partThatEndsTargetsReachesFewMore()
  {
    CrashingWorld world(
      kDaemons,
      kTargets,
      { kBadPart,
        kStreamHead,
        kStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" });
    for (int index = 0; index < kTargets; ++index) {
      world.ask(index, requestWith({ kFirstPart, kBadPart }, index));
      std::this_thread::sleep_for(120ms);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(world.ended()) + " targets ended",
                           world.ended() <= kMaxEnded);
    for (int index = 0; index < kDaemons; ++index) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        world.ask(index,
                  requestWith({ kFirstPart, "good:200" }, kTargets + index)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCrashingPartTest);
