// Randomized simulation of clients, daemons, a store and a target that checks
// the invariants of requests at every event.
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

/** Counters and invariant violations of a simulation. */
struct SimulationReport
{
  std::uint64_t steps_ = 0;        ///< Time steps and events handled.
  std::uint64_t operations_ = 0;   ///< Operations wanted by clients.
  std::uint64_t requests_ = 0;     ///< Requests sent by clients.
  std::uint64_t runs_ = 0;         ///< Runs at the target.
  std::uint64_t answered_ = 0;     ///< Requests answered.
  std::uint64_t notRun_ = 0;       ///< Requests reported as not run.
  std::uint64_t unknown_ = 0;      ///< Requests that may have run.
  std::uint64_t replayed_ = 0;     ///< Answers replayed from a claim.
  std::uint64_t crashes_ = 0;      ///< Daemons crashed and restarted.
  std::uint64_t lostRequests_ = 0; ///< Requests lost in a crash.
  std::uint64_t duplicateRuns_ =
    0; ///< Repeated runs of non-idempotent operations.
  std::uint64_t falseNotRun_ =
    0; ///< Requests run although reported as not run.
  std::uint64_t duplicateOutcomes_ = 0; ///< Additional outcomes of a request.
  std::uint64_t wrongAnswers_ =
    0; ///< Answers that are incomplete or of another request.
  std::uint64_t missingOutcomes_ = 0; ///< Requests without an outcome.

  /** @return Number of invariant violations. */
  std::uint64_t faults() const
  {
    return duplicateRuns_ + falseNotRun_ + duplicateOutcomes_ + wrongAnswers_ +
           missingOutcomes_;
  }
};

/** Store whose writes may fail for the caller and take effect seconds later. */
class DelayedWriteStore : public FakeStore
{
public:
  DelayedWriteStore(FakeClock& aClock,
                    const std::shared_ptr<FakeStoreData>& aData,
                    std::mt19937_64& aRandom)
    : FakeStore(aClock, aData)
    , simulationClock_(aClock)
    , delayedStore_(aClock, aData)
    , random_(aRandom)
  {
  }

  void compareAndSwap(const std::string& aKey,
                      state::Revision aExpected,
                      std::string aValue,
                      coordination::StorePriority aPriority,
                      ReplyHandler aHandler) override
  {
    if (!faults().down_ && random_() % 100 < delayedPercent_) {
      const auto delay = std::chrono::milliseconds(random_() % 4000);
      delayedWrites_.push_back(
        { simulationClock_.now() + delay, aKey, aExpected, aValue });
      faults().failWrites_ = 1;
    }
    FakeStore::compareAndSwap(
      aKey, aExpected, std::move(aValue), aPriority, std::move(aHandler));
  }

  /** Applies the delayed writes that are due. */
  void applyDueWrites()
  {
    std::erase_if(delayedWrites_, [this](const DelayedWrite& aWrite) {
      if (aWrite.dueAt_ > simulationClock_.now()) {
        return false;
      }
      delayedStore_.compareAndSwap(aWrite.key_,
                                   aWrite.expected_,
                                   aWrite.value_,
                                   coordination::StorePriority::kClaim,
                                   [](const coordination::StoreReply&) {});
      return true;
    });
    delayedStore_.dropPending();
  }

  std::uint32_t delayedPercent_ = 0; ///< Percentage of delayed writes.

private:
  /** A write that takes effect later. */
  struct DelayedWrite
  {
    state::TimePoint dueAt_;   ///< When it takes effect.
    std::string key_;          ///< Key.
    state::Revision expected_; ///< Expected revision.
    std::string value_;        ///< Value.
  };

  FakeClock& simulationClock_; ///< Clock of the simulation.
  FakeStore delayedStore_;     ///< Applies delayed writes.
  std::mt19937_64& random_;    ///< Random numbers of the simulation.
  std::vector<DelayedWrite>
    delayedWrites_; ///< Writes that are not applied yet.
};

/** Clock of one daemon whose wall time is skewed. */
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
  const FakeClock& clock_;         ///< Clock of the simulation.
  std::chrono::milliseconds skew_; ///< Offset of the wall time.
};

/** Single-threaded simulation of clients, daemons, the store and one target. */
class RequestSimulation
{
public:
  /** @param aSeed Seed that determines the whole simulation. */
  explicit RequestSimulation(std::uint64_t aSeed)
    : random_(aSeed)
    , data_(std::make_shared<FakeStoreData>())
  {
    daemons_.resize(kDaemons);
    for (std::size_t index = 0; index < kDaemons; ++index) {
      startDaemon(index);
    }
  }

  /**
   * Runs the simulation, then clears all faults and lets open requests end.
   * @param aSteps Time steps and events to handle.
   * @return Counters and invariant violations.
   */
  SimulationReport run(std::uint64_t aSteps)
  {
    while (report_.steps_ < aSteps) {
      injectFault();
      if (chance(6)) {
        newOperation();
      }
      step(random_() % 200);
    }
    clearFaults();
    for (int round = 0; round < 3000; ++round) {
      step(100);
    }
    for (const auto& request : openRequests_) {
      report_.missingOutcomes_ += request->outcomes_ == 0 ? 1 : 0;
    }
    return report_;
  }

private:
  static constexpr std::size_t kDaemons = 3;       ///< Number of daemons.
  static constexpr std::uint32_t kMaxRequests = 6; ///< Limit per operation.

  /** An operation that a client wants to run. */
  struct Operation
  {
    std::uint64_t id_ = 0;    ///< Number.
    std::string key_;         ///< Idempotency key; may be empty.
    bool idempotent_ = false; ///< Whether it may be repeated.
    std::uint64_t tokens_ =
      0; ///< Tokens of a streamed answer; 0 if not streamed.
    std::uint32_t requests_ = 0; ///< Requests sent.
    std::uint32_t runs_ = 0;     ///< Runs at the target.
    bool answered_ = false;      ///< Whether an answer arrived.
  };
  using OperationPtr = std::shared_ptr<Operation>;

  /** One request of a client. */
  struct ClientRequest
  {
    OperationPtr operation_;  ///< Operation to run.
    std::size_t daemon_ = 0;  ///< Index of the receiving daemon.
    std::uint64_t epoch_ = 0; ///< Epoch of that daemon.
    std::unique_ptr<coordination::RequestMachine> machine_; ///< State machine.
    coordination::ClaimToken token_;    ///< Token of its claim.
    std::uint32_t runs_ = 0;            ///< Runs at the target.
    std::uint32_t outcomes_ = 0;        ///< Outcomes reported.
    bool reportedNotRun_ = false;       ///< Whether the outcome was "not run".
    std::vector<std::uint64_t> tokens_; ///< Tokens received by the client.
    bool callerGone_ = false;           ///< Whether the client disconnected.
  };
  using ClientRequestPtr = std::shared_ptr<ClientRequest>;

  /** Forwards operations of one daemon to the claim services of the others. */
  class Peers : public coordination::ClaimPeers
  {
  public:
    Peers(RequestSimulation& aSimulation, std::size_t aFrom)
      : simulation_(aSimulation)
      , from_(aFrom)
    {
    }
    void forward(const state::DaemonId& aTo,
                 const coordination::ClaimOperation& aOperation,
                 coordination::ClaimHandler aHandler) override
    {
      simulation_.forward(from_, aTo, aOperation, std::move(aHandler));
    }

  private:
    RequestSimulation& simulation_; ///< Simulation.
    std::size_t from_;              ///< Index of the sending daemon.
  };

  /** A daemon. */
  struct Daemon
  {
    std::uint64_t epoch_ = 0;                  ///< Number of starts.
    state::TimePoint pausedUntil_{};           ///< Paused until this time.
    std::unique_ptr<SkewedClock> clock_;       ///< Skewed clock.
    std::unique_ptr<DelayedWriteStore> store_; ///< Connection to the store.
    std::unique_ptr<Peers> peers_; ///< Forwards to the other daemons.
    std::unique_ptr<coordination::ClaimService> claims_; ///< Claim service.
    std::unique_ptr<coordination::RetryBudget> budget_;  ///< Retry budget.
  };

  /** A scheduled event; dropped if its daemon was restarted since. */
  struct Event
  {
    std::size_t daemon_ = 0; ///< Index of the daemon that handles it.
    std::uint64_t epoch_ =
      0; ///< Epoch of the daemon; 0 if outside the daemons.
    std::function<void()> handle_; ///< Handles the event.
  };

  bool chance(unsigned aPercent) { return random_() % 100 < aPercent; }

  state::Duration delay(unsigned aMilliseconds)
  {
    return std::chrono::milliseconds(random_() % aMilliseconds);
  }

  void startDaemon(std::size_t aIndex)
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
    // Each daemon has its own, possibly incomplete view of the live daemons.
    std::vector<state::DaemonId> known;
    for (std::size_t index = 0; index < kDaemons; ++index) {
      if (!chance(20)) {
        known.emplace_back("d" + std::to_string(index));
      }
    }
    daemon.claims_->setDaemons(known);
    daemon.budget_ = std::make_unique<coordination::RetryBudget>();
  }

  /** Forwards an operation to another daemon; either message may be lost. */
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

  void crashDaemon(std::size_t aIndex)
  {
    ++report_.crashes_;
    std::erase_if(openRequests_, [&](const ClientRequestPtr& aRequest) {
      const bool lost = aRequest->daemon_ == aIndex && aRequest->outcomes_ == 0;
      if (lost) {
        ++report_.lostRequests_;
        scheduleRetry(aRequest->operation_);
      }
      return lost;
    });
    startDaemon(aIndex);
  }

  void injectFault()
  {
    Daemon& daemon = daemons_[random_() % kDaemons];
    switch (random_() % 400) {
      case 0:
        crashDaemon(random_() % kDaemons);
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
        daemon.store_->delayedPercent_ = random_() % 30;
        break;
      case 11:
        daemon.store_->faults().latency_ = delay(1500);
        break;
      default:
        break;
    }
  }

  void clearFaults()
  {
    for (Daemon& daemon : daemons_) {
      daemon.pausedUntil_ = {};
      daemon.store_->faults() = {};
      daemon.store_->delayedPercent_ = 0;
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
      daemon.store_->applyDueWrites();
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

  /** Schedules an event at the daemon of a request. */
  void scheduleAtDaemon(const ClientRequestPtr& aRequest,
                        state::Duration aDelay,
                        std::function<void()> aHandle)
  {
    events_.emplace(
      clock_.now() + aDelay,
      Event{ aRequest->daemon_, aRequest->epoch_, std::move(aHandle) });
  }

  /** Schedules an event at a client or the target. */
  void scheduleExternal(state::Duration aDelay, std::function<void()> aHandle)
  {
    events_.emplace(clock_.now() + aDelay, Event{ 0, 0, std::move(aHandle) });
  }

  /** @return Version 7 UUID with the current time. */
  std::string makeTimestampedKey()
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
      operation->key_ = makeTimestampedKey();
    }
    sendRequest(operation);
    const bool repeatable = operation->idempotent_ || !operation->key_.empty();
    if (repeatable && chance(15)) {
      sendRequest(operation);
    }
  }

  void scheduleRetry(const OperationPtr& aOperation)
  {
    // Without a key a retry would be a new operation.
    const bool safe = aOperation->idempotent_ || !aOperation->key_.empty();
    if (!safe || aOperation->requests_ >= kMaxRequests) {
      return;
    }
    const state::Duration wait =
      chance(4) ? std::chrono::minutes(30 + random_() % 270) : delay(5000);
    scheduleExternal(wait, [this, aOperation] { sendRequest(aOperation); });
  }

  void sendRequest(const OperationPtr& aOperation)
  {
    const auto request = std::make_shared<ClientRequest>();
    ++report_.requests_;
    ++aOperation->requests_;
    request->operation_ = aOperation;
    request->daemon_ = random_() % kDaemons;
    Daemon& daemon = daemons_[request->daemon_];
    request->epoch_ = daemon.epoch_;
    coordination::RequestInfo info;
    info.account_ = state::AccountId("a");
    info.service_ = state::ServiceId("orders");
    info.operation_ = "confirm";
    info.idempotent_ = aOperation->idempotent_;
    info.stream_ = aOperation->tokens_ > 0;
    info.idempotencyKey_ = aOperation->key_;
    info.bodyDigest_ = "body-" + std::to_string(aOperation->id_);
    info.deadline_ = clock_.now() + std::chrono::seconds(2) + delay(10000);
    request->machine_ =
      std::make_unique<coordination::RequestMachine>(info, *daemon.budget_);
    openRequests_.insert(request);
    scheduleAtDaemon(request, delay(100), [this, request] {
      handleAction(request,
                   chance(3) ? request->machine_->refused(
                                 coordination::RefusalReason::kQueueFull, {})
                             : request->machine_->admitted(clock_.now()));
    });
    scheduleAtDaemon(request, info.deadline_ - clock_.now(), [this, request] {
      handleAction(request, request->machine_->deadlinePassed());
    });
    if (chance(5)) {
      scheduleAtDaemon(request, delay(3000), [this, request] {
        request->callerGone_ = true;
        handleAction(request, request->machine_->callerGone());
      });
    }
  }

  void handleAction(const ClientRequestPtr& aRequest,
                    const coordination::Action& aAction)
  {
    switch (aAction.kind_) {
      case coordination::ActionKind::kClaim:
        claim(aRequest);
        break;
      case coordination::ActionKind::kDispatch:
        // Long delays simulate a paused daemon between claim and dispatch.
        scheduleAtDaemon(
          aRequest, delay(chance(10) ? 12000 : 200), [this, aRequest, aAction] {
            dispatch(aRequest, aAction);
          });
        break;
      case coordination::ActionKind::kDeliverToken:
        aRequest->tokens_.push_back(aRequest->tokens_.size());
        break;
      case coordination::ActionKind::kFinish:
        finish(aRequest, aAction);
        break;
      case coordination::ActionKind::kNone:
        break;
    }
  }

  void claim(const ClientRequestPtr& aRequest)
  {
    const coordination::RequestInfo& info = aRequest->machine_->info();
    coordination::ClaimService& claims = *daemons_[aRequest->daemon_].claims_;
    const coordination::ClaimRequest claimRequest{
      info.account_, info.operation_, info.idempotencyKey_, info.bodyDigest_
    };
    const auto done = [this,
                       aRequest](const coordination::ClaimResult& aResult) {
      aRequest->token_ = aResult.token_;
      handleAction(aRequest,
                   aRequest->machine_->claimEnded(aResult, clock_.now()));
    };
    aRequest->token_ = claims.claim(claimRequest, done);
  }

  void dispatch(const ClientRequestPtr& aRequest,
                const coordination::Action& aAction)
  {
    coordination::RequestMachine& machine = *aRequest->machine_;
    const state::AttemptId attempt = aAction.attempt_;
    const auto end =
      [this, aRequest, attempt](coordination::AttemptResult aEnd) {
        handleAction(
          aRequest,
          aRequest->machine_->attemptEnded(attempt, aEnd, clock_.now()));
      };
    if (chance(3)) {
      end(coordination::AttemptResult::kNoTarget);
      return;
    }
    machine.targetChosen(attempt, state::VmId("t"));
    if (chance(5) || !machine.beginSending(attempt, clock_.now())) {
      end(coordination::AttemptResult::kNotSent);
      return;
    }
    const std::uint64_t offset = aAction.resumeOffset_;
    if (!chance(5)) {
      scheduleExternal(delay(chance(5) ? 15000 : 300),
                       [this, aRequest, attempt, offset] {
                         arrive(aRequest, attempt, offset);
                       });
    }
    if (chance(20)) {
      const bool timeout = chance(50);
      scheduleAtDaemon(aRequest, delay(4000), [end, timeout] {
        end(timeout ? coordination::AttemptResult::kTimedOut
                    : coordination::AttemptResult::kCutShort);
      });
    }
  }

  /** Handles the arrival of a request at the target. */
  void arrive(const ClientRequestPtr& aRequest,
              state::AttemptId aAttempt,
              std::uint64_t aFrom)
  {
    const auto end =
      [this, aRequest, aAttempt](coordination::AttemptResult aEnd,
                                 std::uint64_t aTokens) {
        handleAction(aRequest,
                     aRequest->machine_->attemptEnded(
                       aAttempt, aEnd, clock_.now(), aTokens));
      };
    if (chance(5)) {
      scheduleAtDaemon(aRequest, delay(300), [end] {
        end(coordination::AttemptResult::kRefused, 0);
      });
      return;
    }
    recordRun(aRequest);
    const std::uint64_t total = aRequest->operation_->tokens_;
    const bool cut = chance(15);
    const std::uint64_t until = cut ? aFrom + random_() % (total + 1) : total;
    state::Duration at = delay(500);
    for (std::uint64_t token = aFrom; token < std::min(until, total); ++token) {
      const int copies = chance(5) ? 2 : chance(2) ? 0 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        scheduleAtDaemon(aRequest, at, [this, aRequest, aAttempt, token] {
          handleAction(
            aRequest,
            aRequest->machine_->tokenArrived(aAttempt, token, clock_.now()));
        });
      }
      at += delay(50) + std::chrono::milliseconds(1);
    }
    if (!chance(5)) {
      const int copies = chance(10) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        scheduleAtDaemon(aRequest, at, [end, cut, total] {
          end(cut ? coordination::AttemptResult::kCutShort
                  : coordination::AttemptResult::kWhole,
              total);
        });
      }
    }
  }

  void recordRun(const ClientRequestPtr& aRequest)
  {
    ++report_.runs_;
    ++aRequest->runs_;
    ++aRequest->operation_->runs_;
    if (!aRequest->operation_->idempotent_ && aRequest->operation_->runs_ > 1) {
      ++report_.duplicateRuns_;
    }
    report_.falseNotRun_ += aRequest->reportedNotRun_ ? 1 : 0;
  }

  void finish(const ClientRequestPtr& aRequest,
              const coordination::Action& aAction)
  {
    const coordination::Outcome& outcome = aAction.outcome_;
    report_.duplicateOutcomes_ += aRequest->outcomes_++ > 0 ? 1 : 0;
    openRequests_.erase(aRequest);
    endClaim(aRequest, aAction);
    switch (outcome.kind_) {
      case coordination::OutcomeKind::kAnswered:
        ++report_.answered_;
        checkAnswer(aRequest, outcome);
        break;
      case coordination::OutcomeKind::kNotRun:
        ++report_.notRun_;
        aRequest->reportedNotRun_ = true;
        report_.falseNotRun_ += aRequest->runs_ > 0 ? 1 : 0;
        break;
      case coordination::OutcomeKind::kUnknown:
        ++report_.unknown_;
        break;
    }
    if (outcome.kind_ != coordination::OutcomeKind::kAnswered || chance(5)) {
      scheduleRetry(aRequest->operation_);
    }
  }

  void endClaim(const ClientRequestPtr& aRequest,
                const coordination::Action& aAction)
  {
    if (aAction.claimEnd_ == coordination::ClaimEnd::kNone) {
      return;
    }
    std::shared_ptr<coordination::StoredAnswer> answer;
    if (aAction.claimEnd_ == coordination::ClaimEnd::kFinished) {
      answer = std::make_shared<coordination::StoredAnswer>();
      answer->status_ = 200;
      answer->body_ = aRequest->machine_->info().bodyDigest_;
    }
    daemons_[aRequest->daemon_].claims_->end(
      aRequest->token_, aAction.claimEnd_, answer);
  }

  void checkAnswer(const ClientRequestPtr& aRequest,
                   const coordination::Outcome& aOutcome)
  {
    Operation& operation = *aRequest->operation_;
    bool isCorrect = operation.runs_ > 0;
    if (operation.tokens_ > 0) {
      isCorrect = isCorrect && aRequest->tokens_.size() == operation.tokens_;
    } else if (aOutcome.replay_) {
      ++report_.replayed_;
      isCorrect = isCorrect && aOutcome.replay_->body_ ==
                                 aRequest->machine_->info().bodyDigest_;
    } else if (aOutcome.reason_ == coordination::RefusalReason::kNone) {
      isCorrect = isCorrect && aRequest->runs_ > 0;
    }
    report_.wrongAnswers_ += isCorrect ? 0 : 1;
  }

  std::mt19937_64 random_;              ///< Source of all random numbers.
  FakeClock clock_;                     ///< Clock of the simulation.
  std::shared_ptr<FakeStoreData> data_; ///< Data of the store.
  std::vector<Daemon> daemons_;         ///< Daemons.
  std::multimap<state::TimePoint, Event> events_; ///< Scheduled events by time.
  std::set<ClientRequestPtr> openRequests_; ///< Requests without an outcome.
  SimulationReport report_;                 ///< Report of the simulation.
};

} // namespace auburnhaven::fakes
