// Tests of splitting streams of server-sent events.

#include "transport/relay/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace auburnhaven;
using transport::EventSplitter;

class EventSplitterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(onlyCompleteEventsAreReturned);
  CPPUNIT_TEST(carriageReturnsAreKept);
  CPPUNIT_TEST(repeatedEventsAreSkipped);
  CPPUNIT_TEST(resumedStreamHasNoPartOfATornEvent);
  CPPUNIT_TEST(eventsDoNotDependOnInputChunks);
  CPPUNIT_TEST(textThatIsNoEventIsAFault);
  CPPUNIT_TEST(eventsOfAnyFormAreReturned);
  CPPUNIT_TEST(jumpOfConsecutiveNumbersIsAFaultWhenResumed);
  CPPUNIT_TEST(partOfALaterEventShowsThatTheStreamGoesOn);
  CPPUNIT_TEST(shorterRunEndsEarly);
  CPPUNIT_TEST(resumedRunsMakeOneStream);
  CPPUNIT_TEST(endlessRepetitionIsAFault);
  CPPUNIT_TEST(longResumedRunIsNoFault);
  CPPUNIT_TEST_SUITE_END();

public:
  void onlyCompleteEventsAreReturned()
  {
    EventSplitter events;
    events.add("id: 1\ndata: a\n\nid: 2\nda");
    CPPUNIT_ASSERT(events.next() == "id: 1\ndata: a\n\n");
    CPPUNIT_ASSERT(events.next().empty());
    CPPUNIT_ASSERT(events.hasPartialEvent());
    events.add("ta: b\n\n");
    CPPUNIT_ASSERT(events.next() == "id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT(!events.hasPartialEvent());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), events.position().lastId_);
  }

  void carriageReturnsAreKept()
  {
    EventSplitter events;
    events.add("id: 7\r\ndata: a\r\n\r\n");
    CPPUNIT_ASSERT(events.next() == "id: 7\r\ndata: a\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("7"), events.position().lastId_);
  }

  void repeatedEventsAreSkipped()
  {
    EventSplitter events;
    events.add("id: 4\ndata: a\n\n");
    events.next();
    events.add("id: 3\ndata: x\n\nid: 4\ndata: a\n\nid: 5\ndata: b\n\n");
    CPPUNIT_ASSERT(events.next() == "id: 5\ndata: b\n\n");
  }

  // A target that repeated its first event without end kept its caller, and
  // the thread, until the deadline.
  void endlessRepetitionIsAFault()
  {
    for (const char* again : { "id: 2\ndata: b\n\n", "id: 1\ndata: a\n\n" }) {
      EventSplitter events;
      events.add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      events.next();
      events.next();
      for (int count = 0; count < 1000; ++count) {
        events.add(again);
        CPPUNIT_ASSERT(events.next().empty());
      }
      CPPUNIT_ASSERT_EQUAL(std::string("stream repeats its events"),
                           events.fault());
      // Nothing shows that there are further events.
      CPPUNIT_ASSERT(!events.goesOn());
    }
  }

  void longResumedRunIsNoFault()
  {
    constexpr int kEvents = 1000;
    const auto event = [](int aId) {
      return "id: " + std::to_string(aId) + "\ndata: x\n\n";
    };
    EventSplitter first;
    for (int id = 1; id <= kEvents; ++id) {
      first.add(event(id));
      CPPUNIT_ASSERT(!first.next().empty());
    }
    EventSplitter resumed(first.position());
    for (int id = 1; id <= kEvents; ++id) {
      resumed.add(event(id));
      CPPUNIT_ASSERT(resumed.next().empty());
    }
    resumed.add(event(kEvents + 1));
    CPPUNIT_ASSERT(resumed.next() == event(kEvents + 1));
    CPPUNIT_ASSERT_EQUAL(std::string(), resumed.fault());
  }

  void resumedStreamHasNoPartOfATornEvent()
  {
    EventSplitter torn;
    torn.add("id: 1\ndata: a\n\nid: 2\ndata: torn");
    torn.next();
    EventSplitter resumed(torn.position());
    CPPUNIT_ASSERT(!resumed.hasPartialEvent());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), resumed.position().lastId_);
    resumed.add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CPPUNIT_ASSERT(resumed.next() == "id: 2\ndata: b\n\n");
  }

  void eventsDoNotDependOnInputChunks()
  {
    const bool same = rc::check("events do not depend on cuts", [] {
      std::string stream;
      for (int id = 1; id <= 5; ++id) {
        stream += "id: " + std::to_string(id) + "\ndata: x\n\n";
      }
      EventSplitter events;
      std::string out;
      for (std::size_t at = 0; at < stream.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 9);
        events.add(std::string_view(stream).substr(at, size));
        at += size;
        for (auto event = events.next(); !event.empty();
             event = events.next()) {
          out += event;
        }
      }
      RC_ASSERT(out == stream);
    });
    CPPUNIT_ASSERT(same);
  }

  void textThatIsNoEventIsAFault()
  {
    for (const char* text : { "Server Error\n\n",
                              "{\"error\": 1}\n\n",
                              "<p>Oops</p>\n\n",
                              "HTTP/1.1 500 Oops\r\nServer: x\r\n\r\n",
                              "id: 2\nHTTP/1.1 500 Oops\n\n",
                              "id: 2\ndata: bHTTP/1.1 500 Oops\r\n\r\n" }) {
      EventSplitter events;
      events.add("id: 1\ndata: a\n\n" + std::string(text) +
                 "id: 3\ndata: c\n\n");
      CPPUNIT_ASSERT(events.next() == "id: 1\ndata: a\n\n");
      CPPUNIT_ASSERT(events.fault().empty());
      CPPUNIT_ASSERT(events.next().empty());
      CPPUNIT_ASSERT_MESSAGE(text, !events.fault().empty());
      CPPUNIT_ASSERT(events.next().empty());
      CPPUNIT_ASSERT(events.goesOn());
    }
  }

  void eventsOfAnyFormAreReturned()
  {
    for (const std::string event : { ": comment\n\n",
                                     "\n\n",
                                     "data: HTTP/1.1 500 Oops\n\n",
                                     "data\n\n",
                                     "event: end\r\ndata: x\r\n\r\n",
                                     "x-version: 7\nid: 2\ndata: {}\n\n",
                                     "id: 2\nretry: 5\nany text\n\n" }) {
      EventSplitter events;
      events.add("id: 1\ndata: a\n\n" + event);
      events.next();
      CPPUNIT_ASSERT_EQUAL(event, std::string(events.next()));
      CPPUNIT_ASSERT(events.fault().empty());
    }
  }

  void jumpOfConsecutiveNumbersIsAFaultWhenResumed()
  {
    CPPUNIT_ASSERT_EQUAL(0, resumedAt({ 1, 2 }, 4));
    CPPUNIT_ASSERT_EQUAL(0, resumedAt({ 7, 8, 9 }, 11));
    CPPUNIT_ASSERT_EQUAL(0, resumedAt({ 0, 1, 2 }, 9));
    CPPUNIT_ASSERT_EQUAL(3, resumedAt({ 1, 2 }, 3));
    // Too little is known of the steps, or they differ.
    CPPUNIT_ASSERT_EQUAL(4, resumedAt({ 1 }, 4));
    CPPUNIT_ASSERT_EQUAL(11, resumedAt({ 7, 8 }, 11));
    CPPUNIT_ASSERT_EQUAL(11, resumedAt({ 1, 2, 3, 5, 6, 7 }, 11));
    CPPUNIT_ASSERT_EQUAL(7, resumedAt({ 2, 4 }, 7));
  }

  void partOfALaterEventShowsThatTheStreamGoesOn()
  {
    CPPUNIT_ASSERT(goesOnAfter("id: 3"));
    CPPUNIT_ASSERT(goesOnAfter("id: 3\nda"));
    CPPUNIT_ASSERT(goesOnAfter("id: 1"));
    CPPUNIT_ASSERT(goesOnAfter("da"));
    CPPUNIT_ASSERT(!goesOnAfter("id: 2\nda"));
    CPPUNIT_ASSERT(!goesOnAfter("\r\n"));
    CPPUNIT_ASSERT(!goesOnAfter(""));
  }

  void shorterRunEndsEarly()
  {
    EventSplitter run(positionAfter({ 1, 2, 3 }));
    CPPUNIT_ASSERT(!run.endsEarly());
    run.add("id: 1\n\nid: 2\n\n");
    CPPUNIT_ASSERT(run.next().empty());
    CPPUNIT_ASSERT(run.endsEarly());
    run.add("id: 3\n\n");
    CPPUNIT_ASSERT(run.next().empty());
    CPPUNIT_ASSERT(!run.endsEarly());
  }

  // Each run breaks off somewhere, and the next one starts anywhere at or
  // before the event that must follow, or after a gap.
  void resumedRunsMakeOneStream()
  {
    const bool one = rc::check("resumed runs make one stream", [] {
      const int last = *rc::gen::inRange(1, 9);
      transport::StreamPosition position;
      std::string out;
      for (int run = *rc::gen::inRange(1, 6); run > 0; --run) {
        const int from = *rc::gen::inRange(1, last + 2);
        const bool gap = std::uint64_t(from) > position.events_ + 1;
        const std::string sent = eventsFrom(from, last);
        EventSplitter events(position);
        events.add(
          sent.substr(0, *rc::gen::inRange<std::size_t>(0, sent.size() + 1)));
        const bool known = position.events_ >= 2;
        if (gap && !known) {
          continue;
        }
        for (auto event = events.next(); !event.empty();
             event = events.next()) {
          out += event;
        }
        position = events.position();
      }
      RC_ASSERT(out == eventsFrom(1, int(position.events_)));
    });
    CPPUNIT_ASSERT(one);
  }

private:
  /** @return Events with the numbers of a range. */
  static std::string eventsFrom(int aFirst, int aLast)
  {
    std::string all;
    for (int id = aFirst; id <= aLast; ++id) {
      all += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    return all;
  }

  /** @return What a caller has after events with some numbers. */
  static transport::StreamPosition positionAfter(
    const std::vector<int>& aNumbers)
  {
    EventSplitter events;
    for (const int number : aNumbers) {
      events.add(eventsFrom(number, number));
      events.next();
    }
    return events.position();
  }

  /** @return Number with which a resumed stream goes on; 0 if it is a fault. */
  static int resumedAt(const std::vector<int>& aNumbers, int aNext)
  {
    EventSplitter resumed(positionAfter(aNumbers));
    resumed.add(eventsFrom(aNext, aNext));
    resumed.next();
    return resumed.fault().empty() ? std::stoi(resumed.position().lastId_) : 0;
  }

  static bool goesOnAfter(const std::string& aRest)
  {
    EventSplitter events;
    events.add(eventsFrom(1, 2) + aRest);
    while (!events.next().empty()) {
    }
    return events.goesOn();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);
