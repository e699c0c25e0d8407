// Operator library: builds a configuration and prints it as TOML.
#pragma once

#include "state/config_type.h"
#include "state/error_type.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

namespace auburnhaven::library {

/** Day of the week as a bit of state::PriorityWindow::weekdays_. */
enum class Weekday : std::uint8_t
{
  kMonday,
  kTuesday,
  kWednesday,
  kThursday,
  kFriday,
  kSaturday,
  kSunday,
};

/** A time of day. */
struct TimeOfDay
{
  std::uint16_t hour_ = 0;   ///< 0 to 24.
  std::uint16_t minute_ = 0; ///< 0 to 59.
  bool operator==(const TimeOfDay&) const = default;
};

inline constexpr std::initializer_list<Weekday> kWorkdays = {
  Weekday::kMonday,
  Weekday::kTuesday,
  Weekday::kWednesday,
  Weekday::kThursday,
  Weekday::kFriday
}; ///< Monday to Friday.

/** Builds one kind of work. Not thread-safe. */
class KindBuilder
{
public:
  /**
   * @param aId Name, as callers give it.
   * @param aPriority Priority outside all windows; greater goes first.
   */
  KindBuilder(std::string aId, std::int32_t aPriority);
  /**
   * Adds a window with another priority.
   * @param aDays Days on which it applies.
   * @param aFrom First minute.
   * @param aTo Minute after the last one, after aFrom.
   * @param aUtcOffset Offset of the local time from UTC.
   * @param aPriority Priority in the window.
   * @return This builder.
   */
  KindBuilder& window(const std::vector<Weekday>& aDays,
                      TimeOfDay aFrom,
                      TimeOfDay aTo,
                      std::chrono::minutes aUtcOffset,
                      std::int32_t aPriority);
  /** @return The kind of work. */
  const state::WorkKind& build() const { return kind_; }

private:
  state::WorkKind kind_; ///< The kind in progress.
};

/** Builds one serving group. Not thread-safe. */
class GroupBuilder
{
public:
  /**
   * @param aId Name of the group.
   * @param aModel Model, as callers give it.
   * @param aVersion Version of the model.
   */
  GroupBuilder(std::string aId, std::string aModel, std::string aVersion);
  /** @param aAdapters Adapters to load. @return This builder. */
  GroupBuilder& adapters(std::vector<std::string> aAdapters);
  /** @param aAccounts Client accounts served. @return This builder. */
  GroupBuilder& serves(const std::vector<std::string>& aAccounts);
  /** @param aKind Kind of work; the first is the default. @return This
   * builder. */
  GroupBuilder& kind(const KindBuilder& aKind);
  /**
   * @param aCopies Copies wanted.
   * @param aVmsPerCopy VMs that each spans.
   * @return This builder.
   */
  GroupBuilder& copies(std::uint32_t aCopies, std::uint32_t aVmsPerCopy);
  /** @param aPriority Priority when VMs are short. @return This builder. */
  GroupBuilder& priority(std::int32_t aPriority);
  /** @param aZones Availability zones allowed. @return This builder. */
  GroupBuilder& zones(const std::vector<std::string>& aZones);
  /**
   * Promises the worst minute.
   * @param aFirstToken Limit for the first token.
   * @param aBetweenTokens Limit between two tokens.
   * @param aSharePermille Requests in 1,000 of a minute within both.
   * @return This builder.
   */
  GroupBuilder& worstMinute(std::chrono::milliseconds aFirstToken,
                            std::chrono::milliseconds aBetweenTokens,
                            std::uint32_t aSharePermille);
  /** @return The group. */
  const state::ServingGroup& build() const { return group_; }

private:
  state::ServingGroup group_; ///< The group in progress.
};

/** Builds one client account. Not thread-safe. */
class AccountBuilder
{
public:
  /**
   * @param aId Name of the account.
   * @param aKeyDigest SHA-256 of its bearer key, see digestOfKey().
   */
  AccountBuilder(std::string aId, std::string aKeyDigest);
  /**
   * Limits the account over all daemons.
   * @param aRequestsPerSecond Requests, 0 for no limit.
   * @param aTokensPerSecond Tokens, 0 for no limit.
   * @return This builder.
   */
  AccountBuilder& limits(std::uint32_t aRequestsPerSecond,
                         std::uint32_t aTokensPerSecond);
  /** @param aWeight Fair share when targets are short. @return This builder. */
  AccountBuilder& weight(std::uint32_t aWeight);
  /** @return The account. */
  const state::ClientAccount& build() const { return account_; }

private:
  state::ClientAccount account_; ///< The account in progress.
};

/** Builds one plain service. Not thread-safe. */
class ServiceBuilder
{
public:
  /** @param aId Name of the service. */
  explicit ServiceBuilder(std::string aId);
  /** @param aAccounts Client accounts allowed. @return This builder. */
  ServiceBuilder& allows(const std::vector<std::string>& aAccounts);
  /**
   * Adds an operation that may be repeated.
   * @param aName Name in the path.
   * @param aTimeout Limit for one call.
   * @return This builder.
   */
  ServiceBuilder& idempotent(std::string aName,
                             std::chrono::milliseconds aTimeout);
  /**
   * Adds an operation that runs at most once for each idempotency key.
   * @param aName Name in the path.
   * @param aTimeout Limit for one call.
   * @return This builder.
   */
  ServiceBuilder& atMostOnce(std::string aName,
                             std::chrono::milliseconds aTimeout);
  /**
   * Adds a target.
   * @param aVm The VM.
   * @param aZone Its availability zone.
   * @param aEndpoint Where it takes calls.
   * @return This builder.
   */
  ServiceBuilder& target(std::string aVm,
                         std::string aZone,
                         state::Endpoint aEndpoint);
  /** @return The service. */
  const state::PlainService& build() const { return service_; }

private:
  state::PlainService service_; ///< The service in progress.
};

/** Builds a whole configuration. Not thread-safe. */
class ConfigurationBuilder
{
public:
  /** @param aPolicy System-wide choices. @return This builder. */
  ConfigurationBuilder& policy(const state::SystemPolicy& aPolicy);
  /** @param aAccount A client account. @return This builder. */
  ConfigurationBuilder& add(const AccountBuilder& aAccount);
  /** @param aGroup A serving group. @return This builder. */
  ConfigurationBuilder& add(const GroupBuilder& aGroup);
  /** @param aService A plain service. @return This builder. */
  ConfigurationBuilder& add(const ServiceBuilder& aService);
  /** @return The configuration with generation 0. */
  const state::Configuration& build() const { return configuration_; }
  /** @return Faults of the configuration, names used twice included. */
  std::vector<state::InputError> faults() const;

private:
  state::Configuration configuration_;     ///< In progress.
  std::vector<state::InputError> doubled_; ///< Names used twice.
};

/**
 * Digests a bearer key, so that the configuration need not hold it.
 * Thread-safe.
 * @param aKey The key that the client account sends.
 * @return SHA-256 in hexadecimal.
 */
std::string
digestOfKey(const std::string& aKey);

/**
 * Prints a configuration as the TOML that `auburnhaven config submit` takes.
 * Equal configurations give equal texts. Thread-safe.
 * @param aConfiguration The configuration; its generation is not printed.
 * @return The text.
 */
std::string
toToml(const state::Configuration& aConfiguration);

/**
 * Prints a configuration to standard output, or its faults to standard error.
 * The main function of an operator's program may return the result.
 * @param aBuilder The configuration.
 * @return 0, or 2 when the configuration has faults.
 */
int
printConfiguration(const ConfigurationBuilder& aBuilder);

} // namespace auburnhaven::library
