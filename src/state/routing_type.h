// Configuration of routed services: routes, services, models and accounts.
#pragma once

#include "state/error_type.h"
#include "state/id_type.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::state {

using RouteId = NameId<struct RouteTag>; ///< A route.
using ModelId = NameId<struct ModelTag>; ///< A model.

using Milliseconds = std::chrono::milliseconds; ///< Whole milliseconds.
using FloatMs =
  std::chrono::duration<double, std::milli>; ///< Milliseconds with fractions.

/** What may be done with a request more than once. */
enum class RouteKind : std::uint8_t
{
  kIdempotent,    ///< May run more than once.
  kNonIdempotent, ///< Runs at most once.
  kStreaming,     ///< Answers a series of events; resumable by event id when
                  ///< the route says so, else runs at most once.
};

/** A service of a route and its share of the route's requests. */
struct WeightedService
{
  ServiceId service_; ///< The service.
  double weight_ = 1; ///< Share, relative to the others' weights.
  bool operator==(const WeightedService&) const = default;
};

/** A route: which requests go to which services, and how. */
struct Route
{
  RouteId id_;         ///< Name of the route.
  std::string host_;   ///< Host of the requests.
  std::string prefix_; ///< Path prefix; begins and ends with a slash.
  RouteKind kind_ = RouteKind::kNonIdempotent; ///< What may be repeated.
  bool resumable_ = false;    ///< Whether a stream may go on at another target.
  bool public_ = false;       ///< Whether requests need no key.
  Milliseconds timeout_{ 0 }; ///< Longest time for one request.
  Milliseconds latencyTarget_{ 0 }; ///< Aim for the answer or first event.
  std::uint32_t maxAttempts_ = 1; ///< Most targets that one request may run on.
  std::uint32_t priority_ = 0;    ///< Rank; 0 is the highest.
  std::vector<WeightedService> services_; ///< Services; not empty.
  bool operator==(const Route&) const = default;
};

/** A model of an engine service. */
struct ModelSpec
{
  ModelId id_;                 ///< Name of the model.
  std::uint32_t size_ = 1;     ///< VMs of one copy.
  double workShare_ = 0;       ///< Share of the service's work, 0 to 1.
  double pace_ = 1;            ///< Factor on all times of a copy.
  Milliseconds loadTime_{ 0 }; ///< Time to load from the weight store.
  Milliseconds warmTime_{ 0 }; ///< Time to load from the VM's host.
  bool operator==(const ModelSpec&) const = default;
};

/** How the engines of a service work. */
struct EngineSpec
{
  std::uint32_t batchSlots_ = 1; ///< Requests that run at once in a copy.
  FloatMs step_{ 0 };            ///< Time of a token step.
  FloatMs stepPerRequest_{ 0 };  ///< Added for each request that writes.
  FloatMs stepPerThousandContext_{
    0
  }; ///< Added for 1,000 tokens of context of each such request.
  std::uint32_t stepsPerPass_ = 1; ///< Token steps of a pass over all requests.
  std::uint32_t stepTokens_ = 1024; ///< Most prompt tokens read in a step.
  double promptTokensPerMs_ = 1;    ///< Prompt tokens read in a millisecond.
  FloatMs perMillionPairs_{ 0 };    ///< Added for a million pairs of tokens.
  std::uint32_t usualPrompt_ = 0;   ///< Mean prompt, in tokens.
  std::uint32_t usualAnswer_ = 0;   ///< Mean answer, in tokens.
  Milliseconds reportLag_{ 0 };     ///< How old what a report states may be.
  Milliseconds openTime_{ 0 };      ///< Time that a head takes to open.
  double loadsPerSecond_ = 1;       ///< Loads that may start in a second.
  std::uint32_t loadsAtOnce_ = 1;   ///< Loads that run at full speed at once.
  std::vector<ModelSpec> models_;   ///< Models of the service.
  bool operator==(const EngineSpec&) const = default;
};

/** A service behind routes. */
struct ServiceSpec
{
  ServiceId id_;                     ///< Name of the service.
  std::uint32_t maxConnections_ = 0; ///< Connections that a target accepts.
  std::optional<EngineSpec> engine_; ///< Present for model engines.
  bool operator==(const ServiceSpec&) const = default;
};

/** A client account and its keys. */
struct RoutedAccount
{
  AccountId id_;                  ///< Name of the account.
  std::vector<std::string> keys_; ///< Bearer keys that it holds.
  std::optional<std::uint32_t>
    priority_; ///< Rank of its requests; replaces the route's.
  bool operator==(const RoutedAccount&) const = default;
};

/** Limits towards callers. */
struct CallerLimits
{
  std::uint32_t headerBytes_ = 16 * 1024;        ///< Largest header.
  std::uint64_t bodyBytes_ = 4ULL * 1024 * 1024; ///< Largest body.
  Milliseconds headerTimeout_{ 10000 }; ///< For the arrival of a header.
  Milliseconds idleTimeout_{ 75000 };   ///< Between two requests.
  bool operator==(const CallerLimits&) const = default;
};

/** A whole configuration. Immutable; the greater version is the newer. */
struct RoutingConfig
{
  Generation version_;                ///< Version.
  std::vector<Route> routes_;         ///< Routes.
  std::vector<ServiceSpec> services_; ///< Services.
  std::optional<std::vector<RoutedAccount>>
    accounts_;          ///< Accounts; absent
                        ///< when no request needs a key.
  CallerLimits limits_; ///< Limits towards callers.
  bool operator==(const RoutingConfig&) const = default;
};

/** A configuration as decoded. */
struct DecodedRouting
{
  RoutingConfig config_;          ///< The configuration.
  std::vector<InputError> notes_; ///< Its values that another one replaces, or
                                  ///< that are left out.
  bool operator==(const DecodedRouting&) const = default;
};

using RoutingConfigPtr =
  std::shared_ptr<const RoutingConfig>; ///< Shared between threads.

} // namespace auburnhaven::state
