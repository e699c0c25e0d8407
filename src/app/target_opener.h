// Ways to targets: direct in the own zone, through a daemon in another zone.
#pragma once

#include "state/serving_view_type.h"
#include "transport/forward_client.h"
#include "transport/forward_server.h"
#include "transport/gateway/request_runner.h"
#include "transport/http_client.h"
#include "transport/snapshot_holder.h"
#include "transport/traffic_pool.h"

#include <memory>
#include <optional>
#include <vector>

namespace auburnhaven::app {

using ServingViewHolder =
  transport::SnapshotHolder<state::ServingView>; ///< Newest view, or null.

/** Opens attempts with the clients of the request's traffic thread. */
class TargetOpener : public transport::StreamOpener
{
public:
  /**
   * @param aPool Traffic threads; outlive this object.
   * @param aForward Settings of forwarded requests.
   */
  TargetOpener(transport::TrafficPool& aPool,
               const transport::ForwardSettings& aForward);

  std::unique_ptr<transport::TargetStream> open(
    std::size_t aThread,
    const coordination::Choice& aChoice,
    const transport::TargetCall& aCall) override;

private:
  /** Clients of one traffic thread. */
  struct Clients
  {
    std::unique_ptr<transport::HttpClient> http_;       ///< To own targets.
    std::unique_ptr<transport::ForwardClient> forward_; ///< To other zones.
  };

  std::vector<Clients> clients_; ///< By index of the thread.
};

/**
 * Makes attempts for daemons of other zones, at targets that this daemon's own
 * evidence shows open at the assignment that the sender means. Thread-safe.
 */
class ForwardedTargets : public transport::ForwardHandler
{
public:
  /**
   * @param aOpener Opens attempts; outlives this object.
   * @param aViews Newest snapshot; outlives this object.
   */
  ForwardedTargets(TargetOpener& aOpener, const ServingViewHolder& aViews);

  std::unique_ptr<transport::TargetStream> open(
    std::size_t aThread,
    const transport::ForwardedRequest& aRequest) override;

private:
  TargetOpener& opener_;           ///< Opens attempts.
  const ServingViewHolder& views_; ///< Newest snapshot.
};

/**
 * Finds the target of a forwarded request in a snapshot.
 * @param aView The snapshot.
 * @param aRequest The request.
 * @return The target, or nothing when it takes no new work.
 */
std::optional<coordination::Choice>
findForwardedTarget(const state::ServingView& aView,
                    const transport::ForwardedRequest& aRequest);

} // namespace auburnhaven::app
