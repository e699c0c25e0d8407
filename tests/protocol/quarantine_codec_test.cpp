// Tests of the datagrams on ended targets and quarantined prompt parts.

#include "protocol/quarantine_codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::protocol;
using namespace std::chrono_literals;
using state::PromptPartId;

class QuarantineCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineCodecTest);
  CPPUNIT_TEST(noticesPass);
  CPPUNIT_TEST(noticesFitIntoOnePacket);
  CPPUNIT_TEST(malformedNoticesAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void noticesPass()
  {
    const CrashNotice crash{
      { { state::VmId("a"), 30ms, { { PromptPartId(1), PromptPartId(2) } } } },
      {}
    };
    const CrashNotice sound{ {}, { PromptPartId(~std::uint64_t{ 0 }) } };
    CPPUNIT_ASSERT(encodeCrashNotice({}).empty());
    CPPUNIT_ASSERT(decodeCrashNotice(encodeCrashNotice(crash).front()) ==
                   crash);
    CPPUNIT_ASSERT(decodeCrashNotice(encodeCrashNotice(sound).front()) ==
                   sound);
    const CrashNotice begun{
      { { state::VmId("a"), 30ms, {}, { { PromptPartId(1) } } } }, {}
    };
    CPPUNIT_ASSERT(decodeCrashNotice(encodeCrashNotice(begun).front()) ==
                   begun);
    const std::string datagram = encodeQuarantineNotice(notice_);
    CPPUNIT_ASSERT(decodeQuarantineNotice(datagram) == notice_);
    CPPUNIT_ASSERT(!decodeCrashNotice(datagram));
  }

  void noticesFitIntoOnePacket()
  {
    CrashNotice crash;
    crash.reports_.push_back({ state::VmId("a"), 30ms, {} });
    QuarantineNotice notice;
    for (std::uint64_t request = 0; request < 40; ++request) {
      state::PromptParts parts;
      for (std::uint64_t part = 0; part < state::kMaxPromptParts; ++part) {
        parts.emplace_back(~(request * state::kMaxPromptParts + part));
      }
      crash.reports_.front().requests_.push_back(parts);
      notice.suspects_.push_back({ parts.front(), 1s });
      parts.resize(4);
      notice.sets_.push_back({ parts, 9min });
      notice.lifted_.push_back(parts);
    }
    const auto pieces = encodeCrashNotice(crash);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, pieces.size());
    for (const std::string& piece : pieces) {
      CPPUNIT_ASSERT(piece.size() <= 1400);
    }
    const std::string datagram = encodeQuarantineNotice(notice);
    CPPUNIT_ASSERT(datagram.size() <= 1400);
    CPPUNIT_ASSERT(decodeQuarantineNotice(datagram)->sets_.size() > 20);
  }

  void malformedNoticesAreRefused()
  {
    const std::string whole = encodeQuarantineNotice(notice_);
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!decodeQuarantineNotice(whole.substr(0, size)));
    }
    CPPUNIT_ASSERT(!decodeCrashNotice("no notice"));
  }

private:
  const QuarantineNotice notice_{ { { { PromptPartId(1), PromptPartId(2) },
                                      9min } },
                                  { { PromptPartId(3) } },
                                  { { PromptPartId(4), 250ms } } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineCodecTest);
