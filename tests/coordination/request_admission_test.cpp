// Tests of admission, limits over several daemons, overload and the promise.

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

constexpr state::TimePoint kNow{ 1h };        ///< Present time.
constexpr state::WallTime kMonday{ 4 * 24h }; ///< 1970-01-05 00:00 UTC.

/** Table that all daemons of a test share without delay. */
class OneTable : public SharedTable
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

/** @return A view of one group with two kinds and accounts of two weights. */
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
  CPPUNIT_TEST(priorityFollowsSchedule);
  CPPUNIT_TEST(greaterKindGoesFirst);
  CPPUNIT_TEST(sharesFollowWeights);
  CPPUNIT_TEST(waiterThatGivesUpHearsAtOnce);
  CPPUNIT_TEST(lesserKindYieldsInFullQueue);
  CPPUNIT_TEST(waiterThatLeavesIsForgotten);
  CPPUNIT_TEST(stopRefusesAll);
  CPPUNIT_TEST(accountLimitHolds);
  CPPUNIT_TEST(limitHoldsOverDaemons);
  CPPUNIT_TEST(goodputHoldsInOverload);
  CPPUNIT_TEST(worstMinuteAndCause);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    limiter_ = std::make_unique<AccountLimiter>();
    AdmissionSettings settings;
    settings.maxQueueLength_ = 8;
    admission_ = std::make_unique<Admission>(*limiter_, settings);
    admission_->setView(makeView(2), 1);
    order_.clear();
    refused_.clear();
  }

  void priorityFollowsSchedule()
  {
    const state::WorkKind drafts =
      makeView(1).configuration_->groups_.at(state::GroupId("g")).kinds_[1];
    CPPUNIT_ASSERT_EQUAL(1, priorityAt(drafts, kMonday + 4h + 59min));
    CPPUNIT_ASSERT_EQUAL(9, priorityAt(drafts, kMonday + 5h));
    CPPUNIT_ASSERT_EQUAL(9, priorityAt(drafts, kMonday + 10h + 59min));
    CPPUNIT_ASSERT_EQUAL(1, priorityAt(drafts, kMonday + 11h));
    CPPUNIT_ASSERT_EQUAL(1, priorityAt(drafts, kMonday - 24h + 8h));
  }

  void greaterKindGoesFirst()
  {
    const auto running = fill();
    queue("large", "summaries", kMonday + 8h);
    queue("small", "drafts", kMonday + 8h);
    admission_->finish(running[0], 1, kNow);
    CPPUNIT_ASSERT(order_ == std::vector<std::string>{ "drafts small" });
  }

  void sharesFollowWeights()
  {
    auto running = fill();
    for (int count = 0; count < 4; ++count) {
      queue("small");
      queue("large");
    }
    for (int count = 0; count < 4; ++count) {
      admission_->finish(running[0], 1, kNow);
      running[0] = released_;
    }
    CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t(3),
      std::count(order_.begin(), order_.end(), "summaries large"));
  }

  void waiterThatGivesUpHearsAtOnce()
  {
    fill();
    queue("small");
    admission_->tick(kNow + 700ms);
    CPPUNIT_ASSERT(refused_.empty());
    admission_->tick(kNow + 721ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused_.size());
    CPPUNIT_ASSERT(refused_[0].reason_ == RefusalReason::kWaitedTooLong);
    CPPUNIT_ASSERT(refused_[0].retryAfter_ >= 1s);
  }

  void lesserKindYieldsInFullQueue()
  {
    fill();
    for (int count = 0; count < 8; ++count) {
      queue("large", "drafts");
    }
    queue("large", "summaries");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused_.size());
    CPPUNIT_ASSERT(refused_[0].reason_ == RefusalReason::kQueueFull);
    const AdmissionResult result =
      admission_->admit(request("large", "drafts"), kNow, {}, {});
    CPPUNIT_ASSERT(result.reason_ == RefusalReason::kQueueFull);
  }

  void waiterThatLeavesIsForgotten()
  {
    const auto running = fill();
    const TicketId waiting = queue("small");
    admission_->finish(waiting, 0, kNow);
    admission_->finish(running[0], 1, kNow);
    CPPUNIT_ASSERT(order_.empty() && refused_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         admission_->poolStats(request("small")).running_);
  }

  void stopRefusesAll()
  {
    fill();
    queue("small");
    admission_->stop(kNow);
    CPPUNIT_ASSERT(refused_.at(0).reason_ == RefusalReason::kStopping);
    CPPUNIT_ASSERT(admission_->admit(request("small"), kNow, {}, {}).reason_ ==
                   RefusalReason::kStopping);
  }

  void accountLimitHolds()
  {
    limiter_->configure(limitedConfiguration());
    int allowed = 0;
    for (int step = 0; step < 1000; ++step) {
      const auto now = kNow + std::chrono::milliseconds(10 * step);
      allowed += limiter_->tryRequest(limited(), now).allowed_ ? 1 : 0;
    }
    CPPUNIT_ASSERT(allowed >= 1000 * 0.6 && allowed <= 700);
    limiter_->charge(limited(), 2500, kNow + 10s);
    const RateLimitDecision verdict =
      limiter_->tryRequest(limited(), kNow + 10s);
    CPPUNIT_ASSERT(!verdict.allowed_ && verdict.retryAfter_ >= 1400ms);
  }

  void limitHoldsOverDaemons()
  {
    fakes::FakeClock clock;
    OneTable table;
    std::vector<std::unique_ptr<AccountLimiter>> limiters;
    std::vector<std::unique_ptr<LimitDistributor>> sharers;
    for (int daemon = 0; daemon < 4; ++daemon) {
      limiters.push_back(std::make_unique<AccountLimiter>());
      limiters.back()->configure(limitedConfiguration());
      sharers.push_back(std::make_unique<LimitDistributor>(
        table,
        *limiters.back(),
        clock,
        state::DaemonId("d" + std::to_string(daemon)),
        state::Incarnation(1)));
    }
    // Demand of 70, 20, 10 and 0 in 10 ms steps: 100 a second against 60.
    int allowed = 0;
    for (int step = 0; step < 6000; ++step) {
      clock.advance(10ms);
      const std::size_t daemon = step % 10 < 7 ? 0 : step % 10 < 9 ? 1 : 2;
      const bool granted =
        limiters[daemon]->tryRequest(limited(), clock.now()).allowed_;
      allowed += granted && step >= 1000 ? 1 : 0;
      for (const auto& sharer : sharers) {
        sharer->tick();
      }
    }
    const double allowedPerSecond = allowed / 50.0;
    CPPUNIT_ASSERT(allowedPerSecond <= 60 * 1.05);
    CPPUNIT_ASSERT(allowedPerSecond >= 60 * 0.85);
  }

  void goodputHoldsInOverload()
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

  void worstMinuteAndCause()
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
  static state::AccountId limited() { return state::AccountId("limited"); }

  static state::Configuration limitedConfiguration()
  {
    state::Configuration configuration;
    state::ClientAccount& account = configuration.accounts_[limited()];
    account.requestsPerSecond_ = 60;
    account.tokensPerSecond_ = 1000;
    return configuration;
  }

  /** Takes both places of the pool. */
  std::vector<TicketId> fill()
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

  /** Lets a request wait. */
  TicketId queue(const std::string& aAccount,
                 const std::string& aKind = "summaries",
                 state::WallTime aWallNow = kMonday)
  {
    const std::string name = aKind + " " + aAccount;
    const AdmissionResult result =
      admission_->admit(request(aAccount, aKind),
                        kNow,
                        aWallNow,
                        [this, name](const AdmissionResult& aEnd) {
                          if (aEnd.status_ == AdmissionStatus::kAdmitted) {
                            order_.push_back(name);
                            released_ = aEnd.ticket_;
                          } else {
                            refused_.push_back(aEnd);
                          }
                        });
    CPPUNIT_ASSERT(result.status_ == AdmissionStatus::kQueued);
    return result.ticket_;
  }

  std::unique_ptr<AccountLimiter> limiter_; ///< Limits.
  std::unique_ptr<Admission> admission_;    ///< Admission under test.
  std::vector<std::string> order_;          ///< Released requests.
  std::vector<AdmissionResult> refused_;    ///< Refused waiting requests.
  TicketId released_;                       ///< Ticket released last.
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAdmissionTest);
