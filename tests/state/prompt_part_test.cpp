// Tests of the parts of prompts.

#include "state/prompt_part_func.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

using namespace auburnhaven;
using state::PromptPartId;
using state::PromptParts;

class PromptPartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PromptPartTest);
  CPPUNIT_TEST(spellingsOfOneNumberAreOnePart);
  CPPUNIT_TEST(anyNameIsAPart);
  CPPUNIT_TEST(textIsReadBack);
  CPPUNIT_TEST(malformedTextHasNoParts);
  CPPUNIT_TEST_SUITE_END();

public:
  void spellingsOfOneNumberAreOnePart()
  {
    const PromptPartId part(0x5c1e07a2);
    CPPUNIT_ASSERT_EQUAL(part, state::promptPartFrom("5c1e07a2"));
    CPPUNIT_ASSERT_EQUAL(part, state::promptPartFrom("5C1E07A2"));
    CPPUNIT_ASSERT_EQUAL(part, state::promptPartFrom("00005c1e07a2"));
  }

  void anyNameIsAPart()
  {
    const std::string longName(40, 'a');
    for (const std::string& name : { longName, std::string("no number") }) {
      CPPUNIT_ASSERT_EQUAL(state::promptPartFrom(name),
                           state::promptPartFrom(name));
      CPPUNIT_ASSERT(state::promptPartFrom(name) !=
                     state::promptPartFrom(name + 'b'));
    }
  }

  void textIsReadBack()
  {
    const PromptParts parts = { PromptPartId(0x5c1e07a2),
                                PromptPartId(~std::uint64_t{ 0 }) };
    CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2,ffffffffffffffff"),
                         state::textOf(parts));
    CPPUNIT_ASSERT(parts == state::promptPartsFrom(state::textOf(parts)));
    CPPUNIT_ASSERT_EQUAL(std::string(), state::textOf({}));
  }

  void malformedTextHasNoParts()
  {
    for (const char* text :
         { "", ",", "12,", "12,,3", "x", "12 ", "10000000000000000" }) {
      CPPUNIT_ASSERT_MESSAGE(text, state::promptPartsFrom(text).empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartTest);
