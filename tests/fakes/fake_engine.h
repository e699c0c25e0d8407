// Model engines in memory, with and without a check of fencing numbers.
#pragma once

#include "coordination/target_port.h"
#include "fakes/fake_clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

/** One model engine. */
struct FakeEngine
{
  state::VmInfo info_;                   ///< Its line in the platform's list.
  state::VmReport report_;               ///< What it would report.
  state::FencingNumber highest_;         ///< Highest fencing number followed.
  state::Duration loaded_{};             ///< Progress of the load.
  std::vector<state::Endpoint> members_; ///< Members it was told of.
  bool alive_ = true;                    ///< Whether it answers at all.
  std::uint64_t oldOrders_ = 0;          ///< Old orders that took effect.
};

/** All engines of a test. Not thread-safe. */
class FakeEngineData
{
public:
  std::map<state::VmId, FakeEngine> engines_; ///< Engines by VM.
  state::Duration loadTime_ =
    std::chrono::seconds(20);      ///< Time of a load at the full rate.
  std::size_t loadsAtOnce_ = 1000; ///< Loads that run at the full rate.
  std::uint64_t loads_ = 0;        ///< Loads started.

  /** Adds an engine without a role. */
  void add(const state::VmInfo& aInfo)
  {
    FakeEngine engine;
    engine.info_ = aInfo;
    engine.report_.vm_ = aInfo.id_;
    engine.report_.incarnation_ = state::Incarnation(1);
    engines_[aInfo.id_] = std::move(engine);
  }

  /** Starts an engine's process anew; it has forgotten its role. */
  void restart(const state::VmId& aVm)
  {
    FakeEngine& engine = engines_.at(aVm);
    const state::Incarnation next = engine.report_.incarnation_.next();
    engine.report_ = {};
    engine.report_.vm_ = aVm;
    engine.report_.incarnation_ = next;
    engine.highest_ = {};
    engine.alive_ = true;
  }

  /** Hands an order to an engine as it arrives. */
  coordination::OrderStatus deliver(const coordination::EngineOrder& aOrder)
  {
    const auto found = engines_.find(aOrder.vm_);
    if (found == engines_.end() || !found->second.alive_) {
      return coordination::OrderStatus::kUnknown;
    }
    FakeEngine& engine = found->second;
    if (aOrder.fencing_ < engine.highest_) {
      if (engine.info_.checksFencing_) {
        return coordination::OrderStatus::kFenced;
      }
      ++engine.oldOrders_;
    }
    engine.highest_ = std::max(engine.highest_, aOrder.fencing_);
    follow(engine, aOrder);
    return coordination::OrderStatus::kAccepted;
  }

  /** Lets loads go on. */
  void advance(state::Duration aStep)
  {
    const auto loading = static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(), [](const auto& aEntry) {
        return isLoading(aEntry.second);
      }));
    const std::size_t shares = std::max(loading, loadsAtOnce_);
    for (auto& [vm, engine] : engines_) {
      if (isLoading(engine)) {
        engine.loaded_ += aStep * static_cast<std::int64_t>(loadsAtOnce_) /
                          static_cast<std::int64_t>(shares);
        if (engine.loaded_ >= loadTime_) {
          engine.report_.phase_ = state::EnginePhase::kReady;
        }
      }
    }
  }

private:
  static bool isLoading(const FakeEngine& aEngine)
  {
    return aEngine.alive_ &&
           aEngine.report_.phase_ == state::EnginePhase::kLoading;
  }

  void follow(FakeEngine& aEngine, const coordination::EngineOrder& aOrder)
  {
    state::EngineRole before = aEngine.report_.role_;
    before.fencing_ = aOrder.role_.fencing_;
    const bool idle = aEngine.report_.phase_ == state::EnginePhase::kIdle ||
                      aEngine.report_.phase_ == state::EnginePhase::kFailed;
    aEngine.report_.role_ = aOrder.role_;
    aEngine.members_ = aOrder.members_;
    if (aOrder.role_.copy_.group_.empty()) {
      aEngine.report_.phase_ = state::EnginePhase::kIdle;
    } else if (idle || before != aOrder.role_) {
      aEngine.report_.phase_ = state::EnginePhase::kLoading;
      aEngine.loaded_ = {};
      ++loads_;
    }
  }
};

/** What happens to the orders of one client. */
struct EngineFaults
{
  bool cut_ = false;              ///< Nothing arrives, nothing is answered.
  std::uint32_t loseAnswers_ = 0; ///< So many next orders answer kUnknown.
  std::uint32_t doubled_ = 0;     ///< So many next orders arrive twice.
  state::Duration delay_ =
    std::chrono::milliseconds(5); ///< Time until an order arrives.
};

/** One daemon's connection to the engines. Orders arrive in step(). Not
 * thread-safe. */
class FakeEngineClient : public coordination::EngineClient
{
public:
  /**
   * @param aClock Clock of the test.
   * @param aData Engines shared with other clients.
   */
  FakeEngineClient(FakeClock& aClock, std::shared_ptr<FakeEngineData> aData)
    : clock_(aClock)
    , data_(std::move(aData))
  {
  }

  /** @return Faults that apply to the next orders. */
  EngineFaults& faults() { return faults_; }
  /** @return Number of orders sent. */
  std::uint64_t sent() const { return sent_; }

  /** Delivers the orders whose time has come; answers go back at once unless
   * the daemon is paused. */
  void step(bool aPaused = false)
  {
    deliverDue();
    if (aPaused) {
      return;
    }
    std::vector<std::function<void()>> answers = std::move(answers_);
    answers_.clear();
    for (const auto& answer : answers) {
      answer();
    }
  }

  /** Forgets who waits for answers; orders under way still arrive. */
  void dropAnswers()
  {
    answers_.clear();
    for (Pending& pending : pending_) {
      pending.handler_ = [](coordination::OrderStatus) {};
    }
  }

  void sendOrder(const state::VmInfo& /*aVm*/,
                 const coordination::EngineOrder& aOrder,
                 state::Duration aTimeout,
                 OrderHandler aHandler) override
  {
    ++sent_;
    Pending pending{ clock_.now() + std::min(faults_.delay_, aTimeout),
                     aOrder,
                     std::move(aHandler),
                     faults_.cut_,
                     false };
    if (faults_.doubled_ > 0) {
      --faults_.doubled_;
      pending_.push_back({ pending.at_,
                           aOrder,
                           [](coordination::OrderStatus) {},
                           false,
                           false });
    }
    if (faults_.loseAnswers_ > 0) {
      --faults_.loseAnswers_;
      pending.loseAnswer_ = true;
    }
    pending_.push_back(std::move(pending));
  }

  void fetchReport(const state::VmInfo& aVm,
                   state::Duration /*aTimeout*/,
                   ReportHandler aHandler) override
  {
    const auto found = data_->engines_.find(aVm.id_);
    const bool answers =
      found != data_->engines_.end() && found->second.alive_ && !faults_.cut_;
    std::optional<state::VmReport> report;
    if (answers) {
      report = found->second.report_;
      report->observedAt_ = clock_.now();
    }
    answers_.emplace_back(
      [handler = std::move(aHandler), report] { handler(report); });
  }

private:
  /** An order on its way. */
  struct Pending
  {
    state::TimePoint at_;             ///< When it arrives.
    coordination::EngineOrder order_; ///< The order.
    OrderHandler handler_;            ///< Takes the answer.
    bool lost_ = false;               ///< Whether it never arrives.
    bool loseAnswer_ = false;         ///< Whether its answer is lost.
  };

  void deliverDue()
  {
    std::vector<Pending> rest;
    std::vector<Pending> due;
    for (Pending& pending : pending_) {
      (pending.at_ <= clock_.now() ? due : rest).push_back(std::move(pending));
    }
    pending_ = std::move(rest);
    for (Pending& pending : due) {
      coordination::OrderStatus status = coordination::OrderStatus::kUnknown;
      if (!pending.lost_) {
        status = data_->deliver(pending.order_);
      }
      if (pending.loseAnswer_) {
        status = coordination::OrderStatus::kUnknown;
      }
      answers_.emplace_back(
        [handler = std::move(pending.handler_), status] { handler(status); });
    }
  }

  FakeClock& clock_;                           ///< Clock of the test.
  std::shared_ptr<FakeEngineData> data_;       ///< Engines of the test.
  EngineFaults faults_;                        ///< Faults of the next orders.
  std::uint64_t sent_ = 0;                     ///< Orders sent.
  std::vector<Pending> pending_;               ///< Orders on their way.
  std::vector<std::function<void()>> answers_; ///< Answers on their way.
};

} // namespace auburnhaven::fakes
