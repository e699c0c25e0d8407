// Tests of streams that one target began and another one must continue.

#include "fakes/text_func.h"
#include "platform/ordered_targets.h"

#include <atomic>
#include <map>

using namespace auburnhaven;
using namespace std::chrono_literals;
using fakes::chunk;
using fakes::contains;
using fakes::OrderedTargets;
using fakes::RawServer;
using fakes::RelayWorld;
using fakes::respondWith;
using fakes::statusOf;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr auto kGapLimit =
  150ms; ///< Silence after which the relay looks for another target.
constexpr auto kPause =
  100ms; ///< Time in which the relay takes what a target has sent.
constexpr auto kShortRoute =
  600ms; ///< Timeout of a route on which the relay tries until then.
constexpr char kEnd[] = "0\r\n\r\n"; ///< End of a chunked body.

/** Cases of a test by their name. */
using Cases = std::map<std::string, std::string>;

/** @return Settings with short limits on the silence of a target. */
transport::RelaySettings
impatient()
{
  transport::RelaySettings settings;
  settings.firstEventLimit_ = kGapLimit;
  settings.eventGapLimit_ = kGapLimit;
  return settings;
}

/** @return An event with a given identifier. */
std::string
text(const std::string& aId, const std::string& aData = "data")
{
  return "id: " + aId + "\ndata: " + aData + "\n\n";
}

/** @return An event of a stream as one chunk. */
std::string
event(int aId)
{
  return chunk(text(std::to_string(aId)));
}

/** @return Events of a range as one chunk each. */
std::string
events(int aFirst, int aLast)
{
  std::string all;
  for (int id = aFirst; id <= aLast; ++id) {
    all += event(id);
  }
  return all;
}

/** @return Head of a response to request a1 with further header lines. */
std::string
head(const std::string& aStatus, const std::string& aHeaders)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nX-Attempt-Id: a1\r\nX-Origin-Signature: next\r\n" + aHeaders +
         "\r\n";
}

/** @return Response to request a1 whose head states its length. */
std::string
sized(const std::string& aStatus,
      const std::string& aHeaders,
      const std::string& aBody)
{
  return head(aStatus,
              aHeaders + "Content-Length: " + std::to_string(aBody.size()) +
                "\r\n") +
         aBody;
}

constexpr char kEventType[] =
  "Content-Type: text/event-stream\r\n"; ///< Type of a stream.
constexpr char kChunked[] =
  "Transfer-Encoding: chunked\r\n"; ///< A body without a length.

/** @return Head of a stream. */
std::string
streamHead()
{
  return head("200 OK", std::string(kEventType) + kChunked);
}

/** @return Head of the stream of the first target. */
std::string
firstHead()
{
  std::string first = streamHead();
  return first.replace(first.find("next"), 4, "first");
}

/** @return A target's script: sends a part of a stream, lets it arrive, and
 * resets the connection. */
RawServer::Script
respondAndReset(const std::string& aResponse)
{
  return [=](Socket& aSocket, int) {
    RawServer::readRequest(aSocket);
    RawServer::write(aSocket, aResponse);
    std::this_thread::sleep_for(kPause / 4);
    RawServer::reset(aSocket);
  };
}

/** @return Targets' scripts, by the way in which each breaks off after two
 * events. */
std::map<std::string, RawServer::Script>
breaks()
{
  const std::string begun = firstHead() + events(1, 2);
  return { { "closed", respondWith(begun) },
           { "reset", respondAndReset(begun) },
           { "in an event", respondWith(begun + chunk("id: 3\nda")) },
           { "in a chunk", respondWith(begun + event(3).substr(0, 9)) },
           { "in a chunk's size", respondWith(begun + "1") } };
}

/** @return Response to a request for a stream. */
std::string
postStream(RelayWorld& aWorld)
{
  return aWorld.ask(RelayWorld::request("POST", "/stream/", "x"));
}

/** Something that one target waits for, and another one does. Thread-safe. */
class Signal
{
public:
  /** Lets those who wait go on. */
  void give() { given_ = true; }
  /** Waits for give(), for a bounded time. */
  void await() const
  {
    const auto until = std::chrono::steady_clock::now() + 2s;
    while (!given_ && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(1ms);
    }
  }

private:
  std::atomic<bool> given_{ false }; ///< Whether give() was called.
};

/** Checks that a response has the head of the first target, and the body. */
void
expectBody(const std::string& aName,
           const std::string& aBody,
           const std::string& aResponse)
{
  const std::string message = aName + ":\n" + aResponse;
  const std::size_t headEnd = aResponse.find("\r\n\r\n");
  CPPUNIT_ASSERT_MESSAGE(message, headEnd != std::string::npos);
  const std::string head = aResponse.substr(0, headEnd + 2);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string("200"), statusOf(head));
  CPPUNIT_ASSERT_MESSAGE(message,
                         contains(head, "X-Origin-Signature: first\r\n"));
  CPPUNIT_ASSERT_MESSAGE(message, !contains(head, "next"));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(message, aBody, aResponse.substr(headEnd + 4));
}

/** Checks the body of a stream that targets send by their scripts. */
void
expectStream(const std::string& aName,
             const std::string& aBody,
             const std::vector<RawServer::Script>& aScripts,
             std::chrono::milliseconds aTimeout = 3s)
{
  const OrderedTargets targets(aScripts);
  RelayWorld world;
  world.startWith(targets.endpoints(), aTimeout);
  expectBody(aName, aBody, postStream(world));
}

/** Checks the body of streams that break off in each way after two events and
 * are followed by each of some responses. */
void
expectAfterBreaks(const std::string& aBody, const Cases& aNext)
{
  for (const auto& [way, first] : breaks()) {
    for (const auto& [name, next] : aNext) {
      expectStream(std::string(way).append(", ").append(name),
                   aBody,
                   { first, respondWith(next) });
    }
  }
}

} // namespace

class RelayResumeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayResumeTest);
  CPPUNIT_TEST(errorOfTheNextTargetIsNoPartOfTheStream);
  CPPUNIT_TEST(slowErrorOfTheNextTargetDoesNotHoldTheStream);
  CPPUNIT_TEST(rejectionOfTheNextTargetIsNoPartOfTheStream);
  CPPUNIT_TEST(successOfAnotherKindDoesNotContinueAStream);
  CPPUNIT_TEST(encodedResponseIsNeverPassedOn);
  CPPUNIT_TEST(textThatIsNoEventEndsAnAttempt);
  CPPUNIT_TEST(targetThatRepeatsAnEventWithoutEndIsReplaced);
  CPPUNIT_TEST(headInTheMiddleOfAStreamIsNotPassedOn);
  CPPUNIT_TEST(bytesBehindAStreamAreNotPassedOn);
  CPPUNIT_TEST(interimResponsesAreNoPartOfTheStream);
  CPPUNIT_TEST(repeatedEventsArePassedOnOnce);
  CPPUNIT_TEST(continuationWithAMissingEventIsNotPassedOn);
  CPPUNIT_TEST(continuationMayIncreaseAsTheStreamDid);
  CPPUNIT_TEST(eventsWithoutNumbersDoNotContinueAStream);
  CPPUNIT_TEST(streamWithoutNumbersIsNotResumed);
  CPPUNIT_TEST(emptyContinuationEndsAStreamThatMayBeComplete);
  CPPUNIT_TEST(emptyContinuationDoesNotEndATornStream);
  CPPUNIT_TEST(shorterRunDoesNotEndAStream);
  CPPUNIT_TEST(streamThatMayNotBeResumedIsCut);
  CPPUNIT_TEST(errorBesideASilentTargetDoesNotHarmItsStream);
  CPPUNIT_TEST(halfAnEventOfTheSecondTargetOutlivesTheFirst);
  CPPUNIT_TEST(eventOfBothTargetsIsPassedOnOnce);
  CPPUNIT_TEST(secondTargetThatStartsAnewRepeatsNothing);
  CPPUNIT_TEST(emptyStreamBesideASilentTargetDoesNotEndItsStream);
  CPPUNIT_TEST(emptyStreamAfterATornEventDoesNotEndTheStream);
  CPPUNIT_TEST_SUITE_END();

public:
  void errorOfTheNextTargetIsNoPartOfTheStream()
  {
    // Even the body of an error may look like an event.
    const std::string body = text("3");
    Cases next;
    for (const char* status : { "500 Oops",
                                "404 Not Found",
                                "400 Bad Request",
                                "408 Request Timeout",
                                "504 Gateway Timeout",
                                "503 Full" }) {
      const std::string name(status);
      next[name + " sized"] = sized(status, kEventType, body);
      next[name + " chunked"] =
        head(status, kChunked) + chunk("error\n\n") + kEnd;
      next[name + " without a length"] = head(status, kEventType) + body;
    }
    expectAfterBreaks(events(1, 2), next);
  }

  void slowErrorOfTheNextTargetDoesNotHoldTheStream()
  {
    const auto from = std::chrono::steady_clock::now();
    expectStream("slow error",
                 events(1, 2),
                 { breaks()["closed"], [](Socket& aSocket, int) {
                    RawServer::readRequest(aSocket);
                    RawServer::write(aSocket,
                                     head("500 Oops", "Content-Length: 9\r\n"));
                    RawServer::readUntil(aSocket, "never sent");
                  } });
    // The caller waits for 2.5 s.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - from < 2s);
  }

  void rejectionOfTheNextTargetIsNoPartOfTheStream()
  {
    const std::string notRun = "X-Not-Executed: 1\r\n";
    const auto last = respondWith(streamHead() + events(3, 4) + kEnd);
    for (const auto& [way, first] : breaks()) {
      for (const std::string status :
           { "503 Full", "429 Too Many", "421 Misdirected" }) {
        for (const std::string& rejection :
             { sized(status, notRun, text("3")),
               head(status, notRun + kChunked) + event(3) + kEnd,
               head(status, notRun) + text("3") }) {
          expectStream(std::string(way).append(", ").append(status),
                       events(1, 4) + kEnd,
                       { first, respondWith(rejection), last });
        }
      }
    }
    expectStream(
      "rejections only",
      events(1, 2),
      { breaks()["closed"], respondWith(sized("503 Full", notRun, text("3"))) },
      kShortRoute);
  }

  void successOfAnotherKindDoesNotContinueAStream()
  {
    const std::string body = text("3");
    const std::string whole = streamHead() + event(3) + kEnd;
    expectAfterBreaks(
      events(1, 2),
      { { "text", sized("200 OK", "Content-Type: text/plain\r\n", body) },
        { "JSON", sized("200 OK", "Content-Type: application/json\r\n", body) },
        { "JSON chunk",
          head("200 OK",
               std::string("Content-Type: application/json\r\n") + kChunked) +
            event(3) + kEnd },
        { "no type", sized("200 OK", "", body) },
        { "empty without a type", sized("200 OK", "", "") },
        { "empty text", sized("200 OK", "Content-Type: text/plain\r\n", "") },
        { "204", head("204 No Content", "") },
        { "206", sized("206 Partial Content", kEventType, body) },
        { "no signature", without(whole, "X-Origin-Signature: next\r\n") },
        { "no id", without(whole, "X-Attempt-Id: a1\r\n") },
        { "other id", replaced(whole, "Id: a1", "Id: a2") } });
  }

  void encodedResponseIsNeverPassedOn()
  {
    const std::string encoding =
      std::string("Content-Encoding: gzip\r\n") + kEventType;
    const std::string stream =
      head("200 OK", encoding + kChunked) + event(3) + kEnd;
    expectAfterBreaks(events(1, 2),
                      { { "sized", sized("200 OK", encoding, text("3")) },
                        { "chunked", stream } });
    for (const std::string& response : { sized("200 OK", encoding, text("3")),
                                         sized("500 Oops", encoding, text("3")),
                                         stream }) {
      for (const char* path : { "/safe/", "/unsafe/", "/stream/" }) {
        const OrderedTargets targets({ respondWith(response) });
        RelayWorld world;
        world.startWith(targets.endpoints());
        const std::string got =
          world.ask(RelayWorld::request("POST", path, "x"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got, std::string("502"), statusOf(got));
      }
    }
  }

  void textThatIsNoEventEndsAnAttempt()
  {
    expectAfterBreaks(
      events(1, 2),
      { { "text", stream(chunk("Internal Server Error\n\n") + event(3)) },
        { "JSON", stream(chunk("{\"error\": \"full\"}\n\n") + event(3)) },
        { "page", stream(chunk("<html>\n<p>Oops</p>\n\n") + event(3)) } });
    expectAfterBreaks(
      events(1, 3),
      { { "text behind", stream(event(3) + chunk("Server Error\n\n")) },
        { "JSON behind", stream(event(3) + chunk("{\"error\": 5}\n\n")) },
        { "text at the end", stream(event(3) + chunk("error")) } });
    for (const char* error : { "Server Error\n\n", "{\"error\": 5}\n\n" }) {
      expectStream("of the first target",
                   events(1, 3) + kEnd,
                   { respondWith(firstHead() + events(1, 2) + chunk(error)),
                     respondWith(stream(event(3))) });
    }
  }

  // Its caller got nothing more until the deadline, though another target could
  // have gone on.
  void targetThatRepeatsAnEventWithoutEndIsReplaced()
  {
    expectPair("repeated",
               events(1, 4) + kEnd,
               { [&](Socket& aSocket, int) {
                  constexpr std::size_t kTimes = 20000;
                  const std::string repeated =
                    fakes::repeat(events(1, 1), kTimes);
                  begin(aSocket, events(1, 2));
                  boost::system::error_code error;
                  while (!error) {
                    aSocket.write_some(boost::asio::buffer(repeated), error);
                  }
                },
                 [&](Socket& aSocket, int) {
                   RawServer::readRequest(aSocket);
                   RawServer::write(aSocket, stream(events(1, 4)));
                 } });
  }

  void headInTheMiddleOfAStreamIsNotPassedOn()
  {
    const std::string error = sized("500 Oops", "", "error\r\n\r\n");
    const std::string torn = "400\r\nid: 3\ndata: some"; // Of 1 KiB.
    const Cases middles = {
      { "in a chunk", chunk(error) + kEnd },
      { "with an event", chunk(error + text("3")) + kEnd },
      { "in an event", chunk("id: 3\n" + error + "\n\n") + kEnd },
      { "instead of a chunk", error },
      { "in a torn chunk", torn + error + error },
      { "after a torn line", torn + "\n" + error + error },
      { "in a chunk's size", "1" + error },
    };
    Cases next;
    for (const auto& [name, middle] : middles) {
      next[name] = streamHead() + middle;
      // The first target's own stream breaks off in the same way.
      expectStream("first, " + name,
                   events(1, 3) + kEnd,
                   { respondWith(firstHead() + events(1, 2) + middle),
                     respondWith(stream(event(3))) });
    }
    expectAfterBreaks(events(1, 2), next);
  }

  void bytesBehindAStreamAreNotPassedOn()
  {
    const std::string whole = stream(events(3, 4));
    expectAfterBreaks(events(1, 4) + kEnd,
                      { { "error", whole + sized("500 Oops", "", text("5")) },
                        { "same again", whole + whole },
                        { "text", whole + text("5") },
                        { "sized",
                          sized("200 OK", kEventType, text("3") + text("4")) +
                            sized("200 OK", kEventType, text("5")) } });
  }

  void interimResponsesAreNoPartOfTheStream()
  {
    const std::string whole = stream(events(3, 4));
    expectAfterBreaks(
      events(1, 4) + kEnd,
      { { "100", "HTTP/1.1 100 Continue\r\n\r\n" + whole },
        { "102", "HTTP/1.1 102 Processing\r\n\r\n" + whole },
        { "103", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole },
        { "all",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
            whole } });
  }

  void repeatedEventsArePassedOnOnce()
  {
    const std::string other = chunk(text("2", "other"));
    expectAfterBreaks(
      events(1, 4) + kEnd,
      { { "anew", stream(events(1, 4)) },
        { "one chunk",
          stream(chunk(text("1") + text("2") + text("3") + text("4"))) },
        { "from event 0", stream(chunk(text("0")) + events(1, 4)) },
        { "equal", stream(events(2, 4)) },
        { "equal with other data", stream(other + events(3, 4)) },
        { "smaller", stream(event(1) + events(3, 4)) },
        { "smaller behind", stream(event(3) + events(1, 4)) },
        { "comment first", stream(chunk(": comment\n\n") + events(3, 4)) } });
  }

  void continuationWithAMissingEventIsNotPassedOn()
  {
    expectAfterBreaks(
      events(1, 2),
      { { "one missing", stream(events(4, 5)) },
        { "many missing", stream(events(90, 95)) },
        { "after known ones", stream(events(1, 2) + event(4)) } });
  }

  void continuationMayIncreaseAsTheStreamDid()
  {
    const std::string first =
      chunk(text("2")) + chunk(text("4")) + chunk(text("9"));
    const std::string rest = chunk(text("17")) + chunk(text("19"));
    expectStream("increasing",
                 first + rest + kEnd,
                 { respondWith(firstHead() + first),
                   respondWith(stream(chunk(text("9")) + rest)) });
    // A single event tells nothing of the steps.
    expectStream(
      "one event",
      event(4) + rest + kEnd,
      { respondWith(firstHead() + event(4)), respondWith(stream(rest)) });
  }

  void eventsWithoutNumbersDoNotContinueAStream()
  {
    expectAfterBreaks(
      events(1, 2),
      { { "word", stream(chunk("error\n\n") + event(3)) },
        { "no ids", stream(chunk("data: c\n\n") + chunk("data: d\n\n")) },
        { "no ids, then ids", stream(chunk("data: c\n\n") + event(3)) },
        { "named event", stream(chunk("event: error\ndata: x\n\n")) },
        { "words", stream(chunk(text("c")) + chunk(text("d"))) },
        { "empty id", stream(chunk(text(""))) },
        { "negative", stream(chunk(text("-3"))) },
        { "too large", stream(chunk(text("99999999999999999999"))) } });
  }

  void streamWithoutNumbersIsNotResumed()
  {
    for (const std::string& begun :
         { chunk("data: a\n\n") + chunk("data: b\n\n"),
           event(1) + chunk("data: b\n\n"),
           chunk(text("a")) + chunk(text("b")) }) {
      const OrderedTargets targets(
        { respondWith(firstHead() + begun),
          respondWith(stream(begun + chunk("data: c\n\n"))) });
      RelayWorld world;
      world.startWith(targets.endpoints());
      expectBody("without numbers", begun, postStream(world));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, targets.connections());
    }
  }

  void emptyContinuationEndsAStreamThatMayBeComplete()
  {
    // The first target broke off just before its end, as far as is known.
    for (const char* way : { "closed", "reset" }) {
      for (const std::string& next :
           { stream(""), stream(events(1, 2)), stream(event(2)) }) {
        expectStream(
          way, events(1, 2) + kEnd, { breaks()[way], respondWith(next) });
      }
    }
  }

  void emptyContinuationDoesNotEndATornStream()
  {
    for (const char* way : { "in an event", "in a chunk" }) {
      for (const std::string& next :
           { stream(""), stream(events(1, 2)), stream(event(2)) }) {
        expectStream(way, events(1, 2), { breaks()[way], respondWith(next) });
      }
    }
    const OrderedTargets targets(
      { respondWith(firstHead() + chunk("id: 1\nda")),
        respondWith(stream("")) });
    RelayWorld world;
    world.startWith(targets.endpoints());
    CPPUNIT_ASSERT_EQUAL(std::string("502"), statusOf(postStream(world)));
  }

  void shorterRunDoesNotEndAStream()
  {
    expectAfterBreaks(events(1, 2), { { "shorter", stream(event(1)) } });
  }

  void streamThatMayNotBeResumedIsCut()
  {
    for (const auto& [way, first] : breaks()) {
      const OrderedTargets targets({ first, respondWith(stream(event(3))) });
      RelayWorld world;
      world.startWith(targets.endpoints(), 3s, false);
      expectBody(way, events(1, 2), postStream(world));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        way, std::size_t{ 1 }, targets.connections());
    }
  }

  void errorBesideASilentTargetDoesNotHarmItsStream()
  {
    for (const std::string& next :
         { sized("500 Oops", kEventType, text("2")),
           head("404 Not Found", kChunked) + event(2) + kEnd,
           sized("200 OK", "Content-Type: text/plain\r\n", text("2")),
           stream(chunk("data: no id\n\n")),
           stream(event(9)) }) {
      expectBesideSilence(next);
    }
  }

  void halfAnEventOfTheSecondTargetOutlivesTheFirst()
  {
    for (const std::string& last :
         { std::string(), chunk("id: 3\ndata: torn"), std::string("1") }) {
      Signal half;
      Signal broken;
      expectPair(
        "half an event",
        events(1, 4) + kEnd,
        { [&](Socket& aSocket, int) {
           begin(aSocket, events(1, 2));
           half.await();
           RawServer::write(aSocket, last);
           std::this_thread::sleep_for(kPause);
           aSocket.close();
           broken.give();
         },
          [&](Socket& aSocket, int) {
            RawServer::readRequest(aSocket);
            RawServer::write(aSocket, streamHead() + chunk("id: 3\nda"));
            std::this_thread::sleep_for(kPause);
            half.give();
            broken.await();
            std::this_thread::sleep_for(kPause);
            RawServer::write(aSocket, chunk("ta: data\n\n") + event(4) + kEnd);
          } });
    }
  }

  void eventOfBothTargetsIsPassedOnOnce()
  {
    Signal ready;
    Signal go;
    expectPair("both at once",
               events(1, 4) + kEnd,
               { [&](Socket& aSocket, int) {
                  begin(aSocket, events(1, 2));
                  ready.await();
                  go.give();
                  RawServer::write(aSocket, event(3));
                  std::this_thread::sleep_for(kPause);
                  RawServer::write(aSocket, event(4) + kEnd);
                },
                 [&](Socket& aSocket, int) {
                   RawServer::readRequest(aSocket);
                   RawServer::write(aSocket, streamHead());
                   ready.give();
                   go.await();
                   RawServer::write(aSocket, event(3));
                   std::this_thread::sleep_for(kPause);
                   RawServer::write(aSocket, event(4) + kEnd);
                 } });
  }

  void secondTargetThatStartsAnewRepeatsNothing()
  {
    expectPair("anew",
               events(1, 4) + kEnd,
               { [](Socket& aSocket, int) {
                  begin(aSocket, events(1, 2) + chunk("id: 3\ndata: to"));
                  // The relay closes the connection.
                  RawServer::readUntil(aSocket, "never sent");
                },
                 respondWith(stream(events(1, 4))) });
  }

  void emptyStreamBesideASilentTargetDoesNotEndItsStream()
  {
    for (const std::string& next : { stream(""),
                                     stream(events(1, 2)),
                                     sized("200 OK", kEventType, ""),
                                     sized("200 OK", "", "") }) {
      expectBesideSilence(next);
    }
  }

  void emptyStreamAfterATornEventDoesNotEndTheStream()
  {
    Signal asked;
    Signal broken;
    expectPair("torn beside an empty stream",
               events(1, 2),
               { [&](Socket& aSocket, int) {
                  begin(aSocket, events(1, 2) + chunk("id: 3\ndata: to"));
                  asked.await();
                  aSocket.close();
                  broken.give();
                },
                 [&](Socket& aSocket, int) {
                   RawServer::readRequest(aSocket);
                   RawServer::write(aSocket, streamHead());
                   asked.give();
                   broken.await();
                   std::this_thread::sleep_for(kPause);
                   RawServer::write(aSocket, kEnd);
                 } });
  }

private:
  /** @return A whole stream with a body of chunks. */
  static std::string stream(const std::string& aChunks)
  {
    return streamHead() + aChunks + kEnd;
  }

  static std::string without(std::string aText, const std::string& aPart)
  {
    return aText.erase(aText.find(aPart), aPart.size());
  }

  static std::string replaced(std::string aText,
                              const std::string& aOld,
                              const std::string& aNew)
  {
    return aText.replace(aText.find(aOld), aOld.size(), aNew);
  }

  /** Reads a request and begins a stream as the first target. */
  static void begin(Socket& aSocket, const std::string& aChunks)
  {
    RawServer::readRequest(aSocket);
    RawServer::write(aSocket, firstHead() + aChunks);
  }

  /** Checks that a stream whose target is silent for a while arrives whole,
   * whatever another target has answered meanwhile. */
  static void expectBesideSilence(const std::string& aNext)
  {
    Signal answered;
    expectPair(aNext,
               events(1, 4) + kEnd,
               { [&](Socket& aSocket, int) {
                  begin(aSocket, events(1, 2));
                  answered.await();
                  std::this_thread::sleep_for(kPause);
                  RawServer::write(aSocket, events(3, 4) + kEnd);
                },
                 [&](Socket& aSocket, int) {
                   RawServer::readRequest(aSocket);
                   RawServer::write(aSocket, aNext);
                   answered.give();
                 } });
  }

  /** Checks the body of a stream that two targets send at once, since the first
   * one is silent for a while. */
  static void expectPair(const std::string& aName,
                         const std::string& aBody,
                         const std::vector<RawServer::Script>& aScripts)
  {
    const OrderedTargets targets(aScripts);
    RelayWorld world(impatient());
    world.startWith(targets.endpoints());
    expectBody(aName, aBody, postStream(world));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      aName, std::size_t{ 2 }, targets.connections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayResumeTest);
