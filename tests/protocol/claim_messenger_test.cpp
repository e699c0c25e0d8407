// Tests that daemons hand claims over and that nothing runs twice.

#include "protocol/claim_messenger.h"

#include "fakes/fake_store.h"
#include "protocol/link_channels.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace auburnhaven;

namespace {

/** Delivers messages between the fake daemons of a test, or loses them. */
struct FakeWire
{
  /** A message under way. */
  struct Message
  {
    state::Endpoint from_; ///< Sender.
    state::Endpoint to_;   ///< Receiver.
    std::string bytes_;    ///< Content.
  };
  std::vector<Message> messages_; ///< Messages under way.
  bool lossy_ = false;            ///< Whether messages are lost.
};

/** Links of one fake daemon. */
class FakeLinks : public protocol::ByteLinks
{
public:
  FakeLinks(FakeWire& aWire, state::Endpoint aSelf)
    : wire_(aWire)
    , self_(std::move(aSelf))
  {
  }
  void send(const state::Endpoint& aTo, std::string aMessage) override
  {
    if (!wire_.lossy_) {
      wire_.messages_.push_back({ self_, aTo, std::move(aMessage) });
    }
  }
  void onMessage(MessageHandler aHandler) override
  {
    handler_ = std::move(aHandler);
  }
  MessageHandler handler_; ///< Takes arriving messages.

private:
  FakeWire& wire_;       ///< Carries the messages.
  state::Endpoint self_; ///< Own endpoint.
};

/** One fake daemon with its claims. */
struct ClaimDaemon
{
  ClaimDaemon(FakeWire& aWire,
              fakes::FakeClock& aClock,
              const std::shared_ptr<fakes::FakeStoreData>& aData,
              std::uint16_t aPort)
    : links_(aWire, { "127.0.0.1", aPort })
    , channels_(links_)
    , store_(aClock, aData)
    , messenger_(channels_.claims(),
                 [](const state::DaemonId& aDaemon) {
                   const int port = std::stoi(aDaemon.value());
                   return std::optional<state::Endpoint>(
                     { "127.0.0.1", static_cast<std::uint16_t>(port) });
                 })
    , claims_(store_,
              aClock,
              state::DaemonId(std::to_string(aPort)),
              state::Incarnation(aPort),
              coordination::ClaimSettings(),
              &messenger_)
  {
    messenger_.serveWith(claims_);
    claims_.setDaemons({ state::DaemonId("1"), state::DaemonId("2") });
  }

  FakeLinks links_;                    ///< Links.
  protocol::LinkChannels channels_;    ///< Channels.
  fakes::FakeStore store_;             ///< Store.
  protocol::ClaimMessenger messenger_; ///< Claims of other daemons.
  coordination::ClaimService claims_;  ///< Claims.
};

} // namespace

class ClaimMessengerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClaimMessengerTest);
  CPPUNIT_TEST(oneOfTwoDaemonsGetsEachKey);
  CPPUNIT_TEST(lostMessagesDelayClaimsOnly);
  CPPUNIT_TEST(malformedMessagesAreIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = fakes::FakeClock();
    wire_ = FakeWire();
    data_ = std::make_shared<fakes::FakeStoreData>();
    daemons_.clear();
    for (const std::uint16_t port : { 1, 2 }) {
      daemons_.push_back(
        std::make_unique<ClaimDaemon>(wire_, clock_, data_, port));
    }
  }

  void oneOfTwoDaemonsGetsEachKey()
  {
    claimAllOnBoth();
    run();
    CPPUNIT_ASSERT(delivered_ > 0);
    assertGrantedOnceEach();
  }

  void lostMessagesDelayClaimsOnly()
  {
    wire_.lossy_ = true;
    claimAllOnBoth();
    run();
    assertGrantedOnceEach();
  }

  void malformedMessagesAreIgnored()
  {
    for (const char* bytes : { "",
                               "c",
                               "cq",
                               "cq1",
                               "cqx {}",
                               "cq1 nonsense",
                               "ca1 {}",
                               "ca99999999999999999999 {}",
                               "z" }) {
      daemons_[0]->links_.handler_({ "127.0.0.1", 2 }, bytes);
    }
    CPPUNIT_ASSERT(wire_.messages_.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), daemons_[0]->channels_.unknown());
  }

private:
  static constexpr int kKeys = 20; ///< Keys claimed on both daemons.

  /** Claims each key on both daemons at once. */
  void claimAllOnBoth()
  {
    granted_.clear();
    ended_ = 0;
    delivered_ = 0;
    for (int key = 0; key < kKeys; ++key) {
      for (const auto& daemon : daemons_) {
        daemon->claims_.claim(
          { state::AccountId("shop"),
            "orders/confirm",
            std::to_string(key),
            "d" },
          [this, key](const coordination::ClaimResult& aResult) {
            ++ended_;
            if (aResult.status_ == coordination::ClaimStatus::kGranted) {
              ++granted_[key];
            }
          });
      }
    }
  }

  /** Lets ten seconds pass. */
  void run()
  {
    for (int step = 0; step < 1000; ++step) {
      clock_.advance(std::chrono::milliseconds(10));
      const auto messages = std::move(wire_.messages_);
      wire_.messages_.clear();
      for (const FakeWire::Message& message : messages) {
        ++delivered_;
        const auto& to = daemons_[message.to_.port_ - 1U];
        to->links_.handler_(message.from_, message.bytes_);
      }
      for (const auto& daemon : daemons_) {
        daemon->store_.step();
        daemon->claims_.tick();
      }
    }
  }

  /** Asserts that all claims ended and each key was granted once. */
  void assertGrantedOnceEach()
  {
    CPPUNIT_ASSERT_EQUAL(2 * kKeys, ended_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(kKeys), granted_.size());
    for (const auto& [key, count] : granted_) {
      CPPUNIT_ASSERT_EQUAL(1, count);
    }
  }

  fakes::FakeClock clock_;                            ///< Clock.
  FakeWire wire_;                                     ///< Messages.
  std::shared_ptr<fakes::FakeStoreData> data_;        ///< Store's data.
  std::vector<std::unique_ptr<ClaimDaemon>> daemons_; ///< Both daemons.
  std::map<int, int> granted_;                        ///< Grants by key.
  int ended_ = 0;                                     ///< Claims that ended.
  int delivered_ = 0;                                 ///< Messages delivered.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimMessengerTest);
