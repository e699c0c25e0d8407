// Tests of patches between texts.

#include "protocol/text_patch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace auburnhaven;

namespace {

constexpr std::size_t kLimit = 1024UL * 1024; ///< Largest text.

/** @return Random letters. */
std::string
letters(std::mt19937& aRandom, std::size_t aCount)
{
  std::string text;
  for (std::size_t letter = 0; letter < aCount; ++letter) {
    text += static_cast<char>('a' + aRandom() % 26);
  }
  return text;
}

} // namespace

class TextPatchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TextPatchTest);
  CPPUNIT_TEST(patchMakesTheText);
  CPPUNIT_TEST(patchIsAsLargeAsTheChange);
  CPPUNIT_TEST(patchOfAnotherBaseIsRefused);
  CPPUNIT_TEST(garbageIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void patchMakesTheText()
  {
    for (const std::size_t base : { 0UL, 1UL, 5000UL, 500'000UL }) {
      for (const std::size_t text : { 0UL, 1UL, 7000UL, 600'000UL }) {
        const std::string from = letters(random_, base);
        const std::string to = from.substr(0, base / 2) +
                               letters(random_, text) + from.substr(base / 2);
        CPPUNIT_ASSERT(protocol::applyPatch(from,
                                            protocol::makePatch(from, to),
                                            2 * kLimit) == to);
      }
    }
  }

  void patchIsAsLargeAsTheChange()
  {
    const std::string from = letters(random_, 400'000);
    std::string to = from;
    to.replace(0, 2, "42");
    to.replace(300'000, 10, letters(random_, 10));
    CPPUNIT_ASSERT(protocol::makePatch(from, to).size() < 1000);
  }

  void patchOfAnotherBaseIsRefused()
  {
    const std::string from = letters(random_, 10'000);
    const std::string patch =
      protocol::makePatch(from, from + letters(random_, 10));
    CPPUNIT_ASSERT(
      !protocol::applyPatch(letters(random_, 10'000), patch, kLimit));
    CPPUNIT_ASSERT(!protocol::applyPatch("", patch, kLimit));
    CPPUNIT_ASSERT(!protocol::applyPatch(from, patch, 10'000));
  }

  void garbageIsRefused()
  {
    const std::string from = letters(random_, 1000);
    const std::string good = protocol::makePatch("", from);
    for (int round = 0; round < 2000; ++round) {
      std::string bytes = good.substr(0, random_() % good.size());
      if (!bytes.empty()) {
        char& byte = bytes[random_() % bytes.size()];
        byte = static_cast<char>(byte ^ static_cast<int>(random_() % 256));
      }
      const auto text = protocol::applyPatch("", bytes, kLimit);
      CPPUNIT_ASSERT(!text.has_value());
    }
  }

private:
  std::mt19937 random_{ 9 }; ///< Texts.
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextPatchTest);
