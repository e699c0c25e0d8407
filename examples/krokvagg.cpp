// Configuration of an assistant for shops: drafts, answers and summaries
// beside an order and stock service.

#include "auburnhaven/operator.h"

#include <cstdlib>
#include <string>

using namespace auburnhaven;
using namespace auburnhaven::library;
using namespace std::chrono_literals;

namespace {

constexpr auto kSwedishWinterTime = 60min;         ///< Offset from UTC.
constexpr std::uint16_t kFirstServicePort = 21020; ///< Of the demo.
constexpr auto kCallTimeout = 5s;                  ///< Limit for service calls.
constexpr std::size_t kShops = 10;                 ///< Shops.
const std::vector<std::string> kZones = { "malmo", "lund", "ystad" };

/** @return Names of the ten shops' client accounts. */
std::vector<std::string>
shopNames()
{
  std::vector<std::string> names(kShops);
  for (std::size_t index = 0; index < kShops; ++index) {
    names[index] = "shop-" + std::to_string(index);
  }
  return names;
}

/** @return Listing drafts, which come first on weekday mornings. */
KindBuilder
listingDrafts()
{
  return KindBuilder("listing-draft", 20)
    .window(kWorkdays, { 6, 0 }, { 12, 0 }, kSwedishWinterTime, 40);
}

/** @return The group that drafts, answers and summarises. */
GroupBuilder
assistant()
{
  return GroupBuilder("assistant", "shop-assistant", "2026.11")
    .adapters({ "hook-packs" })
    .serves(shopNames())
    .kind(KindBuilder("buyer-answer", 30))
    .kind(listingDrafts())
    .kind(KindBuilder("catalogue-summary", 10))
    .copies(2, 4)
    .priority(10)
    .worstMinute(1800ms, 26ms, 950);
}

/** @return The order and stock service. */
ServiceBuilder
orders()
{
  ServiceBuilder service("orders");
  service.allows(shopNames())
    .idempotent("lookup-order", kCallTimeout)
    .idempotent("lookup-catalogue", kCallTimeout)
    .atMostOnce("confirm", kCallTimeout)
    .atMostOnce("reserve-stock", kCallTimeout);
  std::uint16_t port = kFirstServicePort;
  for (const std::string& zone : kZones) {
    service.target("orders-" + zone, zone, { "127.0.0.1", port++ });
  }
  return service;
}

/** @return Idle accelerators weigh most: one spare a domain, preemption on. */
state::SystemPolicy
policy()
{
  state::SystemPolicy policy;
  policy.sparesPerDomain_ = 1;
  policy.allowPreemption_ = true;
  return policy;
}

} // namespace

/**
 * Prints the configuration. Each shop's key comes from the variable KEY_PREFIX,
 * followed by its name.
 * @return 0, or 2 when the configuration has faults.
 */
int
main()
{
  const char* prefix = std::getenv("KEY_PREFIX");
  const std::string keyPrefix = prefix == nullptr ? "demo-key-of-" : prefix;
  ConfigurationBuilder configuration;
  configuration.policy(policy()).add(assistant()).add(orders());
  for (const std::string& shop : shopNames()) {
    const bool large = shop == "shop-0" || shop == "shop-1";
    configuration.add(AccountBuilder(shop, digestOfKey(keyPrefix + shop))
                        .limits(large ? 400 : 100, 0)
                        .weight(large ? 4 : 1));
  }
  return printConfiguration(configuration);
}
