// Stand-in for the rate-limited store of model weights.

#include "weight_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace auburnhaven::standins {

using std::chrono::steady_clock;

namespace {

/** @return Time between two starts at a rate. */
std::chrono::nanoseconds
spaceOf(double aLoadsPerSecond)
{
  return std::chrono::nanoseconds(
    static_cast<std::int64_t>(1e9 / aLoadsPerSecond));
}

} // namespace

WeightStore::WeightStore(double aLoadsPerSecond)
  : space_(spaceOf(aLoadsPerSecond))
  , next_(steady_clock::now())
{
}

steady_clock::time_point
WeightStore::takePlace()
{
  const std::lock_guard lock(mutex_);
  const steady_clock::time_point start = std::max(next_, steady_clock::now());
  next_ = start + space_;
  ++loads_;
  return start;
}

void
WeightStore::handle(Exchange& aExchange)
{
  const auto request = aExchange.body().empty()
                         ? nlohmann::json::object()
                         : nlohmann::json::parse(aExchange.body());
  const double rate = request.value("loads_per_second", 0.0);
  std::uint64_t loads = 0;
  {
    const std::lock_guard lock(mutex_);
    space_ = rate > 0 ? spaceOf(rate) : space_;
    loads = loads_;
  }
  aExchange.reply(200, nlohmann::json{ { "loads", loads } }.dump());
}

} // namespace auburnhaven::standins
