// Runs the thread-safe parts of requests on several threads at once.

#include "coordination/request/admission.h"
#include "coordination/request/slo_tracker.h"
#include "coordination/request/target_chooser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <random>
#include <thread>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::TimePoint kNow{ 1h }; ///< Present time.
constexpr int kRounds = 500;           ///< Requests of each thread.
constexpr int kThreads = 4;            ///< Traffic threads.

/** @return A view of one group with a few copies. */
state::ServingViewPtr
makeView()
{
  auto configuration = std::make_shared<state::Configuration>();
  configuration->groups_[state::GroupId("g")].id_ = state::GroupId("g");
  auto view = std::make_shared<state::ServingView>();
  view->configuration_ = configuration;
  for (std::uint32_t index = 0; index < 5; ++index) {
    state::ServingCopy copy;
    copy.zone_ = state::ZoneId("z");
    copy.head_ = state::VmId(std::to_string(index));
    copy.open_ = true;
    copy.load_.slots_ = 1;
    copy.loadObservedAt_ = kNow;
    copy.evidenceUntil_ = kNow + 1h;
    view->copies_[state::GroupId("g")].push_back(copy);
  }
  return view;
}

/** @return A request of an account. */
RequestInfo
request(int aNumber)
{
  RequestInfo info;
  info.group_ = state::GroupId("g");
  info.account_ = state::AccountId(std::to_string(aNumber % 3));
  info.prefixHashes_ = { static_cast<std::uint64_t>(aNumber % 7 + 1) };
  info.deadline_ = kNow + 1h;
  return info;
}

} // namespace

class RequestThreadsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestThreadsTest);
  CPPUNIT_TEST(nothingIsLostBetweenThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  void nothingIsLostBetweenThreads()
  {
    admission_.setView(*view_, 1);
    chooser_.setView(view_);
    tracker_.configure(*view_->configuration_);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int index = 0; index < kThreads; ++index) {
      threads.emplace_back([this] { traffic(); });
    }
    for (int round = 0; round < 50; ++round) {
      chooser_.setView(view_);
      admission_.setView(*view_, 1);
      admission_.tick(kNow);
      tracker_.sloStatuses({});
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    drain();
    CPPUNIT_ASSERT_EQUAL(kThreads * kRounds, ended_.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         admission_.poolStats(request(0)).running_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         admission_.poolStats(request(0)).waiting_);
    for (int index = 0; index < 5; ++index) {
      CPPUNIT_ASSERT_EQUAL(
        0U, chooser_.outstanding(state::VmId(std::to_string(index))));
    }
  }

private:
  void traffic()
  {
    for (int round = 0; round < kRounds; ++round) {
      const AdmissionResult result = admission_.admit(
        request(round), kNow, {}, [this, round](const AdmissionResult& aEnd) {
          decided(aEnd, round);
        });
      if (result.status_ != AdmissionStatus::kQueued) {
        decided(result, round);
      }
    }
  }

  /** Keeps admitted requests, since handlers may not end them at once. */
  void decided(const AdmissionResult& aResult, int aRound)
  {
    if (aResult.status_ == AdmissionStatus::kAdmitted) {
      const auto choice = chooser_.choose(request(aRound), kNow);
      OutstandingWork work = chooser_.start(*choice, request(aRound));
      work.sample(20ms, kNow);
      work.finish(WorkEnd::kDone, kNow);
      admission_.recordFirstToken(aResult.ticket_, kNow);
      const std::lock_guard lock(mutex_);
      admitted_.push_back(aResult.ticket_);
    } else {
      tracker_.record({ state::GroupId("g"), {}, {}, {}, {}, {}, {} });
    }
    ++ended_;
  }

  /** Ends admitted requests until none is left. */
  void drain()
  {
    while (!admitted_.empty()) {
      const TicketId ticket = admitted_.back();
      admitted_.pop_back();
      admission_.finish(ticket, 1, kNow);
    }
  }

  std::mt19937_64 random_{ 3 };             ///< Random numbers.
  state::ServingViewPtr view_ = makeView(); ///< Snapshot.
  AccountLimiter limiter_;                  ///< No limits.
  Admission admission_{ limiter_ };         ///< Admission under test.
  TargetChooser chooser_{ state::ZoneId("z"),
                          [this] { return random_(); } }; ///< Under test.
  SloTracker tracker_;             ///< Tracker under test.
  std::mutex mutex_;               ///< Guards the tickets.
  std::vector<TicketId> admitted_; ///< Tickets to end.
  std::atomic<int> ended_ = 0;     ///< Decisions made.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestThreadsTest);
