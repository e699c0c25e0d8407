// Tests of the commands on domain records and of the records' text form.

#include "state/assignment_cmd.h"
#include "state/domain_record_codec.h"
#include "state/domain_record_func.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace auburnhaven::state;

namespace {

constexpr CommandMode kRun = CommandMode::kExecute;

CopyId
copyId(std::uint32_t aIndex)
{
  return { GroupId("drafts"), aIndex };
}

/** @return A record with copies 0 and 1 of two ranks each, without members. */
DomainRecord
emptyCopies()
{
  DomainRecord record;
  record.domain_ = DomainId("d");
  record.zone_ = ZoneId("z");
  for (std::uint32_t index = 0; index < 2; ++index) {
    runCommand(record, CreateCopy{ copyId(index), "m", "1", { "a" }, 2 }, kRun);
  }
  return record;
}

/** @return Command chosen at random over few VMs and copies. */
AssignmentCommand
randomCommand(std::mt19937_64& aRandom)
{
  const VmId vm("vm" + std::to_string(aRandom() % 5));
  const CopyId copy = copyId(static_cast<std::uint32_t>(aRandom() % 3));
  const auto rank = static_cast<std::uint32_t>(aRandom() % 3);
  switch (aRandom() % 9) {
    case 0:
      return CreateCopy{ copy, "m", "1", {}, rank };
    case 1:
      return RemoveCopy{ copy, "r" };
    case 2:
      return ChangeModel{ copy, "m", "2", {} };
    case 3:
      return BumpFencing{ copy };
    case 4:
      return MakeSpare{ vm, "r" };
    case 5:
      return ReserveVm{ vm, copy, rank, aRandom() % 2 == 0, "r" };
    case 6:
      return WithdrawVm{ vm, "r" };
    case 7:
      return ForgetVm{ vm };
    default:
      return AssignMember{ vm, copy, rank, "r" };
  }
}

} // namespace

class AssignmentCommandTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AssignmentCommandTest);
  CPPUNIT_TEST(refusesVmInTwoCopies);
  CPPUNIT_TEST(refusesReserveOfAnotherCopy);
  CPPUNIT_TEST(withdrawalVacatesRankAndBumpsFencing);
  CPPUNIT_TEST(removalFreesMembersAndReserves);
  CPPUNIT_TEST(randomCommandsKeepInvariants);
  CPPUNIT_TEST(refusesBrokenText);
  CPPUNIT_TEST_SUITE_END();

public:
  void refusesVmInTwoCopies()
  {
    DomainRecord record = emptyCopies();
    const VmId vm("a");
    CPPUNIT_ASSERT(
      runCommand(record, AssignMember{ vm, copyId(0), 0, "" }, kRun).ok());
    const CommandResult again =
      runCommand(record, AssignMember{ vm, copyId(1), 0, "" }, kRun);
    CPPUNIT_ASSERT(again.fault_ == CommandFault::kVmIsMember);
  }

  void refusesReserveOfAnotherCopy()
  {
    DomainRecord record = emptyCopies();
    const VmId vm("a");
    runCommand(record, ReserveVm{ vm, copyId(0), 0, false, "" }, kRun);
    const CommandResult other =
      runCommand(record, AssignMember{ vm, copyId(1), 0, "" }, kRun);
    CPPUNIT_ASSERT(other.fault_ == CommandFault::kReservedToCopy);
    CPPUNIT_ASSERT(
      runCommand(record, AssignMember{ vm, copyId(0), 0, "" }, kRun).ok());
  }

  void withdrawalVacatesRankAndBumpsFencing()
  {
    DomainRecord record = emptyCopies();
    runCommand(record, AssignMember{ VmId("a"), copyId(0), 1, "" }, kRun);
    record.version_ = 7;
    runCommand(record, WithdrawVm{ VmId("a"), "absent" }, kRun);
    const CopyRecord& copy = record.copies_[copyId(0)];
    CPPUNIT_ASSERT(copy.members_[1].empty());
    CPPUNIT_ASSERT(copy.fencing_ == fencingOf(8));
  }

  void removalFreesMembersAndReserves()
  {
    DomainRecord record = emptyCopies();
    runCommand(record, AssignMember{ VmId("a"), copyId(0), 0, "" }, kRun);
    runCommand(record, ReserveVm{ VmId("b"), copyId(0), 0, false, "" }, kRun);
    runCommand(record, RemoveCopy{ copyId(0), "unwanted" }, kRun);
    for (const char* vm : { "a", "b" }) {
      CPPUNIT_ASSERT(record.assignments_[VmId(vm)].kind_ ==
                     AssignmentKind::kSpare);
    }
  }

  void randomCommandsKeepInvariants()
  {
    std::mt19937_64 random(4);
    DomainRecord record = emptyCopies();
    for (int step = 0; step < 20000; ++step) {
      const AssignmentCommand command = randomCommand(random);
      const DomainRecord before = record;
      const CommandResult tested =
        runCommand(record, command, CommandMode::kTest);
      CPPUNIT_ASSERT(record == before);
      CPPUNIT_ASSERT(runCommand(record, command, kRun) == tested);
      CPPUNIT_ASSERT(tested.ok() || record == before);
      CPPUNIT_ASSERT_EQUAL(std::string(), brokenInvariant(record));
      ++record.version_;
      const auto decoded =
        decodeDomainRecord(encodeDomainRecord(record), "test");
      CPPUNIT_ASSERT(decoded && *decoded == record);
    }
  }

  void refusesBrokenText()
  {
    DomainRecord record = emptyCopies();
    record.copies_[copyId(0)].members_[0] = VmId("a");
    const std::string twice = encodeDomainRecord(record);
    for (const std::string& text :
         { std::string("{"), std::string("{}"), twice }) {
      const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_AUTO(decoded, decodeDomainRecord(text, "test"));
          CPPUNIT_ASSERT(decoded == record); // Reached only on a fault.
          return false;
        },
        [](const InputErrors& aErrors) { return !aErrors.errors_.empty(); },
        [] { return false; });
      CPPUNIT_ASSERT(refused);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssignmentCommandTest);
