// Tests of the bound on the responses that are held for all callers.

#include "coordination/request/response_memory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace auburnhaven;
using coordination::ResponseMemory;

/** Bodies without end filled the memory of a daemon, since only each single one
 * was bounded. */
class ResponseMemoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ResponseMemoryTest);
  CPPUNIT_TEST(largestResponseIsGivenUp);
  CPPUNIT_TEST(wholeResponseIsKept);
  CPPUNIT_TEST(endedResponseFreesItsBytes);
  CPPUNIT_TEST(smallResponsesOutlastAnyFlood);
  CPPUNIT_TEST_SUITE_END();

public:
  void largestResponseIsGivenUp()
  {
    ResponseMemory memory(100);
    ResponseMemory::Share large(&memory);
    ResponseMemory::Share small(&memory);
    CPPUNIT_ASSERT(large.hold(80));
    CPPUNIT_ASSERT(small.hold(20));
    CPPUNIT_ASSERT(small.hold(30));
    CPPUNIT_ASSERT(large.isGivenUp());
    CPPUNIT_ASSERT(!large.hold(81));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 30 }, memory.heldBytes());
    CPPUNIT_ASSERT(!small.hold(101));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, memory.heldBytes());
  }

  void wholeResponseIsKept()
  {
    ResponseMemory memory(100);
    ResponseMemory::Share whole(&memory);
    ResponseMemory::Share other(&memory);
    CPPUNIT_ASSERT(whole.hold(90));
    whole.complete();
    CPPUNIT_ASSERT(other.hold(10));
    CPPUNIT_ASSERT(!other.hold(11));
    CPPUNIT_ASSERT(!whole.isGivenUp());
  }

  void endedResponseFreesItsBytes()
  {
    ResponseMemory memory(100);
    for (int round = 0; round < 5; ++round) {
      ResponseMemory::Share share(&memory);
      CPPUNIT_ASSERT(share.hold(70));
      CPPUNIT_ASSERT(share.hold(60));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, memory.heldBytes());
    ResponseMemory::Share unbounded(nullptr);
    CPPUNIT_ASSERT(unbounded.hold(1000));
  }

  void smallResponsesOutlastAnyFlood()
  {
    const bool kept = rc::check("a flood beside small responses", [] {
      constexpr std::size_t kMaxBytes = 1000;
      constexpr std::size_t kSmallBytes = 10;
      ResponseMemory memory(kMaxBytes);
      std::vector<std::unique_ptr<ResponseMemory::Share>> small(20);
      std::vector<std::unique_ptr<ResponseMemory::Share>> floods(
        *rc::gen::inRange<std::size_t>(1, 30));
      std::vector<std::size_t> flooded(floods.size());
      const int steps = *rc::gen::inRange(1, 200);
      for (int step = 0; step < steps; ++step) {
        auto& sound = small[static_cast<std::size_t>(step) % small.size()];
        sound = std::make_unique<ResponseMemory::Share>(&memory);
        RC_ASSERT(sound->hold(kSmallBytes));
        const auto index = *rc::gen::inRange<std::size_t>(0, floods.size());
        if (!floods[index]) {
          floods[index] = std::make_unique<ResponseMemory::Share>(&memory);
        }
        flooded[index] += *rc::gen::inRange<std::size_t>(kSmallBytes + 1, 300);
        if (!floods[index]->hold(flooded[index])) {
          floods[index].reset();
          flooded[index] = 0;
        }
        RC_ASSERT(memory.heldBytes() <= kMaxBytes);
        const bool soundKept =
          std::none_of(small.begin(), small.end(), [](const auto& aShare) {
            return aShare && aShare->isGivenUp();
          });
        RC_ASSERT(soundKept);
      }
    });
    CPPUNIT_ASSERT(kept);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseMemoryTest);
