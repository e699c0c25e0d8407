// Tests of the datagrams on stream events and on extensions of authority.

#include "coordination/replica/replica_type.h"
#include "protocol/activity_codec.h"
#include "protocol/extension_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

using namespace auburnhaven;
using namespace auburnhaven::protocol;
using namespace std::chrono_literals;

class ActivityCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ActivityCodecTest);
  CPPUNIT_TEST(messagesPass);
  CPPUNIT_TEST(messagesAreToldApart);
  CPPUNIT_TEST(malformedMessagesAreRefused);
  CPPUNIT_TEST(handoverOfTooManyEpochsIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void messagesPass()
  {
    CPPUNIT_ASSERT(decodeActivityQuestion(encodeActivityQuestion(question_)) ==
                   question_);
    CPPUNIT_ASSERT(decodeActivityNotice(encodeActivityNotice(notice_)) ==
                   notice_);
    CPPUNIT_ASSERT(decodeExtensionRequest(encodeExtensionRequest(request_)) ==
                   request_);
    CPPUNIT_ASSERT(decodeExtensionReply(encodeExtensionReply(reply_)) ==
                   reply_);
    CPPUNIT_ASSERT(decodeHandover(encodeHandover(handover_)) == handover_);
  }

  void messagesAreToldApart()
  {
    CPPUNIT_ASSERT(!decodeActivityNotice(encodeActivityQuestion(question_)));
    CPPUNIT_ASSERT(!decodeActivityQuestion(encodeActivityNotice(notice_)));
    CPPUNIT_ASSERT(!decodeExtensionReply(encodeExtensionRequest(request_)));
    CPPUNIT_ASSERT(!decodeHandover(encodeExtensionReply(reply_)));
    CPPUNIT_ASSERT(!decodeExtensionRequest(encodeHandover(handover_)));
  }

  void malformedMessagesAreRefused()
  {
    const std::string whole = encodeActivityNotice(notice_);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!decodeActivityNotice(whole.substr(0, size)));
    }
    std::mt19937 random(5);
    const std::string handover = encodeHandover(handover_);
    for (int round = 0; round < 5000; ++round) {
      std::string bytes = round % 2 == 0 ? whole : handover;
      bytes[random() % bytes.size()] = static_cast<char>(random());
      // Changed bytes may still be a message, but never a fault.
      decodeActivityQuestion(bytes);
      decodeActivityNotice(bytes);
      decodeExtensionRequest(bytes);
      decodeExtensionReply(bytes);
      const auto changed = decodeHandover(bytes);
      CPPUNIT_ASSERT(!changed || round % 2 == 1);
    }
  }

  // The next epoch of the heir would have run into an assertion.
  void handoverOfTooManyEpochsIsRefused()
  {
    HandoverMessage handover = handover_;
    handover.epochs_ = coordination::kEpochsPerTerm;
    CPPUNIT_ASSERT(!decodeHandover(encodeHandover(handover)));
    handover.epochs_ = std::numeric_limits<std::uint64_t>::max();
    CPPUNIT_ASSERT(!decodeHandover(encodeHandover(handover)));
  }

private:
  const ActivityQuestion question_{ 3, { state::VmId("a"), state::VmId("b") } };
  const ActivityNotice notice_{ 3,
                                { { state::VmId("a"), 40ms, 2 },
                                  { state::VmId("b"), 900ms, 0 } } };
  const ExtensionRequestMessage request_{ 4, state::ZoneId("z"), 77 };
  const ExtensionReplyMessage reply_{ 4,
                                      state::ZoneId("z"),
                                      coordination::ExtensionReply::kPromised };
  const HandoverMessage handover_{ state::ZoneId("z"), 77, 12 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActivityCodecTest);
