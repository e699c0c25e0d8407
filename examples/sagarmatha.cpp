// Configuration of a rota assistant for lifeguards beside a booking service.

#include "auburnhaven/operator.h"

#include <string>

using namespace auburnhaven;
using namespace auburnhaven::library;
using namespace std::chrono_literals;

namespace {

constexpr auto kNepalTime = 345min;                ///< Offset from UTC.
constexpr std::uint16_t kFirstServicePort = 21020; ///< Of the stand-ins.
constexpr auto kCallTimeout = 8s;                  ///< Limit for service calls.
constexpr std::size_t kBeaches = 10;               ///< Beaches.
const std::vector<std::string> kZones = { "thamel", "patan", "baneshwor" };

/** @return Names of the ten beaches' client accounts. */
std::vector<std::string>
beachNames()
{
  std::vector<std::string> names(kBeaches);
  for (std::size_t index = 0; index < kBeaches; ++index) {
    names[index] = "beach-" + std::to_string(index);
  }
  return names;
}

/** @return Shift plans, which come before all else ahead of the opening. */
KindBuilder
shiftPlans()
{
  return KindBuilder("shift-plan", 30)
    .window({ Weekday::kMonday,
              Weekday::kTuesday,
              Weekday::kWednesday,
              Weekday::kThursday,
              Weekday::kFriday,
              Weekday::kSaturday,
              Weekday::kSunday },
            { 4, 0 },
            { 8, 0 },
            kNepalTime,
            60);
}

/** @return The group that plans, explains and summarises. */
GroupBuilder
rotaAssistant()
{
  return GroupBuilder("rota", "rota-assistant", "7")
    .serves(beachNames())
    .kind(shiftPlans())
    .kind(KindBuilder("swap-explanation", 20))
    .kind(KindBuilder("incident-summary", 10))
    .copies(2, 4)
    .worstMinute(1800ms, 26ms, 950);
}

/** @return The booking service. */
ServiceBuilder
bookings()
{
  ServiceBuilder service("bookings");
  service.allows(beachNames())
    .idempotent("next-chair", kCallTimeout)
    .atMostOnce("confirm-swap", kCallTimeout)
    .atMostOnce("book-hours", kCallTimeout);
  std::uint16_t port = kFirstServicePort;
  for (const std::string& zone : kZones) {
    service.target("bookings-" + zone, zone, { "127.0.0.1", port++ });
  }
  return service;
}

/** @return Downtime weighs most: more spares, some reserved to each copy. */
state::SystemPolicy
policy()
{
  state::SystemPolicy policy;
  policy.sparesPerDomain_ = 2;
  policy.reservesPerCopy_ = 1;
  return policy;
}

} // namespace

/**
 * Prints the configuration.
 * @return 0, or 2 when the configuration has faults.
 */
int
main()
{
  ConfigurationBuilder configuration;
  configuration.policy(policy()).add(rotaAssistant()).add(bookings());
  for (const std::string& beach : beachNames()) {
    const bool large = beach == "beach-0" || beach == "beach-1";
    configuration.add(AccountBuilder(beach, digestOfKey("demo-key-of-" + beach))
                        .limits(large ? 400 : 100, 0)
                        .weight(large ? 4 : 1));
  }
  return printConfiguration(configuration);
}
