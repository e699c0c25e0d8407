// Tests of admission control, distributed rate limits, overload and SLO
// tracking.

#include "coordination/request/admission.h"
#include "coordination/request/limit_distributor.h"
#include "coordination/request/slo_tracker.h"
#include "fakes/engine_model.h"
#include "fakes/fake_clock.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace auburnhaven;
using namespace auburnhaven::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::TimePoint kNow{ 1h };        ///< Current time.
constexpr state::WallTime kMonday{ 4 * 24h }; ///< 1970-01-05 00:00 UTC.

/** Shared table that replicates to all daemons without delay. */
class InstantSharedTable : public SharedTable
{
public:
  bool publish(const SharedEntry& aEntry) override
  {
    entries_[aEntry.key_] = aEntry;
    return true;
  }
  std::optional<SharedEntry> find(const EntryKey& aKey) const override
  {
    const auto found = entries_.find(aKey);
    return found == entries_.end() ? std::nullopt
                                   : std::optional(found->second);
  }
  std::vector<SharedEntry> list(EntryKind /*aKind*/) const override
  {
    std::vector<SharedEntry> all;
    for (const auto& [key, entry] : entries_) {
      all.push_back(entry);
    }
    return all;
  }
  void subscribe(EntryKind /*aKind*/, EntryHandler /*aHandler*/) override {}

private:
  std::map<EntryKey, SharedEntry> entries_; ///< All entries.
};

/**
 * @return A view with one group, two kinds of work and two accounts of
 * different weights.
 */
state::ServingView
makeView(std::uint32_t aSlots)
{
  auto configuration = std::make_shared<state::Configuration>();
  state::ServingGroup group;
  group.id_ = state::GroupId("g");
  state::WorkKind summaries{ state::WorkKindId("summaries"), 5, {} };
  state::WorkKind drafts{ state::WorkKindId("drafts"),
                          1,
                          { { 0x1f, 6 * 60, 12 * 60, 60, 9 } } };
  group.kinds_ = { summaries, drafts };
  configuration->groups_[group.id_] = group;
  configuration->accounts_[state::AccountId("large")].weight_ = 3;
  configuration->accounts_[state::AccountId("small")].weight_ = 1;
  state::ServingView view;
  view.configuration_ = configuration;
  state::ServingCopy copy;
  copy.open_ = true;
  copy.load_.slots_ = aSlots;
  view.copies_[group.id_] = { copy };
  return view;
}

/** @return A request of an account. */
RequestInfo
request(const std::string& aAccount, const std::string& aKind = "summaries")
{
  RequestInfo info;
  info.group_ = state::GroupId("g");
  info.account_ = state::AccountId(aAccount);
  info.kind_ = state::WorkKindId(aKind);
  info.deadline_ = kNow + 10s;
  return info;
}

} // namespace

class RequestAdmissionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestAdmissionTest);
  CPPUNIT_TEST(priorityFollowsTimeWindows);
  CPPUNIT_TEST(higherPriorityIsAdmittedFirst);
  CPPUNIT_TEST(accountsShareByWeight);
  CPPUNIT_TEST(queuedRequestIsRefusedAfterMaxWait);
  CPPUNIT_TEST(fullQueueEvictsLowerPriority);
  CPPUNIT_TEST(finishRemovesQueuedRequest);
  CPPUNIT_TEST(stopRefusesAllRequests);
  CPPUNIT_TEST(accountLimitIsEnforced);
  CPPUNIT_TEST(limitHoldsAcrossDaemons);
  CPPUNIT_TEST(goodputHoldsUnderOverload);
  CPPUNIT_TEST(sloTrackerReportsWorstMinuteAndCause);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    limiter_ = std::make_unique<AccountLimiter>();
    AdmissionSettings settings;
    settings.maxQueueLength_ = 8;
    admission_ = std::make_unique<Admission>(*limiter_, settings);
    admission_->setView(makeView(2), 1);
    admitted_.clear();
    refused_.clear();
  }

  void priorityFollowsTimeWindows()
  {
    const state::WorkKind drafts =
      makeView(1).configuration_->groups_.at(state::GroupId("g")).kinds_[1];
    CPPUNIT_ASSERT_EQUAL(1, priorityAt(drafts, kMonday + 4h + 59min));
    CPPUNIT_ASSERT_EQUAL(9, priorityAt(drafts, kMonday + 5h));
    CPPUNIT_ASSERT_EQUAL(9, priorityAt(drafts, kMonday + 10h + 59min));
    CPPUNIT_ASSERT_EQUAL(1, priorityAt(drafts, kMonday + 11h));
    CPPUNIT_ASSERT_EQUAL(1, priorityAt(drafts, kMonday - 24h + 8h));
  }

  void higherPriorityIsAdmittedFirst()
  {
    const auto running = fillPool();
    enqueue("large", "summaries", kMonday + 8h);
    enqueue("small", "drafts", kMonday + 8h);
    admission_->finish(running[0], 1, kNow);
    CPPUNIT_ASSERT(admitted_ == std::vector<std::string>{ "drafts small" });
  }

  void accountsShareByWeight()
  {
    auto running = fillPool();
    for (int count = 0; count < 4; ++count) {
      enqueue("small");
      enqueue("large");
    }
    for (int count = 0; count < 4; ++count) {
      admission_->finish(running[0], 1, kNow);
      running[0] = lastAdmitted_;
    }
    CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t(3),
      std::count(admitted_.begin(), admitted_.end(), "summaries large"));
  }

  void queuedRequestIsRefusedAfterMaxWait()
  {
    fillPool();
    enqueue("small");
    admission_->tick(kNow + 700ms);
    CPPUNIT_ASSERT(refused_.empty());
    admission_->tick(kNow + 721ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused_.size());
    CPPUNIT_ASSERT(refused_[0].reason_ == RefusalReason::kWaitedTooLong);
    CPPUNIT_ASSERT(refused_[0].retryAfter_ >= 1s);
  }

  void fullQueueEvictsLowerPriority()
  {
    fillPool();
    for (int count = 0; count < 8; ++count) {
      enqueue("large", "drafts");
    }
    enqueue("large", "summaries");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused_.size());
    CPPUNIT_ASSERT(refused_[0].reason_ == RefusalReason::kQueueFull);
    const AdmissionResult result =
      admission_->admit(request("large", "drafts"), kNow, {}, {});
    CPPUNIT_ASSERT(result.reason_ == RefusalReason::kQueueFull);
  }

  void finishRemovesQueuedRequest()
  {
    const auto running = fillPool();
    const TicketId waiting = enqueue("small");
    admission_->finish(waiting, 0, kNow);
    admission_->finish(running[0], 1, kNow);
    CPPUNIT_ASSERT(admitted_.empty() && refused_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         admission_->poolStats(request("small")).running_);
  }

  void stopRefusesAllRequests()
  {
    fillPool();
    enqueue("small");
    admission_->stop(kNow);
    CPPUNIT_ASSERT(refused_.at(0).reason_ == RefusalReason::kStopping);
    CPPUNIT_ASSERT(admission_->admit(request("small"), kNow, {}, {}).reason_ ==
                   RefusalReason::kStopping);
  }

  void accountLimitIsEnforced()
  {
    limiter_->configure(limitedConfiguration());
    int allowed = 0;
    for (int step = 0; step < 1000; ++step) {
      const auto now = kNow + std::chrono::milliseconds(10 * step);
      allowed += limiter_->tryRequest(limitedAccount(), now).allowed_ ? 1 : 0;
    }
    CPPUNIT_ASSERT(allowed >= 1000 * 0.6 && allowed <= 700);
    limiter_->charge(limitedAccount(), 2500, kNow + 10s);
    const RateLimitDecision decision =
      limiter_->tryRequest(limitedAccount(), kNow + 10s);
    CPPUNIT_ASSERT(!decision.allowed_ && decision.retryAfter_ >= 1400ms);
  }

  void limitHoldsAcrossDaemons()
  {
    fakes::FakeClock clock;
    InstantSharedTable table;
    std::vector<std::unique_ptr<AccountLimiter>> limiters;
    std::vector<std::unique_ptr<LimitDistributor>> distributors;
    for (int daemon = 0; daemon < 4; ++daemon) {
      limiters.push_back(std::make_unique<AccountLimiter>());
      limiters.back()->configure(limitedConfiguration());
      distributors.push_back(std::make_unique<LimitDistributor>(
        table,
        *limiters.back(),
        clock,
        state::DaemonId("d" + std::to_string(daemon)),
        state::Incarnation(1)));
    }
    // One request per 10 ms step, 70, 20, 10 and 0 percent by daemon: a demand
    // of 100 per second against a limit of 60.
    int allowed = 0;
    for (int step = 0; step < 6000; ++step) {
      clock.advance(10ms);
      const std::size_t daemon = step % 10 < 7 ? 0 : step % 10 < 9 ? 1 : 2;
      const bool granted =
        limiters[daemon]->tryRequest(limitedAccount(), clock.now()).allowed_;
      allowed += granted && step >= 1000 ? 1 : 0;
      for (const auto& distributor : distributors) {
        distributor->tick();
      }
    }
    const double allowedPerSecond = allowed / 50.0;
    CPPUNIT_ASSERT(allowedPerSecond <= 60 * 1.05);
    CPPUNIT_ASSERT(allowedPerSecond >= 60 * 0.85);
  }

  void goodputHoldsUnderOverload()
  {
    fakes::ModelSettings settings;
    settings.length_ = 90s;
    settings.warmUp_ = 30s;
    settings.load_ = 1;
    const double full = fakes::EngineModel(settings).run().goodput();
    for (const double load : { 2.0, 10.0 }) {
      settings.load_ = load;
      settings.admission_ = true;
      const fakes::ModelReport report = fakes::EngineModel(settings).run();
      CPPUNIT_ASSERT(report.goodput() >= 0.95 * full);
      settings.admission_ = false;
      CPPUNIT_ASSERT(fakes::EngineModel(settings).run().goodput() < 0.5 * full);
    }
  }

  void sloTrackerReportsWorstMinuteAndCause()
  {
    SloTracker tracker;
    tracker.configure(*makeView(1).configuration_);
    const state::WallTime start = kMonday;
    SloSample sample;
    sample.group_ = state::GroupId("g");
    sample.account_ = state::AccountId("small");
    sample.outcome_.kind_ = OutcomeKind::kAnswered;
    for (int minute = 0; minute < 3; ++minute) {
      for (int count = 0; count < 10; ++count) {
        sample.arrivedAt_ = start + std::chrono::minutes(minute);
        sample.firstToken_ =
          std::chrono::seconds(minute == 1 && count < 4 ? 2 : 1);
        tracker.record(sample);
      }
    }
    sample.outcome_.kind_ = OutcomeKind::kNotRun;
    sample.outcome_.reason_ = RefusalReason::kAccountLimit;
    tracker.record(sample);
    const auto sloStatuses = tracker.sloStatuses(start + 5min);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sloStatuses.size());
    CPPUNIT_ASSERT(sloStatuses[0].worst_.at_ == start + 1min);
    CPPUNIT_ASSERT_EQUAL(600U, sloStatuses[0].worst_.sharePermille());
    CPPUNIT_ASSERT_EQUAL(std::string("slow-first-token"),
                         sloStatuses[0].worst_.mainCause());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), sloStatuses[0].violatedMinutes_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), sloStatuses[0].latest_.total_);
  }

private:
  static state::AccountId limitedAccount()
  {
    return state::AccountId("limited");
  }

  static state::Configuration limitedConfiguration()
  {
    state::Configuration configuration;
    state::ClientAccount& account = configuration.accounts_[limitedAccount()];
    account.requestsPerSecond_ = 60;
    account.tokensPerSecond_ = 1000;
    return configuration;
  }

  /** Admits requests until both slots of the pool are in use. */
  std::vector<TicketId> fillPool()
  {
    std::vector<TicketId> tickets;
    for (int count = 0; count < 2; ++count) {
      const AdmissionResult result =
        admission_->admit(request("other"), kNow, {}, {});
      CPPUNIT_ASSERT(result.status_ == AdmissionStatus::kAdmitted);
      tickets.push_back(result.ticket_);
    }
    return tickets;
  }

  /** Sends a request that is queued, and records its later decision. */
  TicketId enqueue(const std::string& aAccount,
                   const std::string& aKind = "summaries",
                   state::WallTime aWallNow = kMonday)
  {
    const std::string label = aKind + " " + aAccount;
    const AdmissionResult result =
      admission_->admit(request(aAccount, aKind),
                        kNow,
                        aWallNow,
                        [this, label](const AdmissionResult& aDecision) {
                          if (aDecision.status_ == AdmissionStatus::kAdmitted) {
                            admitted_.push_back(label);
                            lastAdmitted_ = aDecision.ticket_;
                          } else {
                            refused_.push_back(aDecision);
                          }
                        });
    CPPUNIT_ASSERT(result.status_ == AdmissionStatus::kQueued);
    return result.ticket_;
  }

  std::unique_ptr<AccountLimiter> limiter_; ///< Rate limits.
  std::unique_ptr<Admission> admission_;    ///< Admission under test.
  std::vector<std::string> admitted_;    ///< Requests admitted from the queue.
  std::vector<AdmissionResult> refused_; ///< Refusals of queued requests.
  TicketId lastAdmitted_; ///< Last ticket admitted from the queue.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAdmissionTest);
