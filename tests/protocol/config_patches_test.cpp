// Tests of what is kept for readers of earlier versions.

#include "protocol/config_patches.h"
#include "protocol/news_codec.h"
#include "protocol/text_patch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace auburnhaven;
using protocol::PatchWay;

namespace {

constexpr std::size_t kBytes = 200'000; ///< Size of the first version.

/** @return A version's number. */
state::Generation
version(std::uint64_t aNumber)
{
  return state::Generation(aNumber);
}

} // namespace

class ConfigPatchesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigPatchesTest);
  CPPUNIT_TEST(readerOfAnEarlierVersionIsToldWhatChanged);
  CPPUNIT_TEST(readerOfAnUnknownVersionIsToldTheWhole);
  CPPUNIT_TEST(versionThatWasMissedEndsTheWay);
  CPPUNIT_TEST(nothingIsKeptWhileNobodyAsks);
  CPPUNIT_TEST(longWayIsReplacedByTheWhole);
  CPPUNIT_TEST(answerComesBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    texts_ = { std::string() };
    for (std::size_t letter = 0; letter < kBytes; ++letter) {
      texts_.back() += static_cast<char>('a' + random_() % 26);
    }
    patches_ = {};
  }

  void readerOfAnEarlierVersionIsToldWhatChanged()
  {
    patches_.wayFrom({}, version(0), texts_.front());
    change(10);
    const PatchWay way = patches_.wayFrom(version(3), version(10), text(10));
    CPPUNIT_ASSERT(way.from_ == version(3));
    CPPUNIT_ASSERT(bytesOf(way) < 2000);
    CPPUNIT_ASSERT(follow(way, text(3)) == text(10));
  }

  void readerOfAnUnknownVersionIsToldTheWhole()
  {
    change(2);
    const PatchWay way = patches_.wayFrom(version(77), version(2), text(2));
    CPPUNIT_ASSERT(way.from_ == state::Generation());
    CPPUNIT_ASSERT(follow(way, "") == text(2));
  }

  void versionThatWasMissedEndsTheWay()
  {
    patches_.wayFrom({}, version(0), texts_.front());
    change(2);
    texts_.push_back(text(2) + "missed");
    texts_.push_back(text(2) + "next");
    patches_.replaced(version(3), text(3), version(4), text(4));
    const PatchWay missed = patches_.wayFrom(version(1), version(4), text(4));
    CPPUNIT_ASSERT(follow(missed, "") == text(4));
    const PatchWay known = patches_.wayFrom(version(3), version(4), text(4));
    CPPUNIT_ASSERT(follow(known, text(3)) == text(4));
  }

  void nothingIsKeptWhileNobodyAsks()
  {
    patches_.wayFrom({}, version(0), texts_.front());
    change(40);
    const PatchWay way = patches_.wayFrom(version(39), version(40), text(40));
    CPPUNIT_ASSERT(way.from_ == state::Generation());
    CPPUNIT_ASSERT(follow(way, "") == text(40));
  }

  // Versions that have nothing in common, the last of them a short one.
  void longWayIsReplacedByTheWhole()
  {
    patches_.wayFrom({}, version(0), texts_.front());
    const std::string first = texts_.front();
    for (std::uint64_t next = 1; next <= 3; ++next) {
      std::string other = first.substr(0, kBytes / 2);
      for (char& letter : other) {
        letter = static_cast<char>('a' + random_() % 26);
      }
      patches_.replaced(version(next - 1), texts_.back(), version(next), other);
      texts_.push_back(std::move(other));
    }
    const PatchWay way = patches_.wayFrom(version(0), version(3), text(3));
    CPPUNIT_ASSERT(bytesOf(way) < kBytes / 2);
    CPPUNIT_ASSERT(follow(way, "") == text(3));
  }

  void answerComesBack()
  {
    protocol::NewsAnswer answer{ version(9),
                                 { version(7), { "a\xff", "" } },
                                 state::Revision(5, state::StoreEra(3)),
                                 { { state::VmId("v"), "entry" } } };
    const std::string bytes = protocol::encodeNewsAnswer(answer);
    CPPUNIT_ASSERT(protocol::decodeNewsAnswer(bytes) == answer);
    CPPUNIT_ASSERT(!protocol::decodeNewsQuestion(bytes));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!protocol::decodeNewsAnswer(bytes.substr(0, size)));
    }
    const protocol::NewsQuestion question{
      version(9), state::Revision(5, state::StoreEra(3))
    };
    CPPUNIT_ASSERT(protocol::decodeNewsQuestion(
                     protocol::encodeNewsQuestion(question)) == question);
  }

private:
  const std::string& text(std::size_t aVersion) const
  {
    return texts_.at(aVersion);
  }

  /** Makes further versions, each with a small change. */
  void change(int aTimes)
  {
    for (int time = 0; time < aTimes; ++time) {
      std::string next = texts_.back();
      next.at(random_() % next.size()) = '#';
      patches_.replaced(version(texts_.size() - 1),
                        texts_.back(),
                        version(texts_.size()),
                        next);
      texts_.push_back(std::move(next));
    }
  }

  static std::size_t bytesOf(const PatchWay& aWay)
  {
    std::size_t bytes = 0;
    for (const std::string& patch : aWay.patches_) {
      bytes += patch.size();
    }
    return bytes;
  }

  static std::string follow(const PatchWay& aWay, std::string aText)
  {
    for (const std::string& patch : aWay.patches_) {
      aText = protocol::applyPatch(aText, patch, 2 * kBytes).value();
    }
    return aText;
  }

  std::mt19937 random_{ 4 };        ///< Texts.
  std::vector<std::string> texts_;  ///< Texts by version, from 0.
  protocol::ConfigPatches patches_; ///< What is kept.
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigPatchesTest);
