// Checks that a configuration makes sense as a whole.

#include "state/config_check.h"

#include <algorithm>
#include <bitset>
#include <set>
#include <string>

namespace auburnhaven::state {

namespace {

constexpr std::size_t kMaxNameLength = 128;       ///< Longest name.
constexpr std::uint32_t kMaxVmsPerCopy = 1024;    ///< Most VMs of a copy.
constexpr std::uint32_t kMaxCopies = 10000;       ///< Most copies of a group.
constexpr std::uint32_t kMaxSparesPerDomain = 64; ///< Most spares of a domain.
constexpr std::uint32_t kMaxReservesPerCopy = 16; ///< Most reserves of a copy.
constexpr std::uint32_t kWholePermille = 1000;    ///< All requests.
constexpr std::size_t kDigestLength = 64;         ///< SHA-256 in hexadecimal.
constexpr int kMinutesPerDay = 1440;              ///< Minutes of a day.
constexpr int kDaysPerWeek = 7;                   ///< Days of a week.
constexpr int kMinutesPerWeek = kMinutesPerDay * kDaysPerWeek; ///< Of a week.
constexpr int kMaxUtcOffset = 14 * 60; ///< Greatest offset in minutes.

using Week = std::bitset<kMinutesPerWeek>; ///< Minutes of a week in UTC.

/** Collects faults below one object of the configuration. */
class Check
{
public:
  /**
   * @param aPath Key path of the object.
   * @param aErrors Takes the faults.
   */
  Check(std::string aPath, std::vector<InputError>& aErrors)
    : path_(std::move(aPath))
    , errors_(aErrors)
  {
  }
  /** Adds a fault of a field unless the condition holds. */
  void require(bool aHolds,
               const std::string& aField,
               const std::string& aMessage) const
  {
    if (!aHolds) {
      errors_.push_back({ "", 0, path_ + '.' + aField, aMessage });
    }
  }
  /** Adds a fault unless a text is a name. */
  void name(const std::string& aName, const std::string& aField) const
  {
    const bool valid =
      !aName.empty() && aName.size() <= kMaxNameLength &&
      std::all_of(aName.begin(), aName.end(), [](char aSign) {
        return std::isalnum(static_cast<unsigned char>(aSign)) != 0 ||
               std::string("._-").find(aSign) != std::string::npos;
      });
    require(valid,
            aField,
            "'" + aName + "' must be 1 to 128 letters, digits, '.', '_', '-'");
  }
  /** Adds a fault for each value that a list holds twice. */
  template<class Value>
  void distinct(const std::vector<Value>& aValues,
                const std::string& aField) const
  {
    std::set<Value> seen;
    for (const Value& value : aValues) {
      require(seen.insert(value).second, aField, "holds a value twice");
    }
  }

private:
  std::string path_;                ///< Key path of the object.
  std::vector<InputError>& errors_; ///< Takes the faults.
};

/** Checks that accounts exist and are named once. */
void
checkAccounts(const Configuration& aConfiguration,
              const std::vector<AccountId>& aAccounts,
              const Check& aCheck)
{
  aCheck.require(!aAccounts.empty(), "accounts", "names no client account");
  aCheck.distinct(aAccounts, "accounts");
  for (const AccountId& account : aAccounts) {
    aCheck.require(aConfiguration.accounts_.count(account) > 0,
                   "accounts",
                   "names unknown client account '" + account.value() + "'");
  }
}

/** @return Minutes of the week in UTC in which a window applies. */
Week
minutesOf(const PriorityWindow& aWindow)
{
  Week week;
  for (int day = 0; day < kDaysPerWeek; ++day) {
    if (((aWindow.weekdays_ >> static_cast<unsigned>(day)) & 1U) == 0) {
      continue;
    }
    for (int minute = aWindow.fromMinute_; minute < aWindow.toMinute_;
         ++minute) {
      const int utc = day * kMinutesPerDay + minute - aWindow.utcOffsetMinutes_;
      const int wrapped = (utc + kMinutesPerWeek) % kMinutesPerWeek;
      week.set(static_cast<std::size_t>(wrapped));
    }
  }
  return week;
}

/** Checks the windows of one kind of work. */
void
checkWindows(const WorkKind& aKind, const Check& aCheck)
{
  const std::string field = "kinds." + aKind.id_.value() + ".windows";
  Week taken;
  for (const PriorityWindow& window : aKind.windows_) {
    const bool ordered = window.fromMinute_ < window.toMinute_ &&
                         window.toMinute_ <= kMinutesPerDay;
    const bool offset = std::abs(window.utcOffsetMinutes_) <= kMaxUtcOffset;
    aCheck.require(window.weekdays_ != 0 && window.weekdays_ < 128,
                   field,
                   "a window names no weekday");
    aCheck.require(ordered, field, "a window must start before its end");
    aCheck.require(offset, field, "the offset from UTC is above 14 hours");
    if (!ordered || !offset) {
      continue;
    }
    const Week week = minutesOf(window);
    aCheck.require((taken & week).none(), field, "two windows overlap");
    taken |= week;
  }
}

/** Checks the kinds of work of a group. */
void
checkKinds(const ServingGroup& aGroup, const Check& aCheck)
{
  aCheck.require(!aGroup.kinds_.empty(), "kinds", "names no kind of work");
  std::set<WorkKindId> seen;
  for (const WorkKind& kind : aGroup.kinds_) {
    aCheck.name(kind.id_.value(), "kinds");
    aCheck.require(seen.insert(kind.id_).second,
                   "kinds",
                   "names '" + kind.id_.value() + "' twice");
    checkWindows(kind, aCheck);
  }
}

/** Checks the promise of a group. */
void
checkPromise(const Promise& aPromise, const Check& aCheck)
{
  aCheck.require(aPromise.firstToken_.count() > 0,
                 "promise.first_token_ms",
                 "must be above 0");
  aCheck.require(aPromise.betweenTokens_.count() > 0,
                 "promise.between_tokens_ms",
                 "must be above 0");
  aCheck.require(aPromise.sharePermille_ > 0 &&
                   aPromise.sharePermille_ <= kWholePermille,
                 "promise.share_permille",
                 "must be between 1 and 1000");
}

/** Checks one group. */
void
checkGroup(const Configuration& aConfiguration,
           const ServingGroup& aGroup,
           const Check& aCheck)
{
  aCheck.name(aGroup.id_.value(), "id");
  aCheck.name(aGroup.model_, "model");
  aCheck.name(aGroup.version_, "version");
  aCheck.distinct(aGroup.adapters_, "adapters");
  aCheck.distinct(aGroup.zones_, "zones");
  aCheck.require(aGroup.vmsPerCopy_ > 0 && aGroup.vmsPerCopy_ <= kMaxVmsPerCopy,
                 "vms_per_copy",
                 "must be between 1 and 1024");
  aCheck.require(aGroup.copies_ > 0 && aGroup.copies_ <= kMaxCopies,
                 "copies",
                 "must be between 1 and 10000");
  checkAccounts(aConfiguration, aGroup.accounts_, aCheck);
  checkKinds(aGroup, aCheck);
  checkPromise(aGroup.promise_, aCheck);
}

/** Checks that an account finds each model in one group only. */
void
checkModels(const Configuration& aConfiguration,
            std::vector<InputError>& aErrors)
{
  std::set<std::pair<AccountId, std::string>> seen;
  for (const auto& [id, group] : aConfiguration.groups_) {
    const std::set<AccountId> accounts(group.accounts_.begin(),
                                       group.accounts_.end());
    const Check check("groups." + id.value(), aErrors);
    for (const AccountId& account : accounts) {
      check.require(seen.emplace(account, group.model_).second,
                    "model",
                    "client account '" + account.value() + "' finds model '" +
                      group.model_ + "' in another group too");
    }
  }
}

/** Checks all client accounts. */
void
checkAllAccounts(const Configuration& aConfiguration,
                 std::vector<InputError>& aErrors)
{
  std::set<std::string> digests;
  for (const auto& [id, account] : aConfiguration.accounts_) {
    const Check check("accounts." + id.value(), aErrors);
    const std::string& digest = account.keyDigest_;
    const bool valid =
      digest.size() == kDigestLength &&
      digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    check.name(id.value(), "id");
    check.require(
      valid, "key_sha256", "must be 64 hexadecimal digits in lower case");
    check.require(!valid || digests.insert(digest).second,
                  "key_sha256",
                  "is the key of another client account too");
    check.require(account.weight_ > 0, "weight", "must be above 0");
  }
}

/** Checks the operations and targets of one service. */
void
checkService(const Configuration& aConfiguration,
             const PlainService& aService,
             const Check& aCheck)
{
  aCheck.name(aService.id_.value(), "id");
  checkAccounts(aConfiguration, aService.accounts_, aCheck);
  std::set<std::string> operations;
  for (const ServiceOperation& operation : aService.operations_) {
    aCheck.name(operation.name_, "operations");
    aCheck.require(operations.insert(operation.name_).second,
                   "operations",
                   "names '" + operation.name_ + "' twice");
    aCheck.require(operation.timeout_.count() > 0,
                   "operations",
                   "a timeout must be above 0");
  }
  std::set<VmId> vms;
  std::set<Endpoint> endpoints;
  aCheck.require(!aService.targets_.empty(), "targets", "names no target");
  for (const ServiceTarget& target : aService.targets_) {
    const std::string& name = target.vm_.value();
    aCheck.name(name, "targets");
    aCheck.name(target.zone_.value(), "targets");
    aCheck.require(vms.insert(target.vm_).second,
                   "targets",
                   "names VM '" + name + "' twice");
    aCheck.require(endpoints.insert(target.endpoint_).second,
                   "targets",
                   "gives the address of VM '" + name + "' twice");
  }
}

/** Checks the system-wide choices. */
void
checkPolicy(const SystemPolicy& aPolicy, std::vector<InputError>& aErrors)
{
  const Check check("policy", aErrors);
  check.require(aPolicy.sparesPerDomain_ <= kMaxSparesPerDomain,
                "spares_per_domain",
                "must be 64 or less");
  check.require(aPolicy.reservesPerCopy_ <= kMaxReservesPerCopy,
                "reserves_per_copy",
                "must be 16 or less");
  check.require(aPolicy.claimRetention_.count() > 0,
                "claim_retention_hours",
                "must be above 0");
}

} // namespace

std::vector<InputError>
checkConfiguration(const Configuration& aConfiguration)
{
  std::vector<InputError> errors;
  checkPolicy(aConfiguration.policy_, errors);
  checkAllAccounts(aConfiguration, errors);
  for (const auto& [id, group] : aConfiguration.groups_) {
    checkGroup(aConfiguration, group, Check("groups." + id.value(), errors));
  }
  checkModels(aConfiguration, errors);
  for (const auto& [id, service] : aConfiguration.services_) {
    const Check check("services." + id.value(), errors);
    checkService(aConfiguration, service, check);
  }
  return errors;
}

} // namespace auburnhaven::state
