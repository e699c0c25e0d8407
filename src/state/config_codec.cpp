// Canonical JSON of configuration documents.

#include "state/config_codec.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <set>
#include <utility>

namespace auburnhaven::state {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kGroupPrefix = "group/";     ///< Serving groups.
constexpr std::string_view kAccountPrefix = "account/"; ///< Client accounts.
constexpr std::string_view kServicePrefix = "service/"; ///< Plain services.

/** Reads the fields of one JSON object and collects all faults. */
class ObjectReader
{
public:
  ObjectReader(const Json& aJson,
               std::string aPath,
               std::string aSource,
               std::vector<InputError>& aErrors)
    : json_(aJson)
    , path_(std::move(aPath))
    , source_(std::move(aSource))
    , errors_(aErrors)
  {
    if (!json_.is_object()) {
      fail("", "is not an object");
    }
  }

  /** Notes each key that no field() call has asked for. */
  void finish() const
  {
    if (!json_.is_object()) {
      return;
    }
    for (const auto& [key, value] : json_.items()) {
      if (!known_.contains(key)) {
        fail(key, "is not a known field");
      }
    }
  }

  void field(const char* aKey, std::string& aOut)
  {
    const Json* value = find(aKey);
    if (value == nullptr) {
      return;
    }
    if (value->is_string()) {
      aOut = value->get<std::string>();
    } else {
      fail(aKey, "is not a string");
    }
  }

  template<class Tag>
  void field(const char* aKey, NameId<Tag>& aOut)
  {
    std::string name;
    field(aKey, name);
    aOut = NameId<Tag>(name);
  }

  void field(const char* aKey, bool& aOut)
  {
    const Json* value = find(aKey);
    if (value == nullptr) {
      return;
    }
    if (value->is_boolean()) {
      aOut = value->get<bool>();
    } else {
      fail(aKey, "is not true or false");
    }
  }

  template<std::integral Number>
  void field(const char* aKey, Number& aOut)
  {
    const Json* value = find(aKey);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number_integer()) {
      fail(aKey, "is not a whole number");
      return;
    }
    const auto number = value->get<std::int64_t>();
    if (number < std::int64_t{ std::numeric_limits<Number>::min() } ||
        number > std::int64_t{ std::numeric_limits<Number>::max() }) {
      fail(aKey, "is out of range");
      return;
    }
    aOut = static_cast<Number>(number);
  }

  template<class Rep, class Period>
  void field(const char* aKey, std::chrono::duration<Rep, Period>& aOut)
  {
    std::uint32_t count = 0;
    field(aKey, count);
    aOut = std::chrono::duration<Rep, Period>(count);
  }

  template<class Item>
  void field(const char* aKey, std::vector<NameId<Item>>& aOut)
  {
    std::vector<std::string> names;
    field(aKey, names);
    for (std::string& name : names) {
      aOut.emplace_back(std::move(name));
    }
  }

  void field(const char* aKey, std::vector<std::string>& aOut)
  {
    each(aKey, [&](const Json& aItem, const std::string& aPath) {
      if (aItem.is_string()) {
        aOut.push_back(aItem.get<std::string>());
      } else {
        errors_.push_back({ source_, 0, aPath, "is not a string" });
      }
    });
  }

  /** Reads an array of objects, each by a function. */
  template<class Item, class Read>
  void objects(const char* aKey, std::vector<Item>& aOut, Read aRead)
  {
    each(aKey, [&](const Json& aItem, const std::string& aPath) {
      ObjectReader reader(aItem, aPath, source_, errors_);
      Item item;
      aRead(reader, item);
      reader.finish();
      aOut.push_back(std::move(item));
    });
  }

  /** Reads an object by a function. */
  template<class Item, class Read>
  void object(const char* aKey, Item& aOut, Read aRead)
  {
    const Json* value = find(aKey);
    if (value != nullptr) {
      ObjectReader reader(*value, pathOf(aKey), source_, errors_);
      aRead(reader, aOut);
      reader.finish();
    }
  }

private:
  const Json* find(const char* aKey)
  {
    known_.insert(aKey);
    if (!json_.is_object()) {
      return nullptr;
    }
    const auto found = json_.find(aKey);
    if (found == json_.end()) {
      fail(aKey, "is missing");
      return nullptr;
    }
    return &*found;
  }

  template<class Take>
  void each(const char* aKey, Take aTake)
  {
    const Json* value = find(aKey);
    if (value == nullptr) {
      return;
    }
    if (!value->is_array()) {
      fail(aKey, "is not a list");
      return;
    }
    std::size_t index = 0;
    for (const Json& item : *value) {
      aTake(item, pathOf(aKey) + "[" + std::to_string(index++) + "]");
    }
  }

  std::string pathOf(const std::string& aKey) const
  {
    if (path_.empty() || aKey.empty()) {
      return path_ + aKey;
    }
    return path_ + "." + aKey;
  }

  void fail(const std::string& aKey, const char* aMessage) const
  {
    errors_.push_back({ source_, 0, pathOf(aKey), aMessage });
  }

  const Json& json_;                ///< The object.
  std::string path_;                ///< Its place in the document.
  std::string source_;              ///< Name of the document.
  std::vector<InputError>& errors_; ///< Faults found.
  std::set<std::string> known_;     ///< Keys asked for.
};

template<class Tag>
Json
namesOf(const std::vector<NameId<Tag>>& aIds)
{
  Json names = Json::array();
  for (const NameId<Tag>& id : aIds) {
    names.push_back(id.value());
  }
  return names;
}

Json
toJson(const Endpoint& aEndpoint)
{
  return { { "address", aEndpoint.address_ }, { "port", aEndpoint.port_ } };
}

void
readEndpoint(ObjectReader& aReader, Endpoint& aOut)
{
  aReader.field("address", aOut.address_);
  aReader.field("port", aOut.port_);
}

Json
toJson(const PriorityWindow& aWindow)
{
  return { { "weekdays", aWindow.weekdays_ },
           { "from_minute", aWindow.fromMinute_ },
           { "to_minute", aWindow.toMinute_ },
           { "utc_offset_minutes", aWindow.utcOffsetMinutes_ },
           { "priority", aWindow.priority_ } };
}

void
readWindow(ObjectReader& aReader, PriorityWindow& aOut)
{
  aReader.field("weekdays", aOut.weekdays_);
  aReader.field("from_minute", aOut.fromMinute_);
  aReader.field("to_minute", aOut.toMinute_);
  aReader.field("utc_offset_minutes", aOut.utcOffsetMinutes_);
  aReader.field("priority", aOut.priority_);
}

Json
toJson(const WorkKind& aKind);
Json
toJson(const ServiceOperation& aOperation);
Json
toJson(const ServiceTarget& aTarget);

template<class Item>
Json
listOf(const std::vector<Item>& aItems)
{
  Json list = Json::array();
  for (const Item& item : aItems) {
    list.push_back(toJson(item));
  }
  return list;
}

Json
toJson(const WorkKind& aKind)
{
  return { { "id", aKind.id_.value() },
           { "priority", aKind.priority_ },
           { "windows", listOf(aKind.windows_) } };
}

void
readKind(ObjectReader& aReader, WorkKind& aOut)
{
  aReader.field("id", aOut.id_);
  aReader.field("priority", aOut.priority_);
  aReader.objects("windows", aOut.windows_, readWindow);
}

Json
toJson(const Promise& aPromise)
{
  return { { "first_token_ms", aPromise.firstToken_.count() },
           { "between_tokens_ms", aPromise.betweenTokens_.count() },
           { "share_permille", aPromise.sharePermille_ } };
}

void
readPromise(ObjectReader& aReader, Promise& aOut)
{
  aReader.field("first_token_ms", aOut.firstToken_);
  aReader.field("between_tokens_ms", aOut.betweenTokens_);
  aReader.field("share_permille", aOut.sharePermille_);
}

Json
toJson(const ServingGroup& aGroup)
{
  return { { "id", aGroup.id_.value() },
           { "model", aGroup.model_ },
           { "version", aGroup.version_ },
           { "adapters", aGroup.adapters_ },
           { "accounts", namesOf(aGroup.accounts_) },
           { "kinds", listOf(aGroup.kinds_) },
           { "vms_per_copy", aGroup.vmsPerCopy_ },
           { "copies", aGroup.copies_ },
           { "priority", aGroup.priority_ },
           { "promise", toJson(aGroup.promise_) },
           { "zones", namesOf(aGroup.zones_) } };
}

void
readGroup(ObjectReader& aReader, ServingGroup& aOut)
{
  aReader.field("id", aOut.id_);
  aReader.field("model", aOut.model_);
  aReader.field("version", aOut.version_);
  aReader.field("adapters", aOut.adapters_);
  aReader.field("accounts", aOut.accounts_);
  aReader.objects("kinds", aOut.kinds_, readKind);
  aReader.field("vms_per_copy", aOut.vmsPerCopy_);
  aReader.field("copies", aOut.copies_);
  aReader.field("priority", aOut.priority_);
  aReader.object("promise", aOut.promise_, readPromise);
  aReader.field("zones", aOut.zones_);
}

Json
toJson(const ClientAccount& aAccount)
{
  return { { "id", aAccount.id_.value() },
           { "key_digest", aAccount.keyDigest_ },
           { "requests_per_second", aAccount.requestsPerSecond_ },
           { "tokens_per_second", aAccount.tokensPerSecond_ },
           { "weight", aAccount.weight_ } };
}

void
readAccount(ObjectReader& aReader, ClientAccount& aOut)
{
  aReader.field("id", aOut.id_);
  aReader.field("key_digest", aOut.keyDigest_);
  aReader.field("requests_per_second", aOut.requestsPerSecond_);
  aReader.field("tokens_per_second", aOut.tokensPerSecond_);
  aReader.field("weight", aOut.weight_);
}

Json
toJson(const ServiceOperation& aOperation)
{
  return { { "name", aOperation.name_ },
           { "idempotent", aOperation.idempotent_ },
           { "timeout_ms", aOperation.timeout_.count() } };
}

void
readOperation(ObjectReader& aReader, ServiceOperation& aOut)
{
  aReader.field("name", aOut.name_);
  aReader.field("idempotent", aOut.idempotent_);
  aReader.field("timeout_ms", aOut.timeout_);
}

Json
toJson(const ServiceTarget& aTarget)
{
  return { { "vm", aTarget.vm_.value() },
           { "zone", aTarget.zone_.value() },
           { "endpoint", toJson(aTarget.endpoint_) } };
}

void
readTarget(ObjectReader& aReader, ServiceTarget& aOut)
{
  aReader.field("vm", aOut.vm_);
  aReader.field("zone", aOut.zone_);
  aReader.object("endpoint", aOut.endpoint_, readEndpoint);
}

Json
toJson(const PlainService& aService)
{
  return { { "id", aService.id_.value() },
           { "accounts", namesOf(aService.accounts_) },
           { "operations", listOf(aService.operations_) },
           { "targets", listOf(aService.targets_) } };
}

void
readService(ObjectReader& aReader, PlainService& aOut)
{
  aReader.field("id", aOut.id_);
  aReader.field("accounts", aOut.accounts_);
  aReader.objects("operations", aOut.operations_, readOperation);
  aReader.objects("targets", aOut.targets_, readTarget);
}

Json
toJson(const SystemPolicy& aPolicy)
{
  return { { "spares_per_domain", aPolicy.sparesPerDomain_ },
           { "reserves_per_copy", aPolicy.reservesPerCopy_ },
           { "allow_preemption", aPolicy.allowPreemption_ },
           { "claim_retention_hours", aPolicy.claimRetention_.count() } };
}

void
readPolicy(ObjectReader& aReader, SystemPolicy& aOut)
{
  aReader.field("spares_per_domain", aOut.sparesPerDomain_);
  aReader.field("reserves_per_copy", aOut.reservesPerCopy_);
  aReader.field("allow_preemption", aOut.allowPreemption_);
  aReader.field("claim_retention_hours", aOut.claimRetention_);
}

/** Decodes a text by a function. */
template<class Item, class Read>
leaf::result<Item>
decodeAs(const std::string& aName, const std::string& aText, Read aRead)
{
  InputErrors errors;
  Item item;
  const Json json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    errors.errors_.push_back({ aName, 0, "", "is not valid JSON" });
  } else {
    ObjectReader reader(json, "", aName, errors.errors_);
    aRead(reader, item);
    reader.finish();
  }
  if (!errors.errors_.empty()) {
    return leaf::new_error(std::move(errors));
  }
  return item;
}

/** Decodes a text into the map that holds its kind. */
template<class Map, class Read>
leaf::result<void>
decodeInto(const std::string& aName,
           const std::string& aText,
           Map& aMap,
           Read aRead)
{
  using Item = typename Map::mapped_type;
  BOOST_LEAF_AUTO(item, decodeAs<Item>(aName, aText, aRead));
  if (documentName(item.id_) != aName) {
    return leaf::new_error(
      InputErrors{ { { aName, 0, "id", "differs from the name" } } });
  }
  aMap[item.id_] = std::move(item);
  return {};
}

} // namespace

std::string
documentName(const GroupId& aId)
{
  return std::string(kGroupPrefix) + aId.value();
}

std::string
documentName(const AccountId& aId)
{
  return std::string(kAccountPrefix) + aId.value();
}

std::string
documentName(const ServiceId& aId)
{
  return std::string(kServicePrefix) + aId.value();
}

std::string
encodeDocument(const ServingGroup& aDocument)
{
  return toJson(aDocument).dump();
}

std::string
encodeDocument(const ClientAccount& aDocument)
{
  return toJson(aDocument).dump();
}

std::string
encodeDocument(const PlainService& aDocument)
{
  return toJson(aDocument).dump();
}

std::string
encodeDocument(const SystemPolicy& aDocument)
{
  return toJson(aDocument).dump();
}

DocumentTexts
encodeConfiguration(const Configuration& aConfiguration)
{
  DocumentTexts texts;
  for (const auto& [id, group] : aConfiguration.groups_) {
    texts[documentName(id)] = encodeDocument(group);
  }
  for (const auto& [id, account] : aConfiguration.accounts_) {
    texts[documentName(id)] = encodeDocument(account);
  }
  for (const auto& [id, service] : aConfiguration.services_) {
    texts[documentName(id)] = encodeDocument(service);
  }
  texts[std::string(kPolicyDocument)] = encodeDocument(aConfiguration.policy_);
  return texts;
}

leaf::result<void>
decodeDocument(const std::string& aName,
               const std::string& aText,
               Configuration& aConfiguration)
{
  if (aName.starts_with(kGroupPrefix)) {
    return decodeInto(aName, aText, aConfiguration.groups_, readGroup);
  }
  if (aName.starts_with(kAccountPrefix)) {
    return decodeInto(aName, aText, aConfiguration.accounts_, readAccount);
  }
  if (aName.starts_with(kServicePrefix)) {
    return decodeInto(aName, aText, aConfiguration.services_, readService);
  }
  if (aName == kPolicyDocument) {
    BOOST_LEAF_ASSIGN(aConfiguration.policy_,
                      decodeAs<SystemPolicy>(aName, aText, readPolicy));
    return {};
  }
  return leaf::new_error(
    InputErrors{ { { aName, 0, "", "is not a known kind of document" } } });
}

void
removeDocument(const std::string& aName, Configuration& aConfiguration)
{
  const std::size_t slash = aName.find('/');
  const std::string id =
    slash == std::string::npos ? std::string() : aName.substr(slash + 1);
  if (aName.starts_with(kGroupPrefix)) {
    aConfiguration.groups_.erase(GroupId(id));
  } else if (aName.starts_with(kAccountPrefix)) {
    aConfiguration.accounts_.erase(AccountId(id));
  } else if (aName.starts_with(kServicePrefix)) {
    aConfiguration.services_.erase(ServiceId(id));
  } else if (aName == kPolicyDocument) {
    aConfiguration.policy_ = SystemPolicy();
  }
}

leaf::result<Configuration>
decodeConfiguration(Generation aGeneration, const DocumentTexts& aTexts)
{
  Configuration configuration;
  configuration.generation_ = aGeneration;
  InputErrors errors;
  for (const auto& [name, text] : aTexts) {
    leaf::try_handle_all(
      [&, &name_ = name, &text_ = text]() -> leaf::result<void> {
        return decodeDocument(name_, text_, configuration);
      },
      [&](const InputErrors& aErrors) {
        errors.errors_.insert(
          errors.errors_.end(), aErrors.errors_.begin(), aErrors.errors_.end());
      },
      [&, &name_ = name] {
        errors.errors_.push_back({ name_, 0, "", "cannot be decoded" });
      });
  }
  if (!errors.errors_.empty()) {
    return leaf::new_error(std::move(errors));
  }
  return configuration;
}

} // namespace auburnhaven::state
