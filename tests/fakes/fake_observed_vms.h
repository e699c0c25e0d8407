// VMs that answer questions, and the platform's lagging list of them.
#pragma once

#include "coordination/target_port.h"
#include "fakes/fake_clock.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

/** The VMs of all zones of a test. Not thread-safe. */
struct FakeVms
{
  /** A VM. */
  struct Vm
  {
    state::VmInfo info_;     ///< Line of the list.
    state::VmReport report_; ///< What it reports.
    bool silent_ = false;    ///< Whether it answers nothing.
  };
  std::map<state::VmId, Vm> vms_; ///< VMs by name.
  std::uint64_t questions_ = 0;   ///< Questions asked.

  /** Adds VMs to a zone. */
  void add(const std::string& aZone, std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      Vm vm;
      vm.info_.id_ = state::VmId(aZone + "-vm-" + std::to_string(index));
      vm.info_.zone_ = state::ZoneId(aZone);
      vm.info_.domain_ =
        state::DomainId(aZone + "-domain-" + std::to_string(index / 32));
      vm.info_.endpoint_ = { "127.0.0.1",
                             static_cast<std::uint16_t>(20000 + index) };
      vm.report_.vm_ = vm.info_.id_;
      vm.report_.incarnation_ = state::Incarnation(1);
      vm.report_.phase_ = state::EnginePhase::kReady;
      vm.report_.role_.copy_ = { state::GroupId("assistant-" + aZone),
                                 static_cast<std::uint32_t>(index / 32) };
      vm.report_.role_.rank_ = static_cast<std::uint32_t>(index % 32);
      vm.report_.role_.fencing_ = state::FencingNumber(7);
      vm.report_.role_.model_ = "assistant-large";
      vm.report_.role_.version_ = "2026-11";
      vm.report_.load_.slots_ = 64;
      vms_[vm.info_.id_] = vm;
    }
  }
};

/** Answers that wait for their time. Not thread-safe. */
class FakeAnswers
{
public:
  /** Runs an answer later. */
  void later(state::TimePoint aAt, std::function<void()> aAnswer)
  {
    waiting_.emplace(aAt, std::move(aAnswer));
  }
  /** Runs the answers whose time has come. */
  void step(state::TimePoint aNow)
  {
    while (!waiting_.empty() && waiting_.begin()->first <= aNow) {
      const std::function<void()> answer = std::move(waiting_.begin()->second);
      waiting_.erase(waiting_.begin());
      answer();
    }
  }

private:
  std::multimap<state::TimePoint, std::function<void()>>
    waiting_; ///< Answers by their time.
};

/** One daemon's way to ask VMs and the list. Not thread-safe. */
class FakeVmClient
  : public coordination::EngineClient
  , public coordination::VmList
{
public:
  /**
   * @param aClock Clock of the test.
   * @param aVms The VMs; must outlive this object.
   */
  FakeVmClient(FakeClock& aClock, FakeVms& aVms)
    : clock_(aClock)
    , vms_(aVms)
  {
  }

  /** @param aDown Whether the platform's list cannot be reached. */
  void listDown(bool aDown) { listDown_ = aDown; }
  /** Hands over the answers whose time has come. */
  void step() { answers_.step(clock_.now()); }

  void sendOrder(const state::VmInfo& /*aVm*/,
                 const coordination::EngineOrder& /*aOrder*/,
                 state::Duration /*aTimeout*/,
                 OrderHandler aHandler) override
  {
    answers_.later(clock_.now(), [handler = std::move(aHandler)] {
      handler(coordination::OrderStatus::kFailed);
    });
  }

  void fetchReport(const state::VmInfo& aVm,
                   state::Duration aTimeout,
                   ReportHandler aHandler) override
  {
    ++vms_.questions_;
    const auto found = vms_.vms_.find(aVm.id_);
    if (found == vms_.vms_.end() || found->second.silent_) {
      answers_.later(clock_.now() + aTimeout, [handler = std::move(aHandler)] {
        handler(std::nullopt);
      });
      return;
    }
    state::VmReport& report = found->second.report_;
    ++report.count_;
    report.observedAt_ = clock_.now();
    answers_.later(
      clock_.now() + kAnswerTime,
      [handler = std::move(aHandler), report] { handler(report); });
  }

  void fetch(const state::ZoneId& aZone, ListHandler aHandler) override
  {
    if (listDown_) {
      answers_.later(
        clock_.now() + kAnswerTime,
        [handler = std::move(aHandler)] { handler(std::nullopt); });
      return;
    }
    std::vector<state::VmInfo> list;
    for (const auto& [id, vm] : vms_.vms_) {
      if (vm.info_.zone_ == aZone) {
        list.push_back(vm.info_);
      }
    }
    answers_.later(clock_.now() + kAnswerTime,
                   [handler = std::move(aHandler), list = std::move(list)] {
                     handler(list);
                   });
  }

private:
  static constexpr std::chrono::milliseconds kAnswerTime{
    5
  }; ///< Time until an answer arrives.

  FakeClock& clock_;      ///< Clock of the test.
  FakeVms& vms_;          ///< The VMs.
  FakeAnswers answers_;   ///< Answers under way.
  bool listDown_ = false; ///< Whether the list cannot be reached.
};

} // namespace auburnhaven::fakes
