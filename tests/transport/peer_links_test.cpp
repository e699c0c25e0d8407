// Tests of the links between daemons over loopback sockets.

#include "transport/loopback.h"
#include "transport/peer_links.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace auburnhaven;
using transport::PeerLinks;
using transport::PeerLinksSettings;

namespace {

constexpr char kKey[] = "a key that both have";

/** @return Settings of a daemon that listens on a port of the system's choice.
 */
PeerLinksSettings
settingsFor(const std::string& aKey, std::uint16_t aPort = 0)
{
  PeerLinksSettings settings;
  settings.listen_ = { "127.0.0.1", aPort };
  settings.key_ = aKey;
  settings.firstBackoff_ = std::chrono::milliseconds(5);
  settings.longestBackoff_ = std::chrono::milliseconds(20);
  return settings;
}

/** A daemon with its links and the messages that came. */
struct Daemon
{
  Daemon(boost::asio::io_context& aContext, const PeerLinksSettings& aSettings)
    : links_(aContext, aSettings)
  {
    links_.onMessage(
      [this](const state::Endpoint& aFrom, const std::string& aMessage) {
        got_[aFrom].push_back(aMessage);
      });
    const std::string error = links_.start();
    CPPUNIT_ASSERT_EQUAL(std::string(), error);
  }
  /** @return Messages that came from a daemon. */
  std::size_t from(const Daemon& aOther)
  {
    return got_[aOther.links_.endpoint()].size();
  }

  PeerLinks links_; ///< Its links.
  std::map<state::Endpoint, std::vector<std::string>>
    got_; ///< Messages by sender.
};

} // namespace

class PeerLinksTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerLinksTest);
  CPPUNIT_TEST(messagesArriveInOrderBothWays);
  CPPUNIT_TEST(largestMessagePassesAndLargerIsDropped);
  CPPUNIT_TEST(wrongKeyIsRefused);
  CPPUNIT_TEST(bothDialAtOnceKeepsOneLink);
  CPPUNIT_TEST(restartedPeerIsReached);
  CPPUNIT_TEST(unreachablePeerDropsMessages);
  CPPUNIT_TEST(fullQueueDropsMessages);
  CPPUNIT_TEST(shutDownSendsWhatIsQueued);
  CPPUNIT_TEST(randomBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void messagesArriveInOrderBothWays()
  {
    Daemon one(context_, settingsFor(kKey));
    Daemon two(context_, settingsFor(kKey));
    for (int index = 0; index < 500; ++index) {
      one.links_.send(two.links_.endpoint(), std::to_string(index));
    }
    fakes::runUntil(context_, [&] { return two.from(one) == 500; });
    const auto& got = two.got_[one.links_.endpoint()];
    for (int index = 0; index < 500; ++index) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(index), got[index]);
    }
    two.links_.send(one.links_.endpoint(), "back");
    fakes::runUntil(context_, [&] { return one.from(two) == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, one.links_.stats().links_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, two.links_.stats().links_);
  }

  void largestMessagePassesAndLargerIsDropped()
  {
    Daemon one(context_, settingsFor(kKey));
    Daemon two(context_, settingsFor(kKey));
    const std::string largest(protocol::kMaxPeerMessageBytes, 'x');
    one.links_.send(two.links_.endpoint(), largest + 'x');
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, one.links_.stats().dropped_);
    one.links_.send(two.links_.endpoint(), largest);
    one.links_.send(two.links_.endpoint(), "");
    fakes::runUntil(context_, [&] { return two.from(one) == 2; });
    CPPUNIT_ASSERT(two.got_[one.links_.endpoint()].front() == largest);
  }

  void wrongKeyIsRefused()
  {
    Daemon one(context_, settingsFor(kKey));
    Daemon stranger(context_, settingsFor("another key"));
    stranger.links_.send(one.links_.endpoint(), "let me in");
    one.links_.send(stranger.links_.endpoint(), "secret");
    fakes::runUntil(context_, [&] {
      return stranger.links_.stats().failedDials_ == 1 &&
             one.links_.stats().failedDials_ == 1;
    });
    CPPUNIT_ASSERT(one.got_.empty() && stranger.got_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, one.links_.stats().links_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, stranger.links_.stats().dropped_);
  }

  void bothDialAtOnceKeepsOneLink()
  {
    Daemon one(context_, settingsFor(kKey));
    Daemon two(context_, settingsFor(kKey));
    one.links_.send(two.links_.endpoint(), "to two");
    two.links_.send(one.links_.endpoint(), "to one");
    fakes::runUntil(context_, [&] {
      return one.from(two) == 1 && two.from(one) == 1 &&
             one.links_.stats().links_ == 1 && two.links_.stats().links_ == 1;
    });
    for (int index = 0; index < 50; ++index) {
      one.links_.send(two.links_.endpoint(), "more");
      two.links_.send(one.links_.endpoint(), "more");
    }
    fakes::runUntil(context_,
                    [&] { return one.from(two) == 51 && two.from(one) == 51; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, one.links_.stats().links_);
  }

  void restartedPeerIsReached()
  {
    Daemon one(context_, settingsFor(kKey));
    auto two = std::make_unique<Daemon>(context_, settingsFor(kKey));
    const state::Endpoint endpoint = two->links_.endpoint();
    one.links_.send(endpoint, "first");
    fakes::runUntil(context_, [&] { return two->from(one) == 1; });
    two.reset();
    two = std::make_unique<Daemon>(context_, settingsFor(kKey, endpoint.port_));
    fakes::runUntil(context_, [&] {
      one.links_.send(endpoint, "again");
      return two->from(one) > 0;
    });
  }

  void unreachablePeerDropsMessages()
  {
    Daemon one(context_, settingsFor(kKey));
    state::Endpoint gone;
    {
      const Daemon two(context_, settingsFor(kKey));
      gone = two.links_.endpoint();
    }
    one.links_.send(gone, "nobody there");
    one.links_.send({ "not a number", 1 }, "nowhere");
    fakes::runUntil(context_, [&] { return one.links_.stats().dropped_ == 2; });
  }

  void fullQueueDropsMessages()
  {
    PeerLinksSettings settings = settingsFor(kKey);
    settings.maxQueuedBytes_ = 1000;
    Daemon one(context_, settings);
    Daemon two(context_, settingsFor(kKey));
    for (int index = 0; index < 11; ++index) {
      one.links_.send(two.links_.endpoint(), std::string(100, 'x'));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, one.links_.stats().dropped_);
    fakes::runUntil(context_, [&] { return two.from(one) == 10; });
  }

  void shutDownSendsWhatIsQueued()
  {
    Daemon one(context_, settingsFor(kKey));
    Daemon two(context_, settingsFor(kKey));
    one.links_.send(two.links_.endpoint(), "first");
    fakes::runUntil(context_, [&] { return two.from(one) == 1; });
    const std::string large(protocol::kMaxPeerMessageBytes, 'y');
    one.links_.send(two.links_.endpoint(), large);
    two.links_.send(one.links_.endpoint(), large);
    one.links_.shutDown();
    fakes::runUntil(context_, [&] {
      return one.from(two) == 1 && two.from(one) == 2 &&
             two.links_.stats().links_ == 0;
    });
  }

  void randomBytesAreRefused()
  {
    Daemon one(context_, settingsFor(kKey));
    std::mt19937_64 random(3);
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for (int round = 0; round < 300; ++round) {
      std::string noise(1 + random() % 2000, '\0');
      for (char& byte : noise) {
        byte = static_cast<char>(random());
      }
      throwAt(one, round % 2 == 0 ? noise : preface + noise);
    }
    Daemon two(context_, settingsFor(kKey));
    two.links_.send(one.links_.endpoint(), "still there");
    fakes::runUntil(context_, [&] { return one.from(two) == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, one.got_.size());
  }

private:
  /** Sends bytes to a daemon and closes. */
  void throwAt(const Daemon& aDaemon, const std::string& aBytes)
  {
    boost::asio::io_context other;
    boost::asio::ip::tcp::socket socket(other);
    boost::system::error_code ignored;
    socket.connect({ boost::asio::ip::address_v4::loopback(),
                     aDaemon.links_.endpoint().port_ },
                   ignored);
    boost::asio::write(socket, boost::asio::buffer(aBytes), ignored);
    context_.restart();
    context_.poll();
    socket.close(ignored);
    context_.restart();
    context_.poll();
  }

  boost::asio::io_context context_; ///< Event loop of all daemons.
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinksTest);
