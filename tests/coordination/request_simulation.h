// Random schedules of callers, daemons, a store and a plain service, with the
// invariants of requests checked at every event.
#pragma once

#include "coordination/request/claim_service.h"
#include "coordination/request/request_machine.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_store.h"
#include "state/digest_func.h"

#include <iomanip>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** What a random run has done and found. */
struct SimulationReport
{
  std::uint64_t steps_ = 0;         ///< Events handled.
  std::uint64_t operations_ = 0;    ///< Operations that callers wanted.
  std::uint64_t requests_ = 0;      ///< Requests of callers.
  std::uint64_t runs_ = 0;          ///< Runs at the target.
  std::uint64_t answered_ = 0;      ///< Outcomes by kind.
  std::uint64_t notRun_ = 0;        ///< Outcomes by kind.
  std::uint64_t unknown_ = 0;       ///< Outcomes by kind.
  std::uint64_t replayed_ = 0;      ///< Answers from a stored claim.
  std::uint64_t crashes_ = 0;       ///< Daemons replaced.
  std::uint64_t lostRequests_ = 0;  ///< Requests lost with their daemon.
  std::uint64_t duplicateRuns_ = 0; ///< Non-idempotent operations run again.
  std::uint64_t falseNotRun_ = 0;   ///< Requests run though called not run.
  std::uint64_t duplicateOutcomes_ = 0; ///< Requests with two outcomes.
  std::uint64_t wrongAnswers_ = 0;      ///< Answers that were not whole or own.
  std::uint64_t missingOutcomes_ = 0;   ///< Requests that never ended.

  /** @return Number of broken invariants. */
  std::uint64_t faults() const
  {
    return duplicateRuns_ + falseNotRun_ + duplicateOutcomes_ + wrongAnswers_ +
           missingOutcomes_;
  }
};

/** Store whose writes with a lost answer may take effect much later. */
class DelayedWriteStore : public FakeStore
{
public:
  DelayedWriteStore(FakeClock& aClock,
                    const std::shared_ptr<FakeStoreData>& aData,
                    std::mt19937_64& aRandom)
    : FakeStore(aClock, aData)
    , lateClock_(aClock)
    , later_(aClock, aData)
    , random_(aRandom)
  {
  }

  void compareAndSwap(const std::string& aKey,
                      state::Revision aExpected,
                      std::string aValue,
                      coordination::StorePriority aPriority,
                      ReplyHandler aHandler) override
  {
    if (!faults().down_ && random_() % 100 < latePercent_) {
      const auto delay = std::chrono::milliseconds(random_() % 4000);
      late_.push_back({ lateClock_.now() + delay, aKey, aExpected, aValue });
      faults().failWrites_ = 1;
    }
    FakeStore::compareAndSwap(
      aKey, aExpected, std::move(aValue), aPriority, std::move(aHandler));
  }

  /** Lets late writes take effect whose time has come. */
  void stepLate()
  {
    std::erase_if(late_, [this](const LateWrite& aWrite) {
      if (aWrite.at_ > lateClock_.now()) {
        return false;
      }
      later_.compareAndSwap(aWrite.key_,
                            aWrite.expected_,
                            aWrite.value_,
                            coordination::StorePriority::kClaim,
                            [](const coordination::StoreReply&) {});
      return true;
    });
    later_.dropPending();
  }

  std::uint32_t latePercent_ = 0; ///< Writes in 100 that are late.

private:
  /** A write under way. */
  struct LateWrite
  {
    state::TimePoint at_;      ///< When it takes effect.
    std::string key_;          ///< Key.
    state::Revision expected_; ///< Expected revision.
    std::string value_;        ///< Value.
  };

  FakeClock& lateClock_;        ///< Clock of the world.
  FakeStore later_;             ///< Applies late writes.
  std::mt19937_64& random_;     ///< Random numbers of the world.
  std::vector<LateWrite> late_; ///< Writes under way.
};

/** Clock of one daemon whose wall time is off. */
class SkewedClock : public state::Clock
{
public:
  SkewedClock(const FakeClock& aClock, std::chrono::milliseconds aSkew)
    : clock_(aClock)
    , skew_(aSkew)
  {
  }
  state::TimePoint now() const override { return clock_.now(); }
  state::WallTime wallNow() const override { return clock_.wallNow() + skew_; }

private:
  const FakeClock& clock_;         ///< Clock of the world.
  std::chrono::milliseconds skew_; ///< How far the wall time is off.
};

/** The world: callers, daemons, the store and one target, on one thread. */
class RequestSimulation
{
public:
  /** @param aSeed Seed of the whole schedule. */
  explicit RequestSimulation(std::uint64_t aSeed)
    : random_(aSeed)
    , data_(std::make_shared<FakeStoreData>())
  {
    daemons_.resize(kDaemons);
    for (std::size_t index = 0; index < kDaemons; ++index) {
      start(index);
    }
  }

  /**
   * Runs a schedule, then lets everything under way end.
   * @param aSteps Events to handle.
   * @return What was found.
   */
  SimulationReport run(std::uint64_t aSteps)
  {
    while (report_.steps_ < aSteps) {
      disturb();
      if (chance(6)) {
        newOperation();
      }
      step(random_() % 200);
    }
    heal();
    for (int round = 0; round < 3000; ++round) {
      step(100);
    }
    for (const auto& attempt : open_) {
      report_.missingOutcomes_ += attempt->outcomes_ == 0 ? 1 : 0;
    }
    return report_;
  }

private:
  static constexpr std::size_t kDaemons = 3;    ///< Daemons.
  static constexpr std::uint32_t kMaxTries = 6; ///< Tries of an operation.

  /** An operation that a caller wants done. */
  struct Operation
  {
    std::uint64_t id_ = 0;       ///< Number.
    std::string key_;            ///< Idempotency key, or empty.
    bool idempotent_ = false;    ///< Whether it may be repeated.
    std::uint64_t tokens_ = 0;   ///< Length of a streamed answer.
    std::uint32_t requests_ = 0; ///< Requests made.
    std::uint32_t runs_ = 0;     ///< Runs at the target.
    bool answered_ = false;      ///< Whether an answer arrived.
  };
  using OperationPtr = std::shared_ptr<Operation>;

  /** One request of a caller. */
  struct Try
  {
    OperationPtr operation_;  ///< What it is for.
    std::size_t daemon_ = 0;  ///< Where it went.
    std::uint64_t epoch_ = 0; ///< Start of that daemon.
    std::unique_ptr<coordination::RequestMachine> machine_; ///< Life cycle.
    coordination::ClaimToken token_;                        ///< Its claim.
    std::uint32_t runs_ = 0;            ///< Runs at the target.
    std::uint32_t outcomes_ = 0;        ///< Outcomes given.
    bool saidNotRun_ = false;           ///< Whether it was called not run.
    std::vector<std::uint64_t> tokens_; ///< Tokens that the caller got.
    bool callerGone_ = false;           ///< Whether the caller left.
  };
  using TryPtr = std::shared_ptr<Try>;

  /** Way from one daemon to the claim services of the others. */
  class Peers : public coordination::ClaimPeers
  {
  public:
    Peers(RequestSimulation& aWorld, std::size_t aFrom)
      : world_(aWorld)
      , from_(aFrom)
    {
    }
    void forward(const state::DaemonId& aTo,
                 const coordination::ClaimOperation& aOperation,
                 coordination::ClaimHandler aHandler) override
    {
      world_.forward(from_, aTo, aOperation, std::move(aHandler));
    }

  private:
    RequestSimulation& world_; ///< The world.
    std::size_t from_;         ///< Daemon that sends.
  };

  /** A daemon. */
  struct Daemon
  {
    std::uint64_t epoch_ = 0;                  ///< Starts.
    state::TimePoint pausedUntil_{};           ///< Does nothing before.
    std::unique_ptr<SkewedClock> clock_;       ///< Clock.
    std::unique_ptr<DelayedWriteStore> store_; ///< Connection to the store.
    std::unique_ptr<Peers> peers_;             ///< Way to the other daemons.
    std::unique_ptr<coordination::ClaimService> claims_; ///< Claims.
    std::unique_ptr<coordination::RetryBudget> budget_;  ///< Retries.
  };

  /** An event on its way; dropped when its daemon was replaced. */
  struct Event
  {
    std::size_t daemon_ = 0;       ///< Daemon that handles it.
    std::uint64_t epoch_ = 0;      ///< Start of the daemon; 0 for the target.
    std::function<void()> handle_; ///< What happens.
  };

  bool chance(unsigned aPercent) { return random_() % 100 < aPercent; }

  state::Duration delay(unsigned aMilliseconds)
  {
    return std::chrono::milliseconds(random_() % aMilliseconds);
  }

  void start(std::size_t aIndex)
  {
    Daemon& daemon = daemons_[aIndex];
    ++daemon.epoch_;
    daemon.pausedUntil_ = {};
    daemon.claims_.reset();
    const std::chrono::milliseconds skew(
      static_cast<std::int64_t>(random_() % 240000) - 120000);
    daemon.clock_ = std::make_unique<SkewedClock>(clock_, skew);
    if (daemon.store_) {
      daemon.store_->dropPending();
      daemon.store_->faults() = {};
    } else {
      daemon.store_ =
        std::make_unique<DelayedWriteStore>(clock_, data_, random_);
    }
    coordination::ClaimSettings settings;
    settings.slots_ = 2;
    settings.epochCount_ = 13;
    settings.maxRetention_ = std::chrono::hours(1);
    settings.retention_ = std::chrono::hours(1);
    settings.maxSlotBytes_ = 32768;
    settings.maxAnswerBytes_ = 512;
    daemon.peers_ = std::make_unique<Peers>(*this, aIndex);
    daemon.claims_ = std::make_unique<coordination::ClaimService>(
      *daemon.store_,
      *daemon.clock_,
      state::DaemonId("d" + std::to_string(aIndex)),
      state::Incarnation(daemon.epoch_),
      settings,
      daemon.peers_.get());
    // Daemons disagree on who is alive.
    std::vector<state::DaemonId> known;
    for (std::size_t index = 0; index < kDaemons; ++index) {
      if (!chance(20)) {
        known.emplace_back("d" + std::to_string(index));
      }
    }
    daemon.claims_->setDaemons(known);
    daemon.budget_ = std::make_unique<coordination::RetryBudget>();
  }

  /** Carries an operation to another daemon and the result back, or not. */
  void forward(std::size_t aFrom,
               const state::DaemonId& aTo,
               const coordination::ClaimOperation& aOperation,
               coordination::ClaimHandler aHandler)
  {
    const auto target = static_cast<std::size_t>(aTo.value().back() - '0');
    if (chance(5)) {
      return;
    }
    const Event origin{ aFrom, daemons_[aFrom].epoch_, {} };
    const auto back = [this, origin, handler = std::move(aHandler)](
                        const coordination::ClaimResult& aResult) {
      if (!chance(5)) {
        Event event = origin;
        event.handle_ = [handler, aResult] { handler(aResult); };
        events_.emplace(clock_.now() + delay(chance(10) ? 2000 : 20),
                        std::move(event));
      }
    };
    const auto arrive = [this, target, aOperation, back] {
      daemons_[target].claims_->serve(aOperation, back);
    };
    events_.emplace(clock_.now() + delay(chance(10) ? 2000 : 20),
                    Event{ target, daemons_[target].epoch_, arrive });
  }

  void crash(std::size_t aIndex)
  {
    ++report_.crashes_;
    std::erase_if(open_, [&](const TryPtr& aTry) {
      const bool lost = aTry->daemon_ == aIndex && aTry->outcomes_ == 0;
      if (lost) {
        ++report_.lostRequests_;
        retryLater(aTry->operation_);
      }
      return lost;
    });
    start(aIndex);
  }

  void disturb()
  {
    Daemon& daemon = daemons_[random_() % kDaemons];
    switch (random_() % 400) {
      case 0:
        crash(random_() % kDaemons);
        break;
      case 1:
      case 2:
        daemon.pausedUntil_ = clock_.now() + delay(20000);
        break;
      case 3:
        daemon.store_->faults().down_ = true;
        break;
      case 4:
      case 5:
      case 6:
        daemon.store_->faults().down_ = false;
        break;
      case 7:
      case 8:
        daemon.store_->faults().loseAnswers_ = 1 + random_() % 3;
        break;
      case 9:
        daemon.store_->faults().failWrites_ = 1 + random_() % 2;
        break;
      case 10:
        daemon.store_->latePercent_ = random_() % 30;
        break;
      case 11:
        daemon.store_->faults().latency_ = delay(1500);
        break;
      default:
        break;
    }
  }

  void heal()
  {
    for (Daemon& daemon : daemons_) {
      daemon.pausedUntil_ = {};
      daemon.store_->faults() = {};
      daemon.store_->latePercent_ = 0;
    }
  }

  void step(std::uint64_t aMilliseconds)
  {
    ++report_.steps_;
    clock_.advance(std::chrono::milliseconds(aMilliseconds));
    while (!events_.empty() && events_.begin()->first <= clock_.now()) {
      Event event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      deliver(std::move(event));
    }
    for (Daemon& daemon : daemons_) {
      daemon.store_->stepLate();
      if (daemon.pausedUntil_ <= clock_.now()) {
        daemon.store_->step();
        daemon.claims_->tick();
      }
    }
  }

  void deliver(Event aEvent)
  {
    if (aEvent.epoch_ != 0) {
      const Daemon& daemon = daemons_[aEvent.daemon_];
      if (daemon.epoch_ != aEvent.epoch_) {
        return;
      }
      if (daemon.pausedUntil_ > clock_.now()) {
        events_.emplace(daemon.pausedUntil_, std::move(aEvent));
        return;
      }
    }
    ++report_.steps_;
    aEvent.handle_();
  }

  /** Lets something happen at the daemon of a request. */
  void atDaemon(const TryPtr& aTry,
                state::Duration aDelay,
                std::function<void()> aHandle)
  {
    events_.emplace(clock_.now() + aDelay,
                    Event{ aTry->daemon_, aTry->epoch_, std::move(aHandle) });
  }

  /** Lets something happen outside of the daemons. */
  void outside(state::Duration aDelay, std::function<void()> aHandle)
  {
    events_.emplace(clock_.now() + aDelay, Event{ 0, 0, std::move(aHandle) });
  }

  /** @return A UUID of version 7 of the present time. */
  std::string datedKey()
  {
    std::ostringstream time;
    time << std::hex << std::setw(12) << std::setfill('0')
         << clock_.wallNow().time_since_epoch().count();
    const std::string digits = time.str();
    const std::string rest = state::sha256Hex(std::to_string(random_()));
    return digits.substr(0, 8) + "-" + digits.substr(8) + "-7" +
           rest.substr(0, 3) + "-a" + rest.substr(3, 3) + "-" +
           rest.substr(6, 12);
  }

  void newOperation()
  {
    auto operation = std::make_shared<Operation>();
    operation->id_ = ++report_.operations_;
    operation->idempotent_ = chance(30);
    operation->tokens_ = operation->idempotent_ ? 1 + random_() % 8 : 0;
    if (!operation->idempotent_ && chance(90)) {
      operation->key_ = datedKey();
    }
    request(operation);
    const bool repeatable = operation->idempotent_ || !operation->key_.empty();
    if (repeatable && chance(15)) {
      request(operation);
    }
  }

  void retryLater(const OperationPtr& aOperation)
  {
    // Without a key another try would be another operation.
    const bool safe = aOperation->idempotent_ || !aOperation->key_.empty();
    if (!safe || aOperation->requests_ >= kMaxTries) {
      return;
    }
    const state::Duration wait =
      chance(4) ? std::chrono::minutes(30 + random_() % 270) : delay(5000);
    outside(wait, [this, aOperation] { request(aOperation); });
  }

  void request(const OperationPtr& aOperation)
  {
    const auto attempt = std::make_shared<Try>();
    ++report_.requests_;
    ++aOperation->requests_;
    attempt->operation_ = aOperation;
    attempt->daemon_ = random_() % kDaemons;
    Daemon& daemon = daemons_[attempt->daemon_];
    attempt->epoch_ = daemon.epoch_;
    coordination::RequestInfo info;
    info.account_ = state::AccountId("a");
    info.service_ = state::ServiceId("orders");
    info.operation_ = "confirm";
    info.idempotent_ = aOperation->idempotent_;
    info.stream_ = aOperation->tokens_ > 0;
    info.idempotencyKey_ = aOperation->key_;
    info.bodyDigest_ = "body-" + std::to_string(aOperation->id_);
    info.deadline_ = clock_.now() + std::chrono::seconds(2) + delay(10000);
    attempt->machine_ =
      std::make_unique<coordination::RequestMachine>(info, *daemon.budget_);
    open_.insert(attempt);
    atDaemon(attempt, delay(100), [this, attempt] {
      perform(attempt,
              chance(3) ? attempt->machine_->refused(
                            coordination::RefusalReason::kQueueFull, {})
                        : attempt->machine_->admitted(clock_.now()));
    });
    atDaemon(attempt, info.deadline_ - clock_.now(), [this, attempt] {
      perform(attempt, attempt->machine_->deadlinePassed());
    });
    if (chance(5)) {
      atDaemon(attempt, delay(3000), [this, attempt] {
        attempt->callerGone_ = true;
        perform(attempt, attempt->machine_->callerGone());
      });
    }
  }

  void perform(const TryPtr& aTry, const coordination::Action& aAction)
  {
    switch (aAction.kind_) {
      case coordination::ActionKind::kClaim:
        claim(aTry);
        break;
      case coordination::ActionKind::kDispatch:
        // Long delays stand for a pause between claim and dispatch.
        atDaemon(aTry, delay(chance(10) ? 12000 : 200), [this, aTry, aAction] {
          dispatch(aTry, aAction);
        });
        break;
      case coordination::ActionKind::kPassOn:
        aTry->tokens_.push_back(aTry->tokens_.size());
        break;
      case coordination::ActionKind::kFinish:
        finish(aTry, aAction);
        break;
      case coordination::ActionKind::kNone:
        break;
    }
  }

  void claim(const TryPtr& aTry)
  {
    const coordination::RequestInfo& info = aTry->machine_->info();
    coordination::ClaimService& claims = *daemons_[aTry->daemon_].claims_;
    const coordination::ClaimRequest request{
      info.account_, info.operation_, info.idempotencyKey_, info.bodyDigest_
    };
    const auto done = [this, aTry](const coordination::ClaimResult& aResult) {
      aTry->token_ = aResult.token_;
      perform(aTry, aTry->machine_->claimEnded(aResult, clock_.now()));
    };
    aTry->token_ = claims.claim(request, done);
  }

  void dispatch(const TryPtr& aTry, const coordination::Action& aAction)
  {
    coordination::RequestMachine& machine = *aTry->machine_;
    const state::AttemptId attempt = aAction.attempt_;
    const auto end = [this, aTry, attempt](coordination::AttemptEnd aEnd) {
      perform(aTry, aTry->machine_->attemptEnded(attempt, aEnd, clock_.now()));
    };
    if (chance(3)) {
      end(coordination::AttemptEnd::kNoTarget);
      return;
    }
    machine.targetChosen(attempt, state::VmId("t"));
    if (chance(5) || !machine.beginSending(attempt, clock_.now())) {
      end(coordination::AttemptEnd::kNotSent);
      return;
    }
    const std::uint64_t offset = aAction.resumeOffset_;
    if (!chance(5)) {
      outside(delay(chance(5) ? 15000 : 300),
              [this, aTry, attempt, offset] { arrive(aTry, attempt, offset); });
    }
    if (chance(20)) {
      const bool timeout = chance(50);
      atDaemon(aTry, delay(4000), [end, timeout] {
        end(timeout ? coordination::AttemptEnd::kTimedOut
                    : coordination::AttemptEnd::kCutShort);
      });
    }
  }

  /** The request arrives at the target. */
  void arrive(const TryPtr& aTry,
              state::AttemptId aAttempt,
              std::uint64_t aFrom)
  {
    const auto end = [this, aTry, aAttempt](coordination::AttemptEnd aEnd,
                                            std::uint64_t aTokens) {
      perform(
        aTry,
        aTry->machine_->attemptEnded(aAttempt, aEnd, clock_.now(), aTokens));
    };
    if (chance(5)) {
      atDaemon(aTry, delay(300), [end] {
        end(coordination::AttemptEnd::kRefused, 0);
      });
      return;
    }
    countRun(aTry);
    const std::uint64_t total = aTry->operation_->tokens_;
    const bool cut = chance(15);
    const std::uint64_t until = cut ? aFrom + random_() % (total + 1) : total;
    state::Duration at = delay(500);
    for (std::uint64_t token = aFrom; token < std::min(until, total); ++token) {
      const int copies = chance(5) ? 2 : chance(2) ? 0 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        atDaemon(aTry, at, [this, aTry, aAttempt, token] {
          perform(aTry,
                  aTry->machine_->tokenArrived(aAttempt, token, clock_.now()));
        });
      }
      at += delay(50) + std::chrono::milliseconds(1);
    }
    if (!chance(5)) {
      const int copies = chance(10) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        atDaemon(aTry, at, [end, cut, total] {
          end(cut ? coordination::AttemptEnd::kCutShort
                  : coordination::AttemptEnd::kWhole,
              total);
        });
      }
    }
  }

  void countRun(const TryPtr& aTry)
  {
    ++report_.runs_;
    ++aTry->runs_;
    ++aTry->operation_->runs_;
    if (!aTry->operation_->idempotent_ && aTry->operation_->runs_ > 1) {
      ++report_.duplicateRuns_;
    }
    report_.falseNotRun_ += aTry->saidNotRun_ ? 1 : 0;
  }

  void finish(const TryPtr& aTry, const coordination::Action& aAction)
  {
    const coordination::Outcome& outcome = aAction.outcome_;
    report_.duplicateOutcomes_ += aTry->outcomes_++ > 0 ? 1 : 0;
    open_.erase(aTry);
    endClaim(aTry, aAction);
    switch (outcome.kind_) {
      case coordination::OutcomeKind::kAnswered:
        ++report_.answered_;
        checkAnswer(aTry, outcome);
        break;
      case coordination::OutcomeKind::kNotRun:
        ++report_.notRun_;
        aTry->saidNotRun_ = true;
        report_.falseNotRun_ += aTry->runs_ > 0 ? 1 : 0;
        break;
      case coordination::OutcomeKind::kUnknown:
        ++report_.unknown_;
        break;
    }
    if (outcome.kind_ != coordination::OutcomeKind::kAnswered || chance(5)) {
      retryLater(aTry->operation_);
    }
  }

  void endClaim(const TryPtr& aTry, const coordination::Action& aAction)
  {
    if (aAction.claimEnd_ == coordination::ClaimEnd::kNone) {
      return;
    }
    std::shared_ptr<coordination::StoredAnswer> answer;
    if (aAction.claimEnd_ == coordination::ClaimEnd::kFinished) {
      answer = std::make_shared<coordination::StoredAnswer>();
      answer->status_ = 200;
      answer->body_ = aTry->machine_->info().bodyDigest_;
    }
    daemons_[aTry->daemon_].claims_->end(
      aTry->token_, aAction.claimEnd_, answer);
  }

  void checkAnswer(const TryPtr& aTry, const coordination::Outcome& aOutcome)
  {
    Operation& operation = *aTry->operation_;
    bool right = operation.runs_ > 0;
    if (operation.tokens_ > 0) {
      right = right && aTry->tokens_.size() == operation.tokens_;
    } else if (aOutcome.replay_) {
      ++report_.replayed_;
      right =
        right && aOutcome.replay_->body_ == aTry->machine_->info().bodyDigest_;
    } else if (aOutcome.reason_ == coordination::RefusalReason::kNone) {
      right = right && aTry->runs_ > 0;
    }
    report_.wrongAnswers_ += right ? 0 : 1;
  }

  std::mt19937_64 random_;                        ///< All random numbers.
  FakeClock clock_;                               ///< Time.
  std::shared_ptr<FakeStoreData> data_;           ///< The store.
  std::vector<Daemon> daemons_;                   ///< Daemons.
  std::multimap<state::TimePoint, Event> events_; ///< Events on their way.
  std::set<TryPtr> open_;   ///< Requests without an outcome.
  SimulationReport report_; ///< What was found.
};

} // namespace auburnhaven::fakes
