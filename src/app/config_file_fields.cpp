// Descriptors of all fields of a configuration file.

#include "app/config_file_fields.h"

#include <array>
#include <cstdio>

namespace auburnhaven::app {

namespace {

constexpr FieldRange kPriority{ -1000000, 1000000 }; ///< Priorities.
constexpr FieldRange kOffset{ -840, 840 };           ///< Minutes from UTC.
constexpr FieldRange kMilliseconds{ 1, 3600000 };    ///< Up to one hour.
constexpr FieldRange kPermille{ 1, 1000 };           ///< Shares.
constexpr FieldRange kSize{ 1, 10000 };              ///< Counts above zero.
constexpr FieldRange kRate{ 0, 100000000 };          ///< Rates.
constexpr FieldRange kSpares{ 0, 64 };               ///< Spare VMs.
constexpr FieldRange kHours{ 1, 720 };               ///< Up to 30 days.

constexpr auto kRequired = FieldNeed::kRequired;
constexpr auto kOptional = FieldNeed::kOptional;

constexpr std::array<std::string_view, 7> kWeekdays = { "mon", "tue", "wed",
                                                        "thu", "fri", "sat",
                                                        "sun" };
constexpr unsigned kMinutesPerHour = 60;  ///< Minutes of an hour.
constexpr unsigned kMinutesPerDay = 1440; ///< Minutes of a day.

} // namespace

void
WeekdaysCodec::read(const toml::node& aNode,
                    const FieldRange& aRange,
                    std::uint8_t& aValue,
                    FaultList& aFaults)
{
  std::vector<std::string> names;
  FieldCodec<std::vector<std::string>>::read(aNode, aRange, names, aFaults);
  for (const std::string& name : names) {
    unsigned bit = 0;
    while (bit < kWeekdays.size() && kWeekdays[bit] != name) {
      ++bit;
    }
    if (bit == kWeekdays.size()) {
      aFaults.add(aNode, "", "'" + name + "' is not one of mon to sun");
      continue;
    }
    aValue = static_cast<std::uint8_t>(aValue | (1U << bit));
  }
}

std::string
WeekdaysCodec::show(std::uint8_t aValue)
{
  std::string text;
  for (unsigned bit = 0; bit < kWeekdays.size(); ++bit) {
    if (((aValue >> bit) & 1U) != 0) {
      text += (text.empty() ? "\"" : ", \"") + std::string(kWeekdays[bit]);
      text += '"';
    }
  }
  return '[' + text + ']';
}

void
MinuteCodec::read(const toml::node& aNode,
                  const FieldRange& aRange,
                  std::uint16_t& aValue,
                  FaultList& aFaults)
{
  std::string text;
  FieldCodec<std::string>::read(aNode, aRange, text, aFaults);
  unsigned hour = 0;
  unsigned minute = 0;
  char rest = 0;
  const int read =
    std::sscanf(text.c_str(), "%2u:%2u%c", &hour, &minute, &rest);
  const unsigned value = hour * kMinutesPerHour + minute;
  if (read != 2 || minute >= kMinutesPerHour || value > kMinutesPerDay) {
    aFaults.add(aNode, "", "must be a time of day, hh:mm, up to 24:00");
    return;
  }
  aValue = static_cast<std::uint16_t>(value);
}

std::string
MinuteCodec::show(std::uint16_t aValue)
{
  std::array<char, 16> text{};
  std::snprintf(text.data(),
                text.size(),
                "\"%02u:%02u\"",
                aValue / kMinutesPerHour,
                aValue % kMinutesPerHour);
  return text.data();
}

namespace {

constexpr std::array kWindowFields = {
  field<&state::PriorityWindow::weekdays_, WeekdaysCodec>(
    "weekdays",
    kRequired,
    kNonEmpty,
    "days of the week on which it applies, mon to sun"),
  field<&state::PriorityWindow::fromMinute_, MinuteCodec>(
    "from",
    kRequired,
    kNonEmpty,
    "first minute, hh:mm"),
  field<&state::PriorityWindow::toMinute_, MinuteCodec>(
    "to",
    kRequired,
    kNonEmpty,
    "minute after the last one, hh:mm up to 24:00"),
  field<&state::PriorityWindow::utcOffsetMinutes_>(
    "utc_offset_minutes",
    kRequired,
    kOffset,
    "offset of the local time from UTC"),
  field<&state::PriorityWindow::priority_>(
    "priority",
    kRequired,
    kPriority,
    "priority in the window; greater goes first"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::PriorityWindow>>
fieldsOf<state::PriorityWindow>()
{
  return kWindowFields;
}

namespace {

constexpr std::array kKindFields = {
  field<&state::WorkKind::id_>("id",
                               kRequired,
                               kNonEmpty,
                               "name of the kind of work"),
  field<&state::WorkKind::priority_>(
    "priority",
    kOptional,
    kPriority,
    "priority outside the windows; greater goes first"),
  field<&state::WorkKind::windows_>("windows",
                                    kOptional,
                                    kAnyLength,
                                    "windows with another priority"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::WorkKind>>
fieldsOf<state::WorkKind>()
{
  return kKindFields;
}

namespace {

constexpr std::array kPromiseFields = {
  field<&state::Promise::firstToken_>("first_token_ms",
                                      kOptional,
                                      kMilliseconds,
                                      "limit for the first token"),
  field<&state::Promise::betweenTokens_>("between_tokens_ms",
                                         kOptional,
                                         kMilliseconds,
                                         "limit between two tokens"),
  field<&state::Promise::sharePermille_>(
    "share_permille",
    kOptional,
    kPermille,
    "requests in 1,000 of a minute within the limits"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::Promise>>
fieldsOf<state::Promise>()
{
  return kPromiseFields;
}

namespace {

constexpr std::array kGroupFields = {
  field<&state::ServingGroup::id_>("id",
                                   kRequired,
                                   kNonEmpty,
                                   "name of the serving group"),
  field<&state::ServingGroup::model_>("model",
                                      kRequired,
                                      kNonEmpty,
                                      "model, as callers give it"),
  field<&state::ServingGroup::version_>("version",
                                        kRequired,
                                        kNonEmpty,
                                        "version of the model"),
  field<&state::ServingGroup::adapters_>("adapters",
                                         kOptional,
                                         kAnyLength,
                                         "adapters to load"),
  field<&state::ServingGroup::accounts_>("accounts",
                                         kRequired,
                                         kNonEmpty,
                                         "client accounts served"),
  field<&state::ServingGroup::vmsPerCopy_>("vms_per_copy",
                                           kRequired,
                                           kSize,
                                           "VMs that one copy spans"),
  field<&state::ServingGroup::copies_>("copies",
                                       kRequired,
                                       kSize,
                                       "copies wanted"),
  field<&state::ServingGroup::priority_>(
    "priority",
    kOptional,
    kPriority,
    "priority between groups when VMs are short"),
  field<&state::ServingGroup::zones_>(
    "zones",
    kOptional,
    kAnyLength,
    "availability zones allowed; none for all"),
  field<&state::ServingGroup::promise_>("promise",
                                        kOptional,
                                        kAnyLength,
                                        "the promised worst minute"),
  field<&state::ServingGroup::kinds_>(
    "kinds",
    kRequired,
    kNonEmpty,
    "kinds of work; the first is the default"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::ServingGroup>>
fieldsOf<state::ServingGroup>()
{
  return kGroupFields;
}

namespace {

constexpr std::array kAccountFields = {
  field<&state::ClientAccount::id_>("id",
                                    kRequired,
                                    kNonEmpty,
                                    "name of the client account"),
  field<&state::ClientAccount::keyDigest_>(
    "key_sha256",
    kRequired,
    kNonEmpty,
    "SHA-256 of the bearer key in hexadecimal"),
  field<&state::ClientAccount::requestsPerSecond_>(
    "requests_per_second",
    kOptional,
    kRate,
    "limit over all daemons, 0 for none"),
  field<&state::ClientAccount::tokensPerSecond_>(
    "tokens_per_second",
    kOptional,
    kRate,
    "limit over all daemons, 0 for none"),
  field<&state::ClientAccount::weight_>("weight",
                                        kOptional,
                                        kSize,
                                        "fair share when targets are short"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::ClientAccount>>
fieldsOf<state::ClientAccount>()
{
  return kAccountFields;
}

namespace {

constexpr std::array kOperationFields = {
  field<&state::ServiceOperation::name_>("name",
                                         kRequired,
                                         kNonEmpty,
                                         "name of the operation"),
  field<&state::ServiceOperation::idempotent_>(
    "idempotent",
    kRequired,
    kNonEmpty,
    "whether a call may be repeated"),
  field<&state::ServiceOperation::timeout_>("timeout_ms",
                                            kOptional,
                                            kMilliseconds,
                                            "limit for one call"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::ServiceOperation>>
fieldsOf<state::ServiceOperation>()
{
  return kOperationFields;
}

namespace {

constexpr std::array kTargetFields = {
  field<&state::ServiceTarget::vm_>("vm", kRequired, kNonEmpty, "the VM"),
  field<&state::ServiceTarget::zone_>("zone",
                                      kRequired,
                                      kNonEmpty,
                                      "its availability zone"),
  field<&state::ServiceTarget::endpoint_>("endpoint",
                                          kRequired,
                                          kNonEmpty,
                                          "where it takes calls"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::ServiceTarget>>
fieldsOf<state::ServiceTarget>()
{
  return kTargetFields;
}

namespace {

constexpr std::array kServiceFields = {
  field<&state::PlainService::id_>("id",
                                   kRequired,
                                   kNonEmpty,
                                   "name of the service"),
  field<&state::PlainService::accounts_>("accounts",
                                         kRequired,
                                         kNonEmpty,
                                         "client accounts allowed"),
  field<&state::PlainService::operations_>(
    "operations",
    kOptional,
    kAnyLength,
    "operations; an unnamed one is not idempotent"),
  field<&state::PlainService::targets_>("targets",
                                        kRequired,
                                        kNonEmpty,
                                        "where the service runs"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::PlainService>>
fieldsOf<state::PlainService>()
{
  return kServiceFields;
}

namespace {

constexpr std::array kPolicyFields = {
  field<&state::SystemPolicy::sparesPerDomain_>(
    "spares_per_domain",
    kOptional,
    kSpares,
    "spare VMs kept in each fabric domain"),
  field<&state::SystemPolicy::reservesPerCopy_>(
    "reserves_per_copy",
    kOptional,
    kSpares,
    "spares reserved ahead to each copy"),
  field<&state::SystemPolicy::allowPreemption_>(
    "allow_preemption",
    kOptional,
    kNonEmpty,
    "whether a lesser copy gives up VMs for a greater one"),
  field<&state::SystemPolicy::claimRetention_>(
    "claim_retention_hours",
    kOptional,
    kHours,
    "how long an idempotency key is remembered"),
};

} // namespace

template<>
std::span<const FieldDescriptor<state::SystemPolicy>>
fieldsOf<state::SystemPolicy>()
{
  return kPolicyFields;
}

namespace {

constexpr std::array kFileFields = {
  field<&ConfigurationFile::policy_>("policy",
                                     kOptional,
                                     kAnyLength,
                                     "system-wide choices"),
  field<&ConfigurationFile::accounts_>("accounts",
                                       kOptional,
                                       kAnyLength,
                                       "client accounts"),
  field<&ConfigurationFile::groups_>("groups",
                                     kOptional,
                                     kAnyLength,
                                     "serving groups"),
  field<&ConfigurationFile::services_>("services",
                                       kOptional,
                                       kAnyLength,
                                       "plain services"),
};

} // namespace

template<>
std::span<const FieldDescriptor<ConfigurationFile>>
fieldsOf<ConfigurationFile>()
{
  return kFileFields;
}

} // namespace auburnhaven::app
