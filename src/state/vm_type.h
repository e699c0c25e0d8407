// VMs as the platform lists them and as they report themselves.
#pragma once

#include "state/endpoint_type.h"
#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnhaven::state {

/** State of a VM in the platform's list. */
enum class VmListing : std::uint8_t
{
  kLive,    ///< Listed and expected to stay.
  kLeaving, ///< Listed and about to be taken away.
};

/** One line of the platform's VM list. The list lags. */
struct VmInfo
{
  VmId id_;                              ///< The VM.
  ZoneId zone_;                          ///< Its availability zone.
  DomainId domain_;                      ///< Its fabric domain.
  Endpoint endpoint_;                    ///< Where its model engine listens.
  std::uint32_t accelerators_ = 4;       ///< Accelerators of the VM.
  VmListing listing_ = VmListing::kLive; ///< Live or leaving.
  bool checksFencing_ =
    false; ///< Whether its engine refuses old fencing numbers.
  bool operator==(const VmInfo&) const = default;
};

/** What a model engine has loaded and which place it holds in a copy. */
struct EngineRole
{
  CopyId copy_;            ///< Copy it was ordered into; empty group for none.
  std::uint32_t rank_ = 0; ///< Rank in the copy; 0 is the head.
  FencingNumber fencing_;  ///< Fencing number of the order it follows.
  std::string model_;      ///< Model loaded or being loaded; empty for none.
  std::string version_;    ///< Version of the model.
  std::vector<std::string> adapters_; ///< Adapters loaded, sorted.
  bool operator==(const EngineRole&) const = default;
};

/** Load of a model engine. Reports lag. */
struct EngineLoad
{
  std::uint32_t running_ = 0;         ///< Requests being generated.
  std::uint32_t queued_ = 0;          ///< Requests waiting.
  std::uint32_t slots_ = 0;           ///< Requests that can run at once.
  std::uint32_t tokensPerSecond_ = 0; ///< Tokens generated a second.
  bool operator==(const EngineLoad&) const = default;
};

/** Progress of an engine with its role. */
enum class EnginePhase : std::uint8_t
{
  kIdle,    ///< Has no role.
  kLoading, ///< Loads what its role asks for.
  kReady,   ///< Has loaded what its role asks for.
  kFailed,  ///< Could not load.
};

/** One observation of a VM. Newest wins by incarnation, then by count. */
struct VmReport
{
  VmId vm_;                 ///< The VM.
  Incarnation incarnation_; ///< Start of its engine process.
  std::uint64_t count_ = 0; ///< Reports made in this incarnation.
  EnginePhase phase_ = EnginePhase::kIdle; ///< Progress with the role.
  EngineRole role_;                        ///< Role it holds.
  EngineLoad load_;                        ///< Load it sees.
  TimePoint
    observedAt_{}; ///< Local time, not later than the engine made the report.
  bool operator==(const VmReport&) const = default;
};

} // namespace auburnhaven::state
