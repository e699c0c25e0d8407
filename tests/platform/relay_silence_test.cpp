// Tests of answers of sound targets that are silent for a while.

#include "platform/ordered_targets.h"

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::chunk;
using fakes::contains;
using fakes::kStreamHead;
using fakes::OrderedTargets;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::respondWith;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr auto kGapLimit =
  150ms; ///< Silence after which the relay looks for another target.
constexpr auto kPause = 600ms;             ///< Silence of a sound target.
constexpr char kLastChunk[] = "0\r\n\r\n"; ///< End of a chunked body.

const std::string kRejection = RelayWorld::response(
  "503 Full",
  "",
  "X-Not-Executed: 1\r\n"); ///< Says that the target is full.

/** @return Settings with short limits on the silence of a target. */
transport::RelaySettings
impatient()
{
  transport::RelaySettings settings;
  settings.firstEventLimit_ = kGapLimit;
  settings.eventGapLimit_ = kGapLimit;
  return settings;
}

/** @return An event of a stream as one chunk. */
std::string
event(int aId)
{
  return chunk("id: " + std::to_string(aId) + "\ndata: " +
               std::string(1, static_cast<char>('a' + aId)) + "\n\n");
}

/** Sends two events with a pause before the event of a number. */
RawServer::Script
pauseBefore(int aEvent)
{
  return [aEvent](Socket& aSocket, int) {
    RawServer::readRequest(aSocket);
    if (aEvent == 1) {
      std::this_thread::sleep_for(kPause);
    }
    RawServer::write(aSocket, kStreamHead + event(1));
    if (aEvent == 2) {
      std::this_thread::sleep_for(kPause);
    }
    RawServer::write(aSocket, event(2) + kLastChunk);
  };
}

} // namespace

class RelaySilenceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelaySilenceTest);
  CPPUNIT_TEST(silentStreamIsNotCutWhileOtherTargetsAreFull);
  CPPUNIT_TEST(silentFirstEventIsNotAnErrorWhileOtherTargetsAreFull);
  CPPUNIT_TEST(silentStreamIsNotCutByAnEmptyRetryBudget);
  CPPUNIT_TEST(silentStreamGoesOnWhenItsTargetIsFirst);
  CPPUNIT_TEST(unlistedReplicaKeepsItsStream);
  CPPUNIT_TEST(unlistedReplicaKeepsItsAnswer);
  CPPUNIT_TEST(brokenOffStreamOutlastsFullTargets);
  CPPUNIT_TEST(streamOfALostTargetGoesOnOnceAnotherHasRoom);
  CPPUNIT_TEST(targetThatReadsNothingDelaysNoOtherStream);
  CPPUNIT_TEST_SUITE_END();

public:
  void silentStreamIsNotCutWhileOtherTargetsAreFull()
  {
    OrderedTargets targets({ pauseBefore(2), respondWith(kRejection) });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    expectWhole(postStream(world));
    CPPUNIT_ASSERT(targets.connections() > 1);
  }

  void silentFirstEventIsNotAnErrorWhileOtherTargetsAreFull()
  {
    OrderedTargets targets({ pauseBefore(1), respondWith(kRejection) });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    expectWhole(postStream(world));
    CPPUNIT_ASSERT(targets.connections() > 1);
  }

  void silentStreamIsNotCutByAnEmptyRetryBudget()
  {
    OrderedTargets targets({ pauseBefore(2), respondWith(kRejection) });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    // One retry is left when the stream falls silent, none after the rejection.
    while (world.budget_.available() > 1) {
      world.budget_.tryAcquireRetry();
    }
    expectWhole(postStream(world));
  }

  void silentStreamGoesOnWhenItsTargetIsFirst()
  {
    std::promise<void> ended;
    OrderedTargets targets({ pauseBefore(2), [&](Socket& aSocket, int) {
                              RawServer::readRequest(aSocket);
                              RawServer::write(aSocket, kStreamHead);
                              // The end of the connection tells that the relay
                              // has no use for it.
                              RawServer::readUntil(aSocket, "never sent");
                              ended.set_value();
                            } });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    expectWhole(postStream(world));
    ended.get_future().wait();
  }

  void unlistedReplicaKeepsItsStream()
  {
    expectUnlistedKeeps("/stream/", [](Socket& aSocket) {
      RawServer::write(aSocket, kStreamHead + event(1));
      std::this_thread::sleep_for(kPause);
      RawServer::write(aSocket, event(2) + kLastChunk);
    });
  }

  void unlistedReplicaKeepsItsAnswer()
  {
    expectUnlistedKeeps("/unsafe/", [](Socket& aSocket) {
      std::this_thread::sleep_for(kPause);
      RawServer::write(aSocket, RelayWorld::response("200 OK", "whole answer"));
    });
  }

  void brokenOffStreamOutlastsFullTargets()
  {
    OrderedTargets targets(
      { respondWith(kStreamHead + event(1)),
        respondWith(kRejection),
        respondWith(kRejection),
        respondWith(kRejection),
        respondWith(kRejection),
        respondWith(kStreamHead + event(2) + kLastChunk) });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    expectWhole(postStream(world));
  }

  void streamOfALostTargetGoesOnOnceAnotherHasRoom()
  {
    const auto silentForever = [](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      RawServer::write(aSocket, kStreamHead + event(1));
      RawServer::readUntil(aSocket, "never sent");
    };
    OrderedTargets targets(
      { silentForever,
        respondWith(kRejection),
        respondWith(kRejection),
        respondWith(kRejection),
        respondWith(kRejection),
        respondWith(kStreamHead + event(2) + kLastChunk) });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    expectWhole(postStream(world));
  }

  void targetThatReadsNothingDelaysNoOtherStream()
  {
    OrderedTargets targets({ pauseBefore(2), [](Socket&, int) {
                              std::this_thread::sleep_for(3s);
                            } });
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    const std::string body(std::size_t{ 4 } * 1024 * 1024, 'x');
    expectWhole(world.ask(RelayWorld::request("POST", "/stream/", body)));
  }

private:
  static std::string postStream(RelayWorld& aWorld)
  {
    return aWorld.ask(RelayWorld::request("POST", "/stream/", "x"));
  }

  /** Checks that a response has both events once and its end. */
  static void expectWhole(const std::string& aResponse)
  {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aResponse, std::string("200"), statusOf(aResponse));
    CPPUNIT_ASSERT_MESSAGE(
      aResponse, aResponse.ends_with(event(1) + event(2) + kLastChunk));
  }

  /** Checks that a response arrives whole although the coordinator's digest
   * stops listing the replica that sends it. */
  static void expectUnlistedKeeps(const std::string& aPath,
                                  const std::function<void(Socket&)>& aAnswer)
  {
    std::promise<void> started;
    const RawServer target([&](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      started.set_value();
      aAnswer(aSocket);
    });
    RelayWorld world(impatient());
    state::EngineSpec engine;
    engine.batchSlots_ = 8;
    engine.models_ = { { state::ModelId("m"), 1, 1.0, 1.0, {}, {} } };
    world.engine_ = engine;
    world.start();
    coordination::ZoneDigest digest{
      state::ZoneId("zone"), state::ServiceId("app"), 1, 1, {}, {}, true, false
    };
    digest.copies_ = { { state::VmId("i-1"),
                         target.endpoint(),
                         state::ModelId("m"),
                         0,
                         0,
                         false,
                         1,
                         world.clock_.now() } };
    world.targets_.setDigest(digest);
    std::thread coordinator([&] {
      started.get_future().wait();
      digest.count_ = 2;
      digest.copies_.clear();
      world.targets_.setDigest(digest);
    });
    std::string request = RelayWorld::request("POST", aPath, "x");
    request.insert(request.find("X-Custom"), "X-Model-Id: m\r\n");
    const std::string response = world.ask(request);
    coordinator.join();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      response, std::string("200"), statusOf(response));
    CPPUNIT_ASSERT_MESSAGE(response,
                           response.ends_with("whole answer") ||
                             response.ends_with(event(2) + kLastChunk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaySilenceTest);
