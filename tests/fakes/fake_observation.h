// VM observations set by a test.
#pragma once

#include "coordination/observation_port.h"
#include "fakes/fake_engine.h"

namespace auburnhaven::fakes {

/** VM observations set by a test. Not thread-safe. */
class FakeObservation : public coordination::Observation
{
public:
  const std::map<state::VmId, state::VmInfo>& vms() const override
  {
    return vms_;
  }
  const std::map<state::VmId, state::VmReport>& reports() const override
  {
    return reports_;
  }

  /** Updates the VM list and adds a new report for each responding engine. */
  void refresh(const FakeEngineData& aData, state::TimePoint aNow)
  {
    vms_.clear();
    for (const auto& [vm, engine] : aData.engines_) {
      vms_[vm] = engine.info_;
      if (engine.alive_) {
        state::VmReport& report = reports_[vm];
        const std::uint64_t count = report.count_ + 1;
        report = engine.report_;
        report.count_ = count;
        report.observedAt_ = aNow;
      }
    }
  }

  std::map<state::VmId, state::VmInfo> vms_; ///< VMs that the platform lists.
  std::map<state::VmId, state::VmReport>
    reports_; ///< Newest report of each VM.
};

} // namespace auburnhaven::fakes
