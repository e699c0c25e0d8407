// Tests of the invariants of domain records.

#include "state/domain_record_func.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven::state;

namespace {

/** @return A record with one copy of two members. */
DomainRecord
twoMemberRecord()
{
  DomainRecord record;
  const CopyId copy{ GroupId("drafts"), 0 };
  record.copies_[copy] = { copy, FencingNumber(1),        "m", "1",
                           {},   { VmId("a"), VmId("b") } };
  record.assignments_[VmId("a")] = { AssignmentKind::kMember, copy, 0, "" };
  record.assignments_[VmId("b")] = { AssignmentKind::kMember, copy, 1, "" };
  return record;
}

} // namespace

class DomainRecordTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainRecordTest);
  CPPUNIT_TEST(acceptsConsistentRecord);
  CPPUNIT_TEST(findsVmInTwoCopies);
  CPPUNIT_TEST(findsAssignmentWithoutMembership);
  CPPUNIT_TEST(missingMemberIsIncomplete);
  CPPUNIT_TEST_SUITE_END();

public:
  void acceptsConsistentRecord()
  {
    const DomainRecord record = twoMemberRecord();
    CPPUNIT_ASSERT_EQUAL(std::string(), brokenInvariant(record));
    CPPUNIT_ASSERT(isComplete(record.copies_.begin()->second));
  }

  void findsVmInTwoCopies()
  {
    DomainRecord record = twoMemberRecord();
    const CopyId other{ GroupId("drafts"), 1 };
    record.copies_[other] = { other, FencingNumber(1), "m", "1",
                              {},    { VmId("a") } };
    CPPUNIT_ASSERT(!brokenInvariant(record).empty());
  }

  void findsAssignmentWithoutMembership()
  {
    DomainRecord record = twoMemberRecord();
    record.assignments_[VmId("c")] = {
      AssignmentKind::kMember, { GroupId("x"), 0 }, 0, ""
    };
    CPPUNIT_ASSERT(!brokenInvariant(record).empty());
  }

  void missingMemberIsIncomplete()
  {
    DomainRecord record = twoMemberRecord();
    CopyRecord& copy = record.copies_.begin()->second;
    copy.members_[1] = VmId();
    CPPUNIT_ASSERT(!isComplete(copy));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainRecordTest);
