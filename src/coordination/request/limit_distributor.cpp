// Distributes the rate limits of client accounts among daemons by demand.

#include "coordination/request/limit_distributor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

constexpr double kDemandSmoothing = 0.5; ///< Weight of the newest interval.

/** @return JSON object of account to [requests, tokens] per second. */
std::string
encode(const UsageMap& aUsage)
{
  Json json = Json::object();
  for (const auto& [account, usage] : aUsage) {
    if (usage.requests_ > 0 || usage.tokens_ > 0) {
      json[account.value()] =
        Json::array({ std::ceil(usage.requests_), std::ceil(usage.tokens_) });
    }
  }
  return json.dump();
}

/** @return Decoded demand without the entries that are malformed. */
UsageMap
decode(const std::string& aPayload)
{
  UsageMap usage;
  const Json json = Json::parse(aPayload, nullptr, false);
  if (!json.is_object()) {
    return usage;
  }
  for (const auto& [account, numbers] : json.items()) {
    const bool valid = numbers.is_array() && numbers.size() == 2 &&
                       numbers[0].is_number() && numbers[1].is_number();
    if (valid) {
      usage[state::AccountId(account)] = {
        std::max(0.0, numbers[0].get<double>()),
        std::max(0.0, numbers[1].get<double>())
      };
    }
  }
  return usage;
}

/** @return Share of one daemon with demand aOwn out of a total of aAll. */
double
computeShare(double aOwn,
             double aAll,
             std::size_t aDaemons,
             double aEvenFraction)
{
  const double even = 1.0 / static_cast<double>(aDaemons);
  if (aAll <= 0) {
    return even;
  }
  return aEvenFraction * even + (1 - aEvenFraction) * aOwn / aAll;
}

} // namespace

LimitDistributor::LimitDistributor(SharedTable& aTable,
                                   AccountLimiter& aLimiter,
                                   const state::Clock& aClock,
                                   state::DaemonId aDaemon,
                                   state::Incarnation aIncarnation,
                                   LimitDistributorSettings aSettings)
  : table_(aTable)
  , limiter_(aLimiter)
  , clock_(aClock)
  , daemon_(std::move(aDaemon))
  , incarnation_(aIncarnation)
  , settings_(aSettings)
  , lastUpdate_(aClock.now())
{
}

void
LimitDistributor::setZoneFraction(double aFraction)
{
  zoneFraction_ = aFraction;
}

void
LimitDistributor::tick()
{
  const state::TimePoint now = clock_.now();
  if (now - lastUpdate_ < settings_.updateInterval_) {
    return;
  }
  const double seconds =
    std::chrono::duration<double>(now - lastUpdate_).count();
  lastUpdate_ = now;
  const UsageMap usage = limiter_.takeUsage();
  std::erase_if(
    demand_, [&](const auto& aItem) { return !usage.contains(aItem.first); });
  for (const auto& [account, used] : usage) {
    AccountUsage& demand = demand_[account];
    demand.requests_ +=
      kDemandSmoothing * (used.requests_ / seconds - demand.requests_);
    demand.tokens_ +=
      kDemandSmoothing * (used.tokens_ / seconds - demand.tokens_);
  }
  if (demandChanged() || now - lastPublished_ >= settings_.republishInterval_) {
    publish();
  }
  updateShares();
}

bool
LimitDistributor::demandChanged() const
{
  const auto differs = [this](double aNew, double aOld) {
    return std::abs(aNew - aOld) >
           1 + settings_.publishThreshold_ * std::max(aNew, aOld);
  };
  return std::any_of(demand_.begin(), demand_.end(), [&](const auto& aItem) {
    const auto found = published_.find(aItem.first);
    const AccountUsage old =
      found == published_.end() ? AccountUsage{} : found->second;
    return differs(aItem.second.requests_, old.requests_) ||
           differs(aItem.second.tokens_, old.tokens_);
  });
}

void
LimitDistributor::publish()
{
  SharedEntry entry;
  entry.key_ = { EntryKind::kUsage, daemon_.value() };
  entry.version_ = { incarnation_.value(), ++publishCount_ };
  entry.payload_ = encode(demand_);
  entry.observedAt_ = clock_.now();
  table_.publish(entry);
  published_ = demand_;
  lastPublished_ = entry.observedAt_;
}

void
LimitDistributor::updateShares()
{
  UsageMap all = published_;
  std::size_t daemons = 1;
  for (const SharedEntry& entry : table_.list(EntryKind::kUsage)) {
    const bool own = entry.key_.name_ == daemon_.value();
    if (own || clock_.now() - entry.observedAt_ > settings_.maxEntryAge_) {
      continue;
    }
    ++daemons;
    for (const auto& [account, usage] : decode(entry.payload_)) {
      all[account].requests_ += usage.requests_;
      all[account].tokens_ += usage.tokens_;
    }
  }
  // Uses the own demand as published, so that all daemons divide by equal sums.
  for (const auto& [account, own] : published_) {
    const AccountUsage& sum = all[account];
    limiter_.setShare(
      account,
      { zoneFraction_ *
          computeShare(
            own.requests_, sum.requests_, daemons, settings_.evenFraction_),
        zoneFraction_ *
          computeShare(
            own.tokens_, sum.tokens_, daemons, settings_.evenFraction_) });
  }
}

} // namespace auburnhaven::coordination
