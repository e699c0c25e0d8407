// Observations of targets that ended while they answered requests.
#pragma once

#include "state/id_type.h"
#include "state/prompt_part_func.h"
#include "state/time_type.h"

#include <chrono>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::chrono::seconds kSoundTime{
  10
}; ///< How long a part counts as sound after a target answered with it.

/** Requests that a daemon lost when a target ended. */
struct CrashReport
{
  state::VmId vm_;        ///< The target.
  state::Duration age_{}; ///< Time since the requests were lost.
  std::vector<state::PromptParts>
    requests_; ///< Parts of each request: those of its prompt that others
               ///< share, and one for the request as a whole. Requests
               ///< that the target had not begun to answer.
  std::vector<state::PromptParts>
    begun_{}; ///< The same of requests that it had begun to answer.
  bool operator==(const CrashReport&) const = default;
};

/** A part of the prompt of requests under which targets ended. */
struct SuspectPart
{
  state::PromptPartId part_; ///< The part.
  state::Duration age_{};    ///< Time since the first of these targets ended.
  bool operator==(const SuspectPart&) const = default;
};

/** A part of the prompt of a request that a target has answered, or goes on to
 * answer. */
struct SoundPart
{
  state::PromptPartId part_; ///< The part.
  state::Duration age_{};    ///< Time since the latest moment at which a target
                             ///< is known to have borne it.
  bool operator==(const SoundPart&) const = default;
};

} // namespace auburnhaven::coordination
