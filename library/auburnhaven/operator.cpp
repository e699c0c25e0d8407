// Operator library: builds a configuration and prints it as TOML.

#include "auburnhaven/operator.h"

#include "state/config_check.h"
#include "state/digest_func.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace auburnhaven::library {

namespace {

/** @return Identifiers of names, sorted. */
template<class Id>
std::vector<Id>
toIds(const std::vector<std::string>& aNames)
{
  std::vector<Id> ids;
  ids.reserve(aNames.size());
  for (const std::string& name : aNames) {
    ids.emplace_back(name);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

/** @return Minute of the day. */
std::uint16_t
minuteOf(TimeOfDay aTime)
{
  constexpr int kMinutesPerHour = 60;
  return static_cast<std::uint16_t>(aTime.hour_ * kMinutesPerHour +
                                    aTime.minute_);
}

} // namespace

KindBuilder::KindBuilder(std::string aId, std::int32_t aPriority)
{
  kind_.id_ = state::WorkKindId(std::move(aId));
  kind_.priority_ = aPriority;
}

KindBuilder&
KindBuilder::window(const std::vector<Weekday>& aDays,
                    TimeOfDay aFrom,
                    TimeOfDay aTo,
                    std::chrono::minutes aUtcOffset,
                    std::int32_t aPriority)
{
  state::PriorityWindow window;
  for (const Weekday day : aDays) {
    const unsigned bit = 1U << static_cast<unsigned>(day);
    window.weekdays_ = static_cast<std::uint8_t>(window.weekdays_ | bit);
  }
  window.fromMinute_ = minuteOf(aFrom);
  window.toMinute_ = minuteOf(aTo);
  window.utcOffsetMinutes_ = static_cast<std::int16_t>(aUtcOffset.count());
  window.priority_ = aPriority;
  kind_.windows_.push_back(window);
  return *this;
}

GroupBuilder::GroupBuilder(std::string aId,
                           std::string aModel,
                           std::string aVersion)
{
  group_.id_ = state::GroupId(std::move(aId));
  group_.model_ = std::move(aModel);
  group_.version_ = std::move(aVersion);
}

GroupBuilder&
GroupBuilder::adapters(std::vector<std::string> aAdapters)
{
  std::sort(aAdapters.begin(), aAdapters.end());
  group_.adapters_ = std::move(aAdapters);
  return *this;
}

GroupBuilder&
GroupBuilder::serves(const std::vector<std::string>& aAccounts)
{
  group_.accounts_ = toIds<state::AccountId>(aAccounts);
  return *this;
}

GroupBuilder&
GroupBuilder::kind(const KindBuilder& aKind)
{
  group_.kinds_.push_back(aKind.build());
  return *this;
}

GroupBuilder&
GroupBuilder::copies(std::uint32_t aCopies, std::uint32_t aVmsPerCopy)
{
  group_.copies_ = aCopies;
  group_.vmsPerCopy_ = aVmsPerCopy;
  return *this;
}

GroupBuilder&
GroupBuilder::priority(std::int32_t aPriority)
{
  group_.priority_ = aPriority;
  return *this;
}

GroupBuilder&
GroupBuilder::zones(const std::vector<std::string>& aZones)
{
  group_.zones_ = toIds<state::ZoneId>(aZones);
  return *this;
}

GroupBuilder&
GroupBuilder::worstMinute(std::chrono::milliseconds aFirstToken,
                          std::chrono::milliseconds aBetweenTokens,
                          std::uint32_t aSharePermille)
{
  group_.promise_ = { aFirstToken, aBetweenTokens, aSharePermille };
  return *this;
}

AccountBuilder::AccountBuilder(std::string aId, std::string aKeyDigest)
{
  account_.id_ = state::AccountId(std::move(aId));
  account_.keyDigest_ = std::move(aKeyDigest);
}

AccountBuilder&
AccountBuilder::limits(std::uint32_t aRequestsPerSecond,
                       std::uint32_t aTokensPerSecond)
{
  account_.requestsPerSecond_ = aRequestsPerSecond;
  account_.tokensPerSecond_ = aTokensPerSecond;
  return *this;
}

AccountBuilder&
AccountBuilder::weight(std::uint32_t aWeight)
{
  account_.weight_ = aWeight;
  return *this;
}

ServiceBuilder::ServiceBuilder(std::string aId)
{
  service_.id_ = state::ServiceId(std::move(aId));
}

ServiceBuilder&
ServiceBuilder::allows(const std::vector<std::string>& aAccounts)
{
  service_.accounts_ = toIds<state::AccountId>(aAccounts);
  return *this;
}

ServiceBuilder&
ServiceBuilder::idempotent(std::string aName,
                           std::chrono::milliseconds aTimeout)
{
  service_.operations_.push_back({ std::move(aName), true, aTimeout });
  return *this;
}

ServiceBuilder&
ServiceBuilder::atMostOnce(std::string aName,
                           std::chrono::milliseconds aTimeout)
{
  service_.operations_.push_back({ std::move(aName), false, aTimeout });
  return *this;
}

ServiceBuilder&
ServiceBuilder::target(std::string aVm,
                       std::string aZone,
                       state::Endpoint aEndpoint)
{
  service_.targets_.push_back({ state::VmId(std::move(aVm)),
                                state::ZoneId(std::move(aZone)),
                                std::move(aEndpoint) });
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::policy(const state::SystemPolicy& aPolicy)
{
  configuration_.policy_ = aPolicy;
  return *this;
}

namespace {

/** Puts an object into a map and notes a name that was there before. */
template<class Id, class Object>
void
put(std::map<Id, Object>& aMap,
    const Object& aObject,
    const std::string& aKey,
    std::vector<state::InputError>& aDoubled)
{
  if (!aMap.emplace(aObject.id_, aObject).second) {
    const std::string path = aKey + '.' + aObject.id_.value() + ".id";
    aDoubled.push_back({ "", 0, path, "occurs twice" });
  }
}

} // namespace

ConfigurationBuilder&
ConfigurationBuilder::add(const AccountBuilder& aAccount)
{
  put(configuration_.accounts_, aAccount.build(), "accounts", doubled_);
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::add(const GroupBuilder& aGroup)
{
  put(configuration_.groups_, aGroup.build(), "groups", doubled_);
  return *this;
}

ConfigurationBuilder&
ConfigurationBuilder::add(const ServiceBuilder& aService)
{
  put(configuration_.services_, aService.build(), "services", doubled_);
  return *this;
}

std::vector<state::InputError>
ConfigurationBuilder::faults() const
{
  std::vector<state::InputError> errors = doubled_;
  for (state::InputError& error : state::checkConfiguration(configuration_)) {
    errors.push_back(std::move(error));
  }
  return errors;
}

std::string
digestOfKey(const std::string& aKey)
{
  return state::sha256Hex(aKey);
}

int
printConfiguration(const ConfigurationBuilder& aBuilder)
{
  const std::vector<state::InputError> faults = aBuilder.faults();
  for (const state::InputError& error : faults) {
    std::cerr << error.key_ << ": " << error.message_ << '\n';
  }
  if (!faults.empty()) {
    return 2;
  }
  std::cout << toToml(aBuilder.build());
  return 0;
}

} // namespace auburnhaven::library
