// Tests of the datagrams on ended targets and quarantined prompt parts.

#include "protocol/quarantine_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace auburnhaven;
using namespace auburnhaven::protocol;
using namespace std::chrono_literals;
using state::PromptPartId;

class QuarantineCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuarantineCodecTest);
  CPPUNIT_TEST(noticesPass);
  CPPUNIT_TEST(noticesFitIntoOnePacket);
  CPPUNIT_TEST(longSetsArriveWhole);
  CPPUNIT_TEST(allPartsOfARequestArrive);
  CPPUNIT_TEST(malformedNoticesAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void noticesPass()
  {
    const CrashNotice crash{
      { { state::VmId("a"), 30ms, { { PromptPartId(1), PromptPartId(2) } } } },
      {}
    };
    const CrashNotice sound{ {},
                             { { PromptPartId(~std::uint64_t{ 0 }), 4s } } };
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
    const std::string datagram = encodeQuarantineNotice(notice_).front();
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
      std::sort(parts.begin(), parts.end());
      notice.sets_.push_back({ parts, 9min });
      notice.lifted_.push_back(parts);
    }
    const auto pieces = encodeCrashNotice(crash);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 40 }, pieces.size());
    for (const std::string& piece : pieces) {
      CPPUNIT_ASSERT(piece.size() <= 1400);
    }
    QuarantineNotice joined;
    for (const std::string& piece : encodeQuarantineNotice(notice)) {
      CPPUNIT_ASSERT(piece.size() <= 1400);
      join(joined, *decodeQuarantineNotice(piece));
    }
    CPPUNIT_ASSERT(joined == notice);
  }

  // What did not fit into one datagram was left out, in the order of
  // identifiers.
  void longSetsArriveWhole()
  {
    QuarantineNotice notice;
    CrashNotice crash;
    for (std::uint64_t set = 1; set <= 20; ++set) {
      state::PromptParts parts;
      for (std::uint64_t part = 0; part < state::kMaxPromptParts; ++part) {
        parts.emplace_back((set << 40U) + part);
        notice.suspects_.push_back({ parts.back(), 1s });
        crash.sound_.push_back({ parts.back(), 2s });
      }
      notice.sets_.push_back({ parts, 9min });
    }
    QuarantineNotice joined;
    for (const std::string& piece : encodeQuarantineNotice(notice)) {
      CPPUNIT_ASSERT(piece.size() <= 1400);
      join(joined, *decodeQuarantineNotice(piece));
    }
    CPPUNIT_ASSERT(joined == notice);
    CrashNotice heard;
    for (const std::string& piece : encodeCrashNotice(crash)) {
      CPPUNIT_ASSERT(piece.size() <= 1400);
      const CrashNotice part = *decodeCrashNotice(piece);
      heard.sound_.insert(
        heard.sound_.end(), part.sound_.begin(), part.sound_.end());
    }
    CPPUNIT_ASSERT(heard == crash);
  }

  // A request has one part more than its prompt, and the last one was lost.
  void allPartsOfARequestArrive()
  {
    state::PromptParts parts;
    for (std::uint64_t part = 0; part <= state::kMaxPromptParts; ++part) {
      parts.emplace_back(1000 + part);
    }
    const CrashNotice crash{ { { state::VmId("a"), 30ms, { parts } } }, {} };
    CPPUNIT_ASSERT(decodeCrashNotice(encodeCrashNotice(crash).front()) ==
                   crash);
  }

  void malformedNoticesAreRefused()
  {
    const std::string whole = encodeQuarantineNotice(notice_).front();
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!decodeQuarantineNotice(whole.substr(0, size)));
    }
    CPPUNIT_ASSERT(!decodeCrashNotice("no notice"));
  }

private:
  /** Adds what a further datagram tells. */
  static void join(QuarantineNotice& aNotice, const QuarantineNotice& aPiece)
  {
    CPPUNIT_ASSERT_EQUAL(aNotice != QuarantineNotice{}, aPiece.continues_);
    const auto append = [](auto& aTo, const auto& aFrom) {
      aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
    };
    append(aNotice.sets_, aPiece.sets_);
    append(aNotice.lifted_, aPiece.lifted_);
    append(aNotice.suspects_, aPiece.suspects_);
  }

  const QuarantineNotice notice_{ { { { PromptPartId(1), PromptPartId(2) },
                                      9min } },
                                  { { PromptPartId(3) } },
                                  { { PromptPartId(4), 250ms } },
                                  false };
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineCodecTest);
