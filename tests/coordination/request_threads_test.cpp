// Calls the thread-safe classes of request handling from several threads.

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

constexpr state::TimePoint kNow{ 1h };  ///< Current time.
constexpr int kRequestsPerThread = 500; ///< Requests per thread.
constexpr int kThreads = 4;             ///< Threads that send requests.

/** @return A view of one group with five targets. */
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

/** @return A request; the number selects its account and prefix. */
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
  CPPUNIT_TEST(concurrentRequestsAreAllAccountedFor);
  CPPUNIT_TEST_SUITE_END();

public:
  void concurrentRequestsAreAllAccountedFor()
  {
    admission_.setView(*view_, 1);
    chooser_.setView(view_);
    tracker_.configure(*view_->configuration_);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int index = 0; index < kThreads; ++index) {
      threads.emplace_back([this] { sendRequests(); });
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
    finishAll();
    CPPUNIT_ASSERT_EQUAL(kThreads * kRequestsPerThread, decisions_.load());
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
  void sendRequests()
  {
    for (int round = 0; round < kRequestsPerThread; ++round) {
      const AdmissionResult result =
        admission_.admit(request(round),
                         kNow,
                         {},
                         [this, round](const AdmissionResult& aDecision) {
                           handleDecision(aDecision, round);
                         });
      if (result.status_ != AdmissionStatus::kQueued) {
        handleDecision(result, round);
      }
    }
  }

  /** Stores admitted tickets, since handlers may not finish requests. */
  void handleDecision(const AdmissionResult& aResult, int aRound)
  {
    if (aResult.status_ == AdmissionStatus::kAdmitted) {
      const auto choice = chooser_.choose(request(aRound), kNow);
      OutstandingWork work = chooser_.start(*choice, request(aRound));
      work.sample(20ms, kNow);
      work.finish(WorkResult::kDone, kNow);
      admission_.recordFirstToken(aResult.ticket_, kNow);
      const std::lock_guard lock(mutex_);
      admitted_.push_back(aResult.ticket_);
    } else {
      tracker_.record({ state::GroupId("g"), {}, {}, {}, {}, {}, {} });
    }
    ++decisions_;
  }

  /** Finishes admitted requests, which admits queued ones, until none is left.
   */
  void finishAll()
  {
    while (!admitted_.empty()) {
      const TicketId ticket = admitted_.back();
      admitted_.pop_back();
      admission_.finish(ticket, 1, kNow);
    }
  }

  std::mt19937_64 random_{ 3 };             ///< Random source of the chooser.
  state::ServingViewPtr view_ = makeView(); ///< View of all components.
  AccountLimiter limiter_;                  ///< Limiter without limits.
  Admission admission_{ limiter_ };         ///< Admission under test.
  TargetChooser chooser_{ state::ZoneId("z"),
                          [this] { return random_(); } }; ///< Under test.
  SloTracker tracker_;             ///< Tracker under test.
  std::mutex mutex_;               ///< Guards admitted_.
  std::vector<TicketId> admitted_; ///< Tickets to finish.
  std::atomic<int> decisions_ = 0; ///< Number of final decisions.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestThreadsTest);
