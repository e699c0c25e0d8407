// Tests of the JSON of operators' messages.

#include "protocol/admin_codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::protocol;

namespace {

constexpr state::WallTime kAt{ std::chrono::milliseconds(1700000000123) };

/** Fails unless a message survives the codec. */
template<class Message>
void
expectRoundTrip(const Message& aMessage)
{
  const std::string text = encodeAdmin(aMessage);
  CPPUNIT_ASSERT(aMessage == decodeAdmin<Message>(text).value());
}

/** @return A change with all fields set. */
HistoryEntry
sampleChange()
{
  return { state::Generation(8),
           state::Generation(7),
           "s-1",
           "asa",
           "more copies",
           kAt,
           { { "groups/drafts", "", "ff" } } };
}

} // namespace

class AdminCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AdminCodecTest);
  CPPUNIT_TEST(keepsSubmissions);
  CPPUNIT_TEST(keepsAnswers);
  CPPUNIT_TEST(keepsStatus);
  CPPUNIT_TEST(refusesWrongTypes);
  CPPUNIT_TEST(ignoresUnknownAndAbsentKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsSubmissions()
  {
    expectRoundTrip(SubmitRequest{ "s-1",
                                   "asa \"x\"\n",
                                   "why",
                                   state::Generation(7),
                                   { { "policy", "{}" } },
                                   { "groups/old" } });
  }

  void keepsAnswers()
  {
    for (int outcome = 0; outcome < 5; ++outcome) {
      expectRoundTrip(SubmitReply{ static_cast<SubmitOutcome>(outcome),
                                   state::Generation(8),
                                   { { "f", 3, "k", "m" } },
                                   sampleChange(),
                                   { sampleChange() } });
    }
    expectRoundTrip(
      ConfigReply{ state::Generation(8), { { "policy", "{}" } } });
    expectRoundTrip(HistoryReply{ { sampleChange(), sampleChange() } });
    const DaemonGeneration daemon{ state::DaemonId("d"),
                                   state::ZoneId("z"),
                                   state::Generation(8) };
    expectRoundTrip(ProgressReply{
      state::Generation(8), { daemon }, { daemon }, { daemon } });
    expectRoundTrip(AuditReply{
      { { kAt, state::DaemonId("d"), "assignment", "g/0", "moved" } } });
  }

  void keepsStatus()
  {
    const CopyStatus copy{ 1,
                           state::ZoneId("z"),
                           state::DomainId("f"),
                           state::FencingNumber(9),
                           false,
                           "member lost",
                           kAt,
                           { { state::VmId("v"), 2, "ready" } } };
    const GroupStatus group{
      state::GroupId("g"), true,    "", kAt, 3, std::chrono::milliseconds(1500),
      { kAt, 10, 950 },    { copy }
    };
    StatusReport report;
    report.daemon_ = state::DaemonId("d");
    report.store_ = "available";
    report.storeSince_ = kAt;
    report.groups_ = { group };
    report.spares_ = { { state::ZoneId("z"), state::DomainId("f"), 2 } };
    report.stranded_ = { { "no complete copy", 8 } };
    report.daemons_ = {
      { state::DaemonId("d"), state::ZoneId("z"), true, state::Generation(8) }
    };
    expectRoundTrip(report);
  }

  void refusesWrongTypes()
  {
    const char* const texts[] = { "",
                                  "[]",
                                  "{\"author\": 7}",
                                  "{\"base\": \"x\"}",
                                  "{\"put\": []}",
                                  "{\"remove\": {\"a\": 1}}" };
    for (const char* text : texts) {
      CPPUNIT_ASSERT_MESSAGE(text, !decodeAdmin<SubmitRequest>(text));
    }
    CPPUNIT_ASSERT(!decodeAdmin<HistoryReply>("{\"entries\": 3}"));
  }

  void ignoresUnknownAndAbsentKeys()
  {
    CPPUNIT_ASSERT(SubmitRequest() ==
                   decodeAdmin<SubmitRequest>("{\"new\": 1}").value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminCodecTest);
