// Passes callers' requests through to targets.
#pragma once

#include "coordination/request/retry_budget.h"
#include "coordination/routing/route_table.h"
#include "coordination/routing/target_pool.h"
#include "state/event_log.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/metrics.h"
#include "transport/relay/placement_client.h"
#include "transport/relay/relay_dialect.h"
#include "transport/snapshot_holder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace auburnhaven::transport {

using RouteTablePtr =
  std::shared_ptr<const coordination::RouteTable>; ///< Null before the first
                                                   ///< configuration.

/** Times of relayed requests. */
struct RelaySettings
{
  std::chrono::milliseconds connectTimeout_{ 150 }; ///< For a new connection.
  std::chrono::milliseconds monitorPeriod_{
    200
  }; ///< Between two looks whether a target still serves.
  std::chrono::milliseconds firstEventLimit_{
    3000
  }; ///< Silence before the first event after which a stream that may be
     ///< resumed goes to another target.
  std::chrono::milliseconds eventGapLimit_{
    1000
  }; ///< The same between two events.
  std::chrono::milliseconds resumePause_{
    60
  }; ///< Pause before a stream looks for another target again.
  std::chrono::milliseconds startRetryAfter_{
    500
  }; ///< Wait that is told before there is a configuration.
  std::chrono::milliseconds outdatedRetryAfter_{
    300
  }; ///< Wait that is told while a change is lacking.
  std::uint32_t maxRejections_ = 3; ///< Targets that may reject one request.
  bool operator==(const RelaySettings&) const = default;
};

/** What relayed requests need. All outlive the handler. */
struct RelayDependencies
{
  const state::Clock& clock_;         ///< Clock.
  coordination::TargetPool& targets_; ///< Choice of targets.
  coordination::RetryBudget& budget_; ///< Budget of repeated sends.
  const RelayDialect& dialect_;       ///< Headers.
  SnapshotHolder<coordination::RouteTable>& routes_;  ///< Routes in force.
  std::vector<std::unique_ptr<HttpClient>>& clients_; ///< One for each thread.
  state::EventLog& log_;                              ///< Log.
  Metrics& metrics_;                                  ///< Metrics.
  PlacementClient* placements_ =
    nullptr; ///< Asks dispatchers for targets; null to choose alone.
};

/** Passes callers' requests through to targets. */
class RelayHandler : public HttpHandler
{
public:
  /**
   * @param aDependencies What requests need.
   * @param aSettings Times.
   */
  RelayHandler(const RelayDependencies& aDependencies, RelaySettings aSettings);

  void handle(std::size_t aThread,
              const HttpRequest& aRequest,
              HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;
  /** From now on refuses requests as not run, because the daemon is about to
   * end. Thread-safe. */
  void refuseAll() { refusing_ = true; }
  /**
   * Refuses new requests as not run while the daemon knows that it lacks a
   * change that must be in force by now: it might use a withdrawn key, or a
   * target that leaves. Thread-safe.
   * @param aOutdated Whether it lacks one.
   */
  void setOutdated(bool aOutdated) { outdated_ = aOutdated; }
  /** @return Requests taken since the start. Thread-safe. */
  std::uint64_t requests() const { return requests_; }

private:
  RelayDependencies dependencies_;           ///< What requests need.
  RelaySettings settings_;                   ///< Times.
  std::atomic<bool> refusing_{ false };      ///< Whether requests are refused.
  std::atomic<bool> outdated_{ false };      ///< Whether a change is lacking.
  std::atomic<std::uint64_t> requests_{ 0 }; ///< Requests taken.
};

} // namespace auburnhaven::transport
