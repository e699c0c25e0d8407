// Tests of a request that ends each target and comes again at any daemon.

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
constexpr int kMaxEnded = 3 + 3; ///< Targets that may end: three until it must
                                 ///< be noticed, and three more.
const std::string kDeadly = "deadly body"; ///< Body that ends targets.

const std::string kStreamPath = "/stream/x"; ///< Path of streams.

/** @return A request of the test's caller; all streams have the same prompt
 * parts, and other requests have none. */
std::string
requestFor(const std::string& aPath, const std::string& aBody)
{
  const std::string mark = "X-Custom: kept\r\n";
  std::string request = RelayWorld::request("POST", aPath, aBody);
  if (aPath == kStreamPath) {
    request.insert(request.find(mark), "X-Prefix-Hash: f1:40,ab:200,7:9\r\n");
  }
  return request;
}

/** @return What a target that answers streams does. */
fakes::CrashScript
streamScript()
{
  return { kDeadly,
           kStreamHead,
           kStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" };
}

/** @return What a target of a plain service does. */
fakes::CrashScript
plainScript()
{
  return { kDeadly, "", RelayWorld::response("200 OK", "fine") };
}

} // namespace

class RelayCrashingRequestTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayCrashingRequestTest);
  CPPUNIT_TEST(streamThatEndsTargetsReachesFewMore);
  CPPUNIT_TEST(lookupThatEndsTargetsReachesFewMore);
  CPPUNIT_TEST(confirmationThatEndsTargetsReachesFewMore);
  CPPUNIT_TEST_SUITE_END();

public:
  void streamThatEndsTargetsReachesFewMore()
  {
    repeatDeadly(kStreamPath, streamScript());
  }

  void lookupThatEndsTargetsReachesFewMore()
  {
    repeatDeadly("/safe/x", plainScript());
  }

  void confirmationThatEndsTargetsReachesFewMore()
  {
    repeatDeadly("/unsafe/x", plainScript());
  }

private:
  /** Sends the deadly request again and again, then sound ones with the same
   * path, caller and prompt parts. */
  static void repeatDeadly(const std::string& aPath,
                           const fakes::CrashScript& aScript)
  {
    CrashingWorld world(kDaemons, kTargets, aScript);
    for (int index = 0; index < kTargets; ++index) {
      world.ask(index, requestFor(aPath, kDeadly));
      std::this_thread::sleep_for(120ms);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(world.ended()) + " targets ended",
                           world.ended() <= kMaxEnded);
    for (int index = 0; index < kDaemons; ++index) {
      CPPUNIT_ASSERT_EQUAL(std::string("503"),
                           world.ask(index, requestFor(aPath, kDeadly)));
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        world.ask(index, requestFor(aPath, std::to_string(index))));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCrashingRequestTest);
