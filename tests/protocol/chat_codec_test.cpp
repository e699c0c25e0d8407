// Tests of the callers' chat JSON and of the engines' generate lines.

#include "protocol/chat_codec.h"
#include "protocol/generate_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

using namespace auburnhaven;

namespace {

/** What reading a request came to. */
struct ReadResult
{
  std::optional<protocol::ChatRequest> request_; ///< The request, if valid.
  std::size_t faults_ = 0;                       ///< Faults found.
};

/** @return What reading a body came to. */
ReadResult
readChat(const std::string& aBody)
{
  ReadResult result;
  state::leaf::try_handle_all(
    [&]() -> state::leaf::result<void> {
      BOOST_LEAF_AUTO(request, protocol::decodeChatRequest(aBody));
      result.request_ = request;
      return {};
    },
    [&](const state::InputErrors& aErrors) {
      result.faults_ = aErrors.errors_.size();
    },
    [] { CPPUNIT_FAIL("error of another type"); });
  return result;
}

} // namespace

class ChatCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChatCodecTest);
  CPPUNIT_TEST(readsMessagesInOrder);
  CPPUNIT_TEST(tellsAllFaultsAtOnce);
  CPPUNIT_TEST(eventsEscapeTheirText);
  CPPUNIT_TEST(namesThatLookLikeFieldsStayNames);
  CPPUNIT_TEST(readsGenerateLines);
  CPPUNIT_TEST(refusesDamagedGenerateLines);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsMessagesInOrder()
  {
    const ReadResult result = readChat(
      R"({"model":"m","stream":true,"max_tokens":7,"kind":"draft","messages":[
      {"role":"system","content":"be short"},
      {"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]})");
    const protocol::ChatRequest expected{
      "m", "system: be short\nuser: ab\n", 7, true, "draft"
    };
    CPPUNIT_ASSERT(result.request_ == expected);
  }

  void tellsAllFaultsAtOnce()
  {
    const ReadResult result =
      readChat(R"({"stream":1,"max_tokens":0,"messages":[{"role":"user"}]})");
    CPPUNIT_ASSERT(!result.request_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), result.faults_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), readChat("nonsense").faults_);
  }

  void eventsEscapeTheirText()
  {
    const protocol::ChatEventEncoder events("r-1", "m");
    CPPUNIT_ASSERT_EQUAL(
      std::string(
        R"(data: {"id":"r-1","object":"chat.completion.chunk","model":"m",)"
        R"("choices":[{"index":0,"delta":{"content":"a\"b\n"},)"
        R"("finish_reason":null}]})"
        "\n\n"),
      events.encode("a\"b\n"));
  }

  void namesThatLookLikeFieldsStayNames()
  {
    const protocol::ChatEventEncoder events("r", R"("content":"")");
    const std::string event = events.encode("x");
    CPPUNIT_ASSERT(event.find(R"("content":"x")") != std::string::npos);
    CPPUNIT_ASSERT(event.find(R"(\"content\":\"\")") != std::string::npos);
  }

  void readsGenerateLines()
  {
    const protocol::GenerateLine token{ protocol::GenerateLineKind::kToken,
                                        3,
                                        "ab " };
    CPPUNIT_ASSERT(
      token == protocol::decodeGenerateLine(R"({"offset":3,"text":"ab "})"));
    const protocol::GenerateLine done{ protocol::GenerateLineKind::kDone,
                                       5,
                                       "" };
    CPPUNIT_ASSERT(done ==
                   protocol::decodeGenerateLine(R"({"done":true,"tokens":5})"));
  }

  void refusesDamagedGenerateLines()
  {
    for (const char* line : { "",
                              "{",
                              "[]",
                              "{}",
                              R"({"offset":-1,"text":"a"})",
                              R"({"offset":1})",
                              R"({"done":true})",
                              R"({"offset":"1","text":"a"})" }) {
      CPPUNIT_ASSERT(protocol::decodeGenerateLine(line).kind_ ==
                     protocol::GenerateLineKind::kMalformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChatCodecTest);
