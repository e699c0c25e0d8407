// Forwards callers' requests to targets.
#pragma once

#include "coordination/quarantine/crash_observer.h"
#include "coordination/quarantine/prompt_quarantine.h"
#include "coordination/request/response_memory.h"
#include "coordination/request/retry_budget.h"
#include "coordination/routing/route_table.h"
#include "coordination/routing/stream_activity.h"
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
#include <mutex>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhaven::transport {

using RouteTablePtr =
  std::shared_ptr<const coordination::RouteTable>; ///< Null before the first
                                                   ///< configuration.

/**
 * Timeouts and limits of relayed requests. The two event limits apply only
 * while a retry at another target is possible; otherwise a stream may be silent
 * until its deadline.
 */
struct RelaySettings
{
  std::chrono::milliseconds connectTimeout_{ 150 }; ///< For a new
                                                    ///< connection.
  std::chrono::milliseconds monitorPeriod_{
    200
  }; ///< Interval of the checks whether a target still serves.
  std::chrono::milliseconds firstEventLimit_{
    3000
  }; ///< Time without a first event after which a resumable stream is sent to
     ///< another target; three times the expected delay if that is longer.
  std::chrono::milliseconds eventGapLimit_{
    1000
  }; ///< Time between two events after which a resumable stream is resumed from
     ///< another target.
  std::chrono::milliseconds resumePause_{
    60
  }; ///< Delay between attempts to find a target from which to resume a stream.
  std::chrono::milliseconds startRetryAfter_{
    500
  }; ///< Retry-After before the first configuration is loaded; half of it for
     ///< requests that no target ran.
  std::chrono::milliseconds outdatedRetryAfter_{
    300
  }; ///< Retry-After while this daemon lacks a change of the configuration.
  std::uint32_t maxRejections_ =
    3; ///< Sends that did not run the request after which the relay gives up.
  bool operator==(const RelaySettings&) const = default;
};

/** Dependencies of relayed requests. All must outlive the handler. */
struct RelayDependencies
{
  const state::Clock& clock_;         ///< Clock.
  coordination::TargetPool& targets_; ///< Chooses targets.
  coordination::RetryBudget& budget_; ///< Limits retries.
  const RelayDialect& dialect_;       ///< Reads and writes headers.
  SnapshotHolder<coordination::RouteTable>& routes_;  ///< Routes in force.
  std::vector<std::unique_ptr<HttpClient>>& clients_; ///< One per thread.
  state::EventLog& log_;                              ///< Event log.
  Metrics& metrics_;                                  ///< Metrics.
  PlacementClient* placements_ =
    nullptr; ///< Asks dispatchers for targets; null to choose without them.
  coordination::StreamActivity* activity_ =
    nullptr; ///< Records events of streams; null to record none.
  const coordination::PromptQuarantine* quarantine_ =
    nullptr; ///< Prompt parts that are not sent; null for none.
  coordination::CrashObserver* crashes_ =
    nullptr; ///< Takes lost and answered requests; null to take none.
  coordination::ResponseMemory* responses_ =
    nullptr; ///< Bounds the responses that arrive; null for no bound.
};

class RelayExchange;

/** Forwards callers' requests to targets. */
class RelayHandler : public HttpHandler
{
public:
  /**
   * @param aDependencies Dependencies of the requests.
   * @param aSettings Timeouts and limits.
   */
  RelayHandler(const RelayDependencies& aDependencies, RelaySettings aSettings);

  void handle(std::size_t aThread,
              const HttpRequest& aRequest,
              HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override;
  /** Refuses all further requests as not run, because the daemon shuts down.
   * Thread-safe. */
  void refuseAll() { refusing_ = true; }
  /**
   * Refuses new requests as not run while the daemon knows that it lacks a
   * change that must be in force by now. Otherwise it might accept a revoked
   * key or use a target that is shutting down. Thread-safe.
   * @param aOutdated Whether it lacks such a change.
   */
  void setOutdated(bool aOutdated) { outdated_ = aOutdated; }
  /** @return Requests received since the start. Thread-safe. */
  std::uint64_t requests() const { return requests_; }
  /**
   * Logs each request of a traffic thread that has no final response yet. Call
   * on that thread.
   * @param aThread Index of the traffic thread.
   * @param aEvent Event of the log records.
   */
  void logOpenRequests(std::size_t aThread, std::string_view aEvent) const;
  /**
   * Lets each request of a traffic thread that waits for its target check again
   * whether it may go on. Call on that thread.
   * @param aThread Index of the traffic thread.
   */
  void wakeOpenRequests(std::size_t aThread) const;
  /**
   * Gives up each request of a traffic thread that has no final response yet,
   * because the daemon stops. Call on that thread.
   * @param aThread Index of the traffic thread.
   */
  void giveUpOpenRequests(std::size_t aThread) const;

private:
  class OpenRequest;
  using OpenEntry =
    std::pair<std::size_t, RelayExchange*>; ///< Thread and request.

  void forEachOpen(std::size_t aThread,
                   const std::function<void(RelayExchange&)>& aVisit) const;

  RelayDependencies dependencies_;           ///< Dependencies of the requests.
  RelaySettings settings_;                   ///< Timeouts and limits.
  std::atomic<bool> refusing_{ false };      ///< Set by refuseAll().
  std::atomic<bool> outdated_{ false };      ///< Set by setOutdated().
  std::atomic<std::uint64_t> requests_{ 0 }; ///< Requests received.
  mutable std::mutex openMutex_;             ///< Guards the following member.
  std::set<OpenEntry> open_; ///< Requests without a final response.
};

} // namespace auburnhaven::transport
