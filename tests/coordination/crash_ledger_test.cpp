// Tests of the ledger that finds the prompt parts which end targets.

#include "coordination/quarantine/crash_ledger.h"
#include "fakes/fake_clock.h"
#include "state/request_digest_func.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::CrashLedger;
using coordination::GuiltChanges;
using state::PromptPartId;
using state::PromptParts;
using state::VmId;

namespace {

constexpr PromptPartId kFirst(1); ///< First part of all prompts.
constexpr PromptPartId kBad(7);   ///< Part that ends targets.
constexpr PromptPartId kOther(3); ///< Sound part.
const PromptPartId kDeadly =
  state::wholeRequestPart({ "deadly" }); ///< Request that ends targets.

} // namespace

class CrashLedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashLedgerTest);
  CPPUNIT_TEST(partIsGuiltyAfterThreeMoments);
  CPPUNIT_TEST(reportsOfAllDaemonsAreJoined);
  CPPUNIT_TEST(repeatedReportsCountOnce);
  CPPUNIT_TEST(targetsThatEndTogetherCountOnce);
  CPPUNIT_TEST(targetsThatAreCutOffEndOnce);
  CPPUNIT_TEST(partWithSoundAnswersIsNotGuilty);
  CPPUNIT_TEST(partIsAloneGuiltyWhenTheOthersDiffer);
  CPPUNIT_TEST(requestsBesideTheGuiltyOneAreExplained);
  CPPUNIT_TEST(partsThatAreAlwaysTogetherAreGuiltyTogether);
  CPPUNIT_TEST(soundPartLeavesAGuiltySet);
  CPPUNIT_TEST(crashesOfAGuiltySetAccuseNoOtherPart);
  CPPUNIT_TEST(evidenceCountsAgainWhenASetIsLifted);
  CPPUNIT_TEST(setIsFoundAgainAfterItsTime);
  CPPUNIT_TEST(loneSuspectMayStillProveSound);
  CPPUNIT_TEST(equalSuspectsMayStillProveSound);
  CPPUNIT_TEST(doubtDoesNotLastWhileTargetsEnd);
  CPPUNIT_TEST(soundnessEnds);
  CPPUNIT_TEST(earlierCrashesDoNotAccuseTheFirstPart);
  CPPUNIT_TEST(manyPartsNeitherGrowTheLedgerNorHideTheGuiltyOne);
  CPPUNIT_TEST(suspectsAreAskedForAWhile);
  CPPUNIT_TEST(repeatedRequestIsGuiltyAfterTwoMoments);
  CPPUNIT_TEST(repeatedRequestAccusesNoneOfItsParts);
  CPPUNIT_TEST(requestsLostBesideARepeatedOneAreNotGuilty);
  CPPUNIT_TEST(requestsAlwaysLostTogetherNeedMoreEvidence);
  CPPUNIT_TEST(requestWhoseAnswerHadBegunIsLessSuspicious);
  CPPUNIT_TEST(requestThatWasAnsweredBetweenIsNotGuilty);
  CPPUNIT_TEST(requestOnTargetsThatEndTogetherIsNotGuilty);
  CPPUNIT_TEST(repeatedRequestsStillAccuseTheirCommonPart);
  CPPUNIT_TEST(manyRequestsDoNotHideARepeatedOne);
  CPPUNIT_TEST(guiltySetHasAllPartsInCommon);
  CPPUNIT_TEST(setThatMayLackTheGuiltyPartIsNotGuilty);
  CPPUNIT_TEST(answersBeforeTheCrashesClearTheCommonParts);
  CPPUNIT_TEST(oldAnswersClearNothing);
  CPPUNIT_TEST(allPartsInCommonAreSuspects);
  CPPUNIT_TEST_SUITE_END();

public:
  void partIsGuiltyAfterThreeMoments()
  {
    crash({ { kFirst, kBad } });
    crash({ { kFirst, kBad } });
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    crash({ { kFirst, kBad } });
    expectGuilty({ kFirst, kBad });
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void reportsOfAllDaemonsAreJoined()
  {
    for (int index = 0; index < 3; ++index) {
      const VmId vm = nextVm();
      ledger_.noteCrash(
        { vm,
          20ms,
          { { kFirst,
              PromptPartId(60 + static_cast<std::uint64_t>(index)) } } });
      clock_.advance(5ms);
      ledger_.noteCrash({ vm, 25ms, { { kFirst, kBad } } });
      clock_.advance(300ms);
    }
    CPPUNIT_ASSERT(!ledger_.decide().added_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, ledger_.crashes());
  }

  void repeatedReportsCountOnce()
  {
    const VmId vm = nextVm();
    for (int copy = 0; copy < 9; ++copy) {
      ledger_.noteCrash({ vm, 200ms * copy, { { kFirst, kBad } } });
      clock_.advance(200ms);
    }
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger_.crashes());
  }

  void targetsThatEndTogetherCountOnce()
  {
    for (int index = 0; index < 12; ++index) {
      ledger_.noteCrash({ nextVm(), 0ms, { { kFirst, kOther } } });
      clock_.advance(5ms);
    }
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void targetsThatAreCutOffEndOnce()
  {
    // Daemons reuse connections to a cut zone for seconds, and lose them.
    for (int round = 0; round < 5; ++round) {
      for (const char* vm : { "i-a", "i-b", "i-c" }) {
        ledger_.noteCrash({ VmId(vm), 0ms, { { kOther } } });
      }
      clock_.advance(900ms);
    }
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void partWithSoundAnswersIsNotGuilty()
  {
    for (int index = 0; index < 8; ++index) {
      crash({ { kFirst, PromptPartId(20) },
              { kFirst, PromptPartId(21) },
              { kFirst, PromptPartId(22) } },
            2s);
      noteSound({ kFirst, PromptPartId(20), PromptPartId(21) });
      noteSound({ PromptPartId(22) });
      CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    }
  }

  void partIsAloneGuiltyWhenTheOthersDiffer()
  {
    crash({ { PromptPartId(11), kBad } });
    crash({ { PromptPartId(12), kBad } });
    crash({ { PromptPartId(13), kBad } });
    expectGuilty({ kBad });
  }

  void requestsBesideTheGuiltyOneAreExplained()
  {
    const PromptPartId popular(9);
    for (int index = 0; index < 6; ++index) {
      crash({ { kFirst, kBad },
              { kFirst, index < 4 ? popular : PromptPartId(50) } });
    }
    expectGuilty({ kFirst, kBad });
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void partsThatAreAlwaysTogetherAreGuiltyTogether()
  {
    // A caller can put the parts of another one into its own prompts.
    for (int index = 0; index < 4; ++index) {
      crash({ { kBad, kOther } });
    }
    expectGuilty({ kOther, kBad });
  }

  void soundPartLeavesAGuiltySet()
  {
    for (int index = 0; index < 3; ++index) {
      crash({ { kBad, kOther } });
    }
    expectGuilty({ kOther, kBad });
    noteSound({ kOther });
    const GuiltChanges changes = ledger_.decide();
    CPPUNIT_ASSERT(changes.added_ == std::vector<PromptParts>{ { kBad } });
    CPPUNIT_ASSERT(changes.lifted_ ==
                   (std::vector<PromptParts>{ { kOther, kBad } }));
    noteSound({ kBad });
    CPPUNIT_ASSERT(ledger_.decide().lifted_ ==
                   std::vector<PromptParts>{ { kBad } });
  }

  void crashesOfAGuiltySetAccuseNoOtherPart()
  {
    for (int index = 0; index < 3; ++index) {
      crash({ { kFirst, kBad } });
    }
    expectGuilty({ kFirst, kBad });
    for (int index = 0; index < 6; ++index) {
      crash({ { kFirst, kBad }, { kFirst, kOther } });
    }
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void evidenceCountsAgainWhenASetIsLifted()
  {
    for (int index = 0; index < 3; ++index) {
      crash({ { kOther }, { kFirst, kBad } });
    }
    clock_.advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, ledger_.decide().added_.size());
    noteSound({ kOther });
    const GuiltChanges changes = ledger_.decide();
    CPPUNIT_ASSERT(changes.lifted_ == std::vector<PromptParts>{ { kOther } });
    CPPUNIT_ASSERT(changes.added_.empty());
  }

  void setIsFoundAgainAfterItsTime()
  {
    for (int round = 0; round < 2; ++round) {
      for (int index = 0; index < 3; ++index) {
        crash({ { kFirst, kBad } });
      }
      expectGuilty({ kFirst, kBad });
      clock_.advance(11min);
    }
  }

  void loneSuspectMayStillProveSound()
  {
    for (int index = 0; index < 3; ++index) {
      crash({ { kFirst } });
    }
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    noteSound({ kFirst });
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    for (int index = 0; index < 3; ++index) {
      crash({ { kBad } });
    }
    clock_.advance(1s);
    expectGuilty({ kBad });
  }

  void equalSuspectsMayStillProveSound()
  {
    const PromptPartId popular(9);
    for (int index = 0; index < 3; ++index) {
      crash({ { kFirst, kBad }, { kFirst, popular } });
    }
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    noteSound({ popular });
    expectGuilty({ kFirst, kBad });
  }

  void doubtDoesNotLastWhileTargetsEnd()
  {
    for (int index = 0; index < 9; ++index) {
      crash({ { kBad } }, 130ms);
    }
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    crash({ { kBad } }, 130ms);
    expectGuilty({ kBad });
  }

  void soundnessEnds()
  {
    crash({ { kBad } });
    noteSound({ kBad });
    clock_.advance(11s);
    for (int index = 0; index < 3; ++index) {
      crash({ { kBad } });
    }
    clock_.advance(1s);
    expectGuilty({ kBad });
  }

  void earlierCrashesDoNotAccuseTheFirstPart()
  {
    for (int index = 0; index < 2; ++index) {
      crash({ { kFirst, PromptPartId(30) }, { kFirst, PromptPartId(31) } });
    }
    for (int index = 0; index < 3; ++index) {
      crash(
        { { kFirst, kBad },
          { kFirst, PromptPartId(40 + 2 * static_cast<std::uint64_t>(index)) },
          { kFirst,
            PromptPartId(41 + 2 * static_cast<std::uint64_t>(index)) } });
    }
    expectGuilty({ kFirst, kBad });
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void manyPartsNeitherGrowTheLedgerNorHideTheGuiltyOne()
  {
    std::uint64_t fresh = 1000;
    for (int index = 0; index < 300; ++index) {
      std::vector<PromptParts> requests;
      requests.reserve(40);
      for (int request = 0; request < 40; ++request) {
        requests.push_back({ PromptPartId(++fresh), PromptPartId(++fresh) });
      }
      // The same request comes again and again beside fresh ones.
      requests.front() = { PromptPartId(++fresh), kBad };
      crash(requests);
    }
    CPPUNIT_ASSERT(ledger_.crashes() <= 64);
    CPPUNIT_ASSERT(ledger_.suspects().size() <= 48);
    clock_.advance(1s);
    expectGuilty({ kBad });
  }

  void suspectsAreAskedForAWhile()
  {
    crash({ { kFirst, kOther } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, ledger_.suspects().size());
    noteSound({ kFirst });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ledger_.suspects().size());
    CPPUNIT_ASSERT_EQUAL(kOther, ledger_.suspects().front().part_);
    clock_.advance(31s);
    CPPUNIT_ASSERT(ledger_.suspects().empty());
  }

  void repeatedRequestIsGuiltyAfterTwoMoments()
  {
    crash({ { kDeadly } });
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    crash({ { kDeadly } });
    expectGuilty({ kDeadly });
  }

  void repeatedRequestAccusesNoneOfItsParts()
  {
    for (int index = 0; index < 6; ++index) {
      crash({ { kDeadly, kFirst, kBad }, { whole(index), kFirst, kOther } });
    }
    expectGuilty({ kDeadly });
    clock_.advance(5s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void requestsLostBesideARepeatedOneAreNotGuilty()
  {
    crash({ { kDeadly, kFirst }, { whole(1), kFirst }, { whole(2), kFirst } });
    // Two of them have been sent once more, to the target that ends next.
    crash({ { kDeadly, kFirst }, { whole(1), kFirst }, { whole(2), kFirst } });
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    crash({ { kDeadly, kFirst } });
    expectGuilty({ kDeadly });
    clock_.advance(5s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void requestsAlwaysLostTogetherNeedMoreEvidence()
  {
    for (int index = 0; index < 3; ++index) {
      crash({ { kDeadly }, { whole(1) } });
    }
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    noteSound({ whole(1) });
    expectGuilty({ kDeadly });
  }

  void requestWhoseAnswerHadBegunIsLessSuspicious()
  {
    ledger_.noteCrash({ nextVm(), 0ms, { { kDeadly } }, { { whole(1) } } });
    clock_.advance(200ms);
    crash({ { kDeadly }, { whole(1) } });
    expectGuilty({ kDeadly });
  }

  void requestThatWasAnsweredBetweenIsNotGuilty()
  {
    for (int index = 0; index < 8; ++index) {
      crash({ { kDeadly } }, 2s);
      noteSound({ kDeadly });
      CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    }
  }

  void requestOnTargetsThatEndTogetherIsNotGuilty()
  {
    for (int index = 0; index < 4; ++index) {
      crash({ { kDeadly } }, 5ms);
    }
    clock_.advance(5s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void repeatedRequestsStillAccuseTheirCommonPart()
  {
    for (int index = 0; index < 2; ++index) {
      crash({ { whole(index), kFirst, kBad } });
      CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
      crash({ { whole(index), kFirst, kBad } });
      expectGuilty({ whole(index) });
    }
    crash({ { whole(2), kFirst, kBad } });
    expectGuilty({ kFirst, kBad });
  }

  void manyRequestsDoNotHideARepeatedOne()
  {
    constexpr int kLost = 20;
    for (int index = 0; index < 40; ++index) {
      std::vector<PromptParts> lost;
      lost.reserve(kLost);
      for (int other = 0; other < kLost; ++other) {
        lost.push_back({ whole(100 + index * kLost + other) });
      }
      crash(lost, 150ms);
    }
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
    crash({ { kDeadly }, { whole(7) } });
    crash({ { whole(8) }, { kDeadly } });
    expectGuilty({ kDeadly });
  }

  // The common set was cut down to four parts in the order of their
  // identifiers. Sound requests had all of these and were refused for good.
  void guiltySetHasAllPartsInCommon()
  {
    for (const std::size_t count : { 5U, 8U, 30U, 60U }) {
      for (const PromptPartId bad : { PromptPartId(1), PromptPartId(999) }) {
        CrashLedger ledger(clock_);
        const PromptParts prompt = with(parts(100, count), bad);
        for (int index = 0; index < 3; ++index) {
          ledger.noteCrash(
            { nextVm(), 0ms, { with(prompt, PromptPartId(2000 + vms_)) } });
          clock_.advance(200ms);
        }
        const GuiltChanges changes = ledger.decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.added_.size());
        PromptParts expected = prompt;
        std::sort(expected.begin(), expected.end());
        CPPUNIT_ASSERT_EQUAL(state::textOf(expected),
                             state::textOf(changes.added_.front()));
      }
    }
  }

  // All known parts of long prompts can be common ones while the guilty part
  // stands behind them.
  void setThatMayLackTheGuiltyPartIsNotGuilty()
  {
    for (int index = 0; index < 5; ++index) {
      crash({ parts(100, state::kMaxPromptParts) });
    }
    clock_.advance(2s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void answersBeforeTheCrashesClearTheCommonParts()
  {
    const PromptParts common = parts(100, 5);
    crash({ with(common, kBad) });
    noteSound(common, 3s);
    crash({ with(common, kBad) });
    crash({ with(common, kBad) });
    clock_.advance(1s);
    expectGuilty({ kBad });
    // Told once more, or by another daemon, they change nothing.
    noteSound(common, 5s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  void oldAnswersClearNothing()
  {
    for (int index = 0; index < 3; ++index) {
      crash({ { kFirst, kBad } });
      noteSound({ kFirst, kBad }, 11s);
    }
    expectGuilty({ kFirst, kBad });
    noteSound({ kFirst, kBad }, 11s);
    CPPUNIT_ASSERT(ledger_.decide() == GuiltChanges{});
  }

  // The parts with the greatest identifiers were never asked for.
  void allPartsInCommonAreSuspects()
  {
    const PromptParts common = parts(100, 60);
    crash({ common });
    crash({ common });
    CPPUNIT_ASSERT_EQUAL(common.size(), ledger_.suspects().size());
  }

private:
  /** @return A request as a whole. */
  static PromptPartId whole(int aIndex)
  {
    return state::wholeRequestPart({ "request", std::to_string(aIndex) });
  }

  /** Notes that a target has answered a request, some time ago. */
  void noteSound(const PromptParts& aParts, state::Duration aAge = 0ms)
  {
    std::vector<coordination::SoundPart> sound;
    for (const PromptPartId part : aParts) {
      sound.push_back({ part, aAge });
    }
    ledger_.noteSound(sound);
  }

  /** @return Parts in ascending order. */
  static PromptParts parts(std::uint64_t aFirst, std::size_t aCount)
  {
    PromptParts parts;
    for (std::size_t index = 0; index < aCount; ++index) {
      parts.emplace_back(aFirst + index);
    }
    return parts;
  }

  /** @return A prompt with a further part behind the common ones. */
  static PromptParts with(PromptParts aCommon, PromptPartId aPart)
  {
    aCommon.push_back(aPart);
    return aCommon;
  }

  VmId nextVm() { return VmId("i-" + std::to_string(++vms_)); }

  /** Reports the end of another target, and lets time pass. */
  void crash(const std::vector<PromptParts>& aRequests,
             state::Duration aPause = 200ms)
  {
    ledger_.noteCrash({ nextVm(), 0ms, aRequests });
    clock_.advance(aPause);
  }

  void expectGuilty(const PromptParts& aSet)
  {
    const GuiltChanges changes = ledger_.decide();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changes.added_.size());
    CPPUNIT_ASSERT_EQUAL(state::textOf(aSet),
                         state::textOf(changes.added_.front()));
    CPPUNIT_ASSERT(changes.lifted_.empty());
  }

  fakes::FakeClock clock_;       ///< Clock.
  CrashLedger ledger_{ clock_ }; ///< The ledger.
  int vms_ = 0;                  ///< Targets so far.
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);
