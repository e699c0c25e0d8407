// Prints a configuration as TOML.

#include "auburnhaven/operator.h"

#include <array>
#include <cstdio>
#include <sstream>
#include <string_view>

namespace auburnhaven::library {

namespace {

constexpr std::array<std::string_view, 7> kWeekdays = { "mon", "tue", "wed",
                                                        "thu", "fri", "sat",
                                                        "sun" };
constexpr unsigned kMinutesPerHour = 60; ///< Minutes of an hour.
constexpr char kFirstPrintable = ' ';    ///< Signs below it are escaped.

/** @return A string in quotes with its special signs escaped. */
std::string
quoted(std::string_view aText)
{
  std::string text = "\"";
  for (const char sign : aText) {
    if (sign == '"' || sign == '\\') {
      text += '\\';
    }
    const auto code = static_cast<unsigned char>(sign);
    if (code < static_cast<unsigned char>(kFirstPrintable) || code == 0x7f) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\u%04x", code);
      text += escape.data();
      continue;
    }
    text += sign;
  }
  return text + '"';
}

/** @return The text of a name or string. */
const std::string&
textOf(const std::string& aText)
{
  return aText;
}

/** @return The text of a name or string. */
template<class Tag>
const std::string&
textOf(const state::NameId<Tag>& aId)
{
  return aId.value();
}

/** @return A list of names or strings. */
template<class Item>
std::string
listOf(const std::vector<Item>& aItems)
{
  std::string text;
  for (const Item& item : aItems) {
    text += (text.empty() ? "" : ", ") + quoted(textOf(item));
  }
  return '[' + text + ']';
}

/** @return Days of a window. */
std::string
weekdaysOf(std::uint8_t aDays)
{
  std::vector<std::string> names;
  for (unsigned bit = 0; bit < kWeekdays.size(); ++bit) {
    if (((aDays >> bit) & 1U) != 0) {
      names.emplace_back(kWeekdays[bit]);
    }
  }
  return listOf(names);
}

/** @return A minute of the day as "hh:mm". */
std::string
timeOf(std::uint16_t aMinute)
{
  std::array<char, 16> text{};
  std::snprintf(text.data(),
                text.size(),
                "%02u:%02u",
                aMinute / kMinutesPerHour,
                aMinute % kMinutesPerHour);
  return quoted(text.data());
}

/** @return An endpoint; IPv6 numbers stand in brackets. */
std::string
endpointOf(const state::Endpoint& aEndpoint)
{
  const bool bracketed = aEndpoint.address_.find(':') != std::string::npos;
  const std::string address =
    bracketed ? '[' + aEndpoint.address_ + ']' : aEndpoint.address_;
  return quoted(address + ':' + std::to_string(aEndpoint.port_));
}

/** Prints the system-wide choices. */
void
print(std::ostream& aOut, const state::SystemPolicy& aPolicy)
{
  aOut << "[policy]\n"
       << "spares_per_domain = " << aPolicy.sparesPerDomain_ << '\n'
       << "reserves_per_copy = " << aPolicy.reservesPerCopy_ << '\n'
       << "allow_preemption = " << (aPolicy.allowPreemption_ ? "true" : "false")
       << '\n'
       << "claim_retention_hours = " << aPolicy.claimRetention_.count() << '\n';
}

/** Prints one client account. */
void
print(std::ostream& aOut, const state::ClientAccount& aAccount)
{
  aOut << "\n[[accounts]]\n"
       << "id = " << quoted(aAccount.id_.value()) << '\n'
       << "key_sha256 = " << quoted(aAccount.keyDigest_) << '\n'
       << "requests_per_second = " << aAccount.requestsPerSecond_ << '\n'
       << "tokens_per_second = " << aAccount.tokensPerSecond_ << '\n'
       << "weight = " << aAccount.weight_ << '\n';
}

/** Prints one kind of work of the group printed before. */
void
print(std::ostream& aOut, const state::WorkKind& aKind)
{
  aOut << "\n[[groups.kinds]]\n"
       << "id = " << quoted(aKind.id_.value()) << '\n'
       << "priority = " << aKind.priority_ << '\n';
  for (const state::PriorityWindow& window : aKind.windows_) {
    aOut << "\n[[groups.kinds.windows]]\n"
         << "weekdays = " << weekdaysOf(window.weekdays_) << '\n'
         << "from = " << timeOf(window.fromMinute_) << '\n'
         << "to = " << timeOf(window.toMinute_) << '\n'
         << "utc_offset_minutes = " << window.utcOffsetMinutes_ << '\n'
         << "priority = " << window.priority_ << '\n';
  }
}

/** Prints one serving group. */
void
print(std::ostream& aOut, const state::ServingGroup& aGroup)
{
  aOut << "\n[[groups]]\n"
       << "id = " << quoted(aGroup.id_.value()) << '\n'
       << "model = " << quoted(aGroup.model_) << '\n'
       << "version = " << quoted(aGroup.version_) << '\n'
       << "adapters = " << listOf(aGroup.adapters_) << '\n'
       << "accounts = " << listOf(aGroup.accounts_) << '\n'
       << "vms_per_copy = " << aGroup.vmsPerCopy_ << '\n'
       << "copies = " << aGroup.copies_ << '\n'
       << "priority = " << aGroup.priority_ << '\n'
       << "zones = " << listOf(aGroup.zones_) << '\n'
       << "\n[groups.promise]\n"
       << "first_token_ms = " << aGroup.promise_.firstToken_.count() << '\n'
       << "between_tokens_ms = " << aGroup.promise_.betweenTokens_.count()
       << '\n'
       << "share_permille = " << aGroup.promise_.sharePermille_ << '\n';
  for (const state::WorkKind& kind : aGroup.kinds_) {
    print(aOut, kind);
  }
}

/** Prints one plain service. */
void
print(std::ostream& aOut, const state::PlainService& aService)
{
  aOut << "\n[[services]]\n"
       << "id = " << quoted(aService.id_.value()) << '\n'
       << "accounts = " << listOf(aService.accounts_) << '\n';
  for (const state::ServiceOperation& operation : aService.operations_) {
    aOut << "\n[[services.operations]]\n"
         << "name = " << quoted(operation.name_) << '\n'
         << "idempotent = " << (operation.idempotent_ ? "true" : "false")
         << '\n'
         << "timeout_ms = " << operation.timeout_.count() << '\n';
  }
  for (const state::ServiceTarget& target : aService.targets_) {
    aOut << "\n[[services.targets]]\n"
         << "vm = " << quoted(target.vm_.value()) << '\n'
         << "zone = " << quoted(target.zone_.value()) << '\n'
         << "endpoint = " << endpointOf(target.endpoint_) << '\n';
  }
}

} // namespace

std::string
toToml(const state::Configuration& aConfiguration)
{
  std::ostringstream out;
  print(out, aConfiguration.policy_);
  for (const auto& [id, account] : aConfiguration.accounts_) {
    print(out, account);
  }
  for (const auto& [id, group] : aConfiguration.groups_) {
    print(out, group);
  }
  for (const auto& [id, service] : aConfiguration.services_) {
    print(out, service);
  }
  return out.str();
}

} // namespace auburnhaven::library
