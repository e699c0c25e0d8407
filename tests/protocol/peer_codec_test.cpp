// Tests of the encoding of messages between daemons.

#include "protocol/peer_codec.h"

#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace auburnhaven;
using namespace std::chrono_literals;
using namespace auburnhaven::coordination;

class PeerCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(everyBodySurvives);
  CPPUNIT_TEST(agesTravelAndRoundToTheOlderSide);
  CPPUNIT_TEST(heartbeatsAreSmall);
  CPPUNIT_TEST(damagedBytesAreHarmless);
  CPPUNIT_TEST(columnsOfUnequalLengthAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void everyBodySurvives()
  {
    for (const PeerBody& body : bodies()) {
      PeerMessage message{ state::ZoneId("zone-a"),
                           { 17, std::uint32_t{ 0 }, 5 },
                           body };
      const std::string bytes = protocol::encodePeerMessage(message, kNow);
      const auto back = protocol::decodePeerMessage(bytes, kNow);
      CPPUNIT_ASSERT(back && *back == message);
      message.stamp_.echoMs_.reset();
      const auto other = protocol::decodePeerMessage(
        protocol::encodePeerMessage(message, kNow), kNow);
      CPPUNIT_ASSERT(other && *other == message);
    }
  }

  void agesTravelAndRoundToTheOlderSide()
  {
    GossipMessage gossip;
    Heartbeat beat;
    beat.observedAt_ = kNow - 1500us;
    gossip.beats_ = { beat };
    const std::string bytes =
      protocol::encodePeerMessage({ state::ZoneId("z"), {}, gossip }, kNow);
    const auto back = protocol::decodePeerMessage(bytes, kNow + 1h);
    const auto& read = std::get<GossipMessage>(back->body_).beats_.front();
    CPPUNIT_ASSERT(read.observedAt_ == kNow + 1h - 2ms);
  }

  void heartbeatsAreSmall()
  {
    GossipMessage gossip;
    std::mt19937_64 random(1);
    for (int index = 0; index < 100; ++index) {
      Heartbeat beat;
      beat.session_ = SessionId(random());
      beat.count_ = 40000 + random() % 1000;
      beat.generation_ = state::Generation(5000000);
      beat.evidence_ = random();
      beat.observedAt_ = kNow - std::chrono::milliseconds(random() % 3000);
      gossip.beats_.push_back(beat);
    }
    const std::string bytes = protocol::encodePeerMessage(
      { state::ZoneId("zone-a"), {}, gossip }, kNow);
    CPPUNIT_ASSERT(bytes.size() <= 2300);
  }

  void damagedBytesAreHarmless()
  {
    std::mt19937_64 random(7);
    for (const PeerBody& body : bodies()) {
      const std::string bytes =
        protocol::encodePeerMessage({ state::ZoneId("z"), {}, body }, kNow);
      for (int round = 0; round < 300; ++round) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        if (!damaged.empty()) {
          damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        protocol::decodePeerMessage(damaged, kNow);
      }
    }
  }

  void columnsOfUnequalLengthAreRefused()
  {
    // A gossip message (field 5) whose heartbeats have a session only.
    const std::string session("\x0a\x08"
                              "12345678",
                              10);
    const std::string beats = "\x0a\x0a" + session;
    const std::string bytes = "\x2a\x0c" + beats;
    CPPUNIT_ASSERT(!protocol::decodePeerMessage(bytes, kNow));
  }

private:
  inline static const state::TimePoint kNow{ 2h }; ///< Present time.

  static std::vector<PeerBody> bodies()
  {
    const PeerAddress address{ state::DaemonId("daemon"),
                               state::ZoneId("zone-a"),
                               { "127.0.0.1", 65535 },
                               state::Incarnation(1ULL << 40U) };
    GossipMessage gossip;
    gossip.chosen_ = true;
    gossip.beats_.resize(2);
    gossip.beats_[0].generation_ = state::Generation(9);
    gossip.beats_[0].observedAt_ = kNow;
    gossip.beats_[1] = {
      SessionId(UINT64_MAX),     3,          state::Generation(7), 5, { 0, 4 },
      { { 2, { 1, 2, 3, 4 } } }, kNow - 10ms
    };
    gossip.entries_ = { { { { EntryKind::kOtherZone, "name" },
                            { 1, UINT64_MAX },
                            std::string("\0\xff", 2),
                            kNow - 2s },
                          true,
                          true } };
    return { gossip,
             DigestMessage{ { 0, 1, UINT32_MAX } },
             BucketMessage{ { 3 }, { { 1, { 2, 3 }, 4 }, { 5, {}, 6 } } },
             EntryRequestMessage{ { 1, UINT64_MAX } },
             JoinMessage{ address },
             WelcomeMessage{ { address, address } },
             ZoneMessage{ { state::ZoneId("zone-b"),
                            { address },
                            6,
                            state::Generation(4),
                            { state::DaemonId("late") } },
                          true } };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);
