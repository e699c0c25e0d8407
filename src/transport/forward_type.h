// A request on its way through a daemon of the target's zone.
#pragma once

#include "state/endpoint_type.h"
#include "transport/gateway/target_stream.h"
#include "transport/h2_type.h"

#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <string>

namespace auburnhaven::transport {

inline constexpr std::size_t kMaxForwardPayload =
  std::size_t{ 8 } * 1024 * 1024; ///< Largest payload of a request.

/** One attempt that a daemon of the target's zone makes for another daemon. */
struct ForwardedRequest
{
  TargetCall call_;              ///< What to send to the target.
  state::VmId vm_;               ///< Target that was chosen.
  state::CopyId copy_;           ///< Copy; empty group for a plain service.
  state::FencingNumber fencing_; ///< Assignment that the sender knows.
};

/** What a daemon brings to forwarded requests. */
struct ForwardSettings
{
  state::Endpoint listen_; ///< Where this daemon takes forwarded requests.
  std::string key_;        ///< Key shared by all daemons.
  std::chrono::milliseconds connectTimeout_{ 1000 }; ///< For a connection.
  std::size_t maxQueuedBytes_ =
    std::size_t{ 256 } * 1024; ///< Answer bytes queued before a wait.
  H2Limits limits_;            ///< Limits of the sessions.
  bool operator==(const ForwardSettings&) const = default;
};

/** Makes the attempts for other daemons. Thread-safe. */
class ForwardHandler
{
public:
  virtual ~ForwardHandler() = default;
  /**
   * Prepares an attempt at a target of this zone.
   * @param aThread Index of the traffic thread that will run it.
   * @param aRequest The request.
   * @return The attempt, not yet sent; null when this daemon does not make it,
   * which the sender then knows as certainly not run.
   */
  virtual std::unique_ptr<TargetStream> open(
    std::size_t aThread,
    const ForwardedRequest& aRequest) = 0;
};

/**
 * @param aPeers Where a daemon takes control messages.
 * @return Where it takes forwarded requests: the next port. Thread-safe.
 */
inline state::Endpoint
forwardEndpointOf(const state::Endpoint& aPeers)
{
  return { aPeers.address_, static_cast<std::uint16_t>(aPeers.port_ + 1) };
}

} // namespace auburnhaven::transport
