// Progress and outcome of one send of a relayed request.
#pragma once

#include <cstdint>
#include <string_view>

namespace auburnhaven::transport {

/** What has arrived of the response to a send. */
enum class AttemptProgress : std::uint8_t
{
  kNone,     ///< Nothing new.
  kTaken,    ///< Bytes that are no news for the caller yet.
  kEvents,   ///< Bytes of a stream, which may complete events.
  kComplete, ///< The end of a successful response, which is whole.
  kFailed,   ///< The end, without a successful response.
};

/** Outcome of sending a request to a target. */
enum class SendOutcome : std::uint8_t
{
  kDelivered,  ///< The caller has the complete response.
  kNotRun,     ///< The target certainly did not run the request.
  kRan,        ///< The target ran it and responded with an error.
  kUnknown,    ///< It may have run; there is no complete response.
  kOver,       ///< The caller disconnected, or the deadline passed.
  kSuperseded, ///< Another target responded first.
};

/** @return Name of an outcome for logs. */
constexpr std::string_view
nameOf(SendOutcome aSendOutcome)
{
  constexpr std::string_view kNames[] = {
    "delivered", "not_run", "ran", "unknown", "over", "superseded"
  };
  return kNames[static_cast<std::size_t>(aSendOutcome)];
}

/** Who ended a send. */
enum class SendEnder : std::uint8_t
{
  kTarget,      ///< The target, by its response or by closing its connection.
  kOtherTarget, ///< This daemon, since another target responded first.
  kCaller,      ///< The caller, by closing its connection.
  kDeadline,    ///< The deadline.
  kStop,        ///< This daemon, since it stops.
  kQuarantine,  ///< This daemon, since the prompt has parts in quarantine.
};

/** @return Name of who ended a send for logs. */
constexpr std::string_view
nameOf(SendEnder aEnder)
{
  constexpr std::string_view kNames[] = { "target", "other_target",
                                          "caller", "deadline",
                                          "stop",   "quarantine" };
  return kNames[static_cast<std::size_t>(aEnder)];
}

} // namespace auburnhaven::transport
