// Tests of requests with a part in their prompts that ends each target.

#include "platform/relay_world.h"

#include <atomic>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::chunk;
using fakes::contains;
using fakes::kStreamHead;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr int kDaemons = 4;      ///< Daemons that share the targets.
constexpr int kTargets = 24;     ///< Targets.
constexpr int kMaxEnded = 5 + 3; ///< Targets that may end: five until it must
                                 ///< be noticed, and three more.
const std::string kFirstPart = "f1:40";  ///< First part of all prompts.
const std::string kBadPart = "bad1:200"; ///< Part that ends targets.

/** A target that ends when it begins to answer a prompt with the bad part. */
class CrashingTarget
{
public:
  CrashingTarget()
    : server_([this](Socket& aSocket, int) { serve(aSocket); })
  {
  }
  /** @return Its endpoint. */
  state::Endpoint endpoint() const { return endpoint_; }
  /** @return Whether it has ended. */
  bool hasEnded() const { return ended_; }

private:
  void serve(Socket& aSocket)
  {
    const std::string request = RawServer::readRequest(aSocket);
    RawServer::write(aSocket, kStreamHead);
    if (contains(request, kBadPart)) {
      ended_ = true;
      server_.stopListening();
    } else {
      RawServer::write(aSocket, chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    }
  }

  std::atomic<bool> ended_{ false };              ///< Whether it has ended.
  RawServer server_;                              ///< Listener.
  state::Endpoint endpoint_ = server_.endpoint(); ///< Its endpoint.
};

/** @return A caller's request for a stream, with a prompt of its own. */
std::string
requestWith(const std::string& aParts, int aIndex)
{
  const std::string mark = "X-Custom: kept\r\n";
  std::string request = RelayWorld::request("POST", "/stream/x", "body");
  request.insert(request.find(mark),
                 "X-Prefix-Hash: " + aParts + "," + std::to_string(aIndex) +
                   ":9\r\n");
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
    std::vector<std::unique_ptr<CrashingTarget>> targets;
    std::vector<std::unique_ptr<RelayWorld>> daemons;
    for (int index = 0; index < kTargets; ++index) {
      targets.push_back(std::make_unique<CrashingTarget>());
    }
    for (int index = 0; index < kDaemons; ++index) {
      daemons.push_back(std::make_unique<RelayWorld>());
    }
    for (int index = 0; index < kTargets; ++index) {
      listTargets(targets, daemons);
      const auto& daemon = daemons[static_cast<std::size_t>(index % kDaemons)];
      daemon->ask(requestWith(kFirstPart + "," + kBadPart, index));
      std::this_thread::sleep_for(120ms);
    }
    const auto ended =
      std::count_if(targets.begin(), targets.end(), [](const auto& aTarget) {
        return aTarget->hasEnded();
      });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ended) + " targets ended",
                           ended <= kMaxEnded);
    for (const auto& daemon : daemons) {
      CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        statusOf(daemon->ask(requestWith(kFirstPart + ",good:200", 1))));
    }
  }

private:
  /** Lists the targets that have not ended at all daemons. */
  static void listTargets(
    const std::vector<std::unique_ptr<CrashingTarget>>& aTargets,
    const std::vector<std::unique_ptr<RelayWorld>>& aDaemons)
  {
    for (const auto& daemon : aDaemons) {
      daemon->instances_.clear();
      for (std::size_t index = 0; index < aTargets.size(); ++index) {
        if (!aTargets[index]->hasEnded()) {
          daemon->addTarget("i-" + std::to_string(index),
                            aTargets[index]->endpoint());
        }
      }
      daemon->start();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCrashingPartTest);
