// JSON of the messages between operators' commands and a daemon.

#include "protocol/admin_codec.h"

#include "protocol/admin_fields.h"

#include <nlohmann/json.hpp>

#include <type_traits>

namespace auburnhaven::protocol {

using nlohmann::json;

namespace {

/** Whether a type is a message with fields. */
template<class Value>
concept Fielded = requires
{
  JsonFields<Value>::kFields;
};

/** Whether a type stands in JSON as it is. */
template<class Value>
concept Plain =
  std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string> ||
  std::is_same_v<Value, std::map<std::string, std::string>> ||
  std::is_same_v<Value, std::set<std::string>>;

template<Plain Value>
json
toJson(const Value& aValue)
{
  return aValue;
}

template<Plain Value>
void
fromJson(const json& aJson, Value& aValue)
{
  aJson.get_to(aValue);
}

json
toJson(SubmitOutcome aValue)
{
  return kOutcomeNames[static_cast<std::size_t>(aValue)];
}

void
fromJson(const json& aJson, SubmitOutcome& aValue)
{
  const auto name = aJson.get<std::string>();
  aValue = SubmitOutcome::kUnknown;
  for (std::size_t index = 0; index < kOutcomeNames.size(); ++index) {
    if (kOutcomeNames[index] == name) {
      aValue = static_cast<SubmitOutcome>(index);
    }
  }
}

template<class Tag>
json
toJson(const state::NameId<Tag>& aValue)
{
  return aValue.value();
}

template<class Tag>
void
fromJson(const json& aJson, state::NameId<Tag>& aValue)
{
  aValue = state::NameId<Tag>(aJson.get<std::string>());
}

template<class Tag>
json
toJson(const state::NumberId<Tag>& aValue)
{
  return aValue.value();
}

template<class Tag>
void
fromJson(const json& aJson, state::NumberId<Tag>& aValue)
{
  aValue = state::NumberId<Tag>(aJson.get<std::uint64_t>());
}

json
toJson(std::chrono::milliseconds aValue)
{
  return aValue.count();
}

void
fromJson(const json& aJson, std::chrono::milliseconds& aValue)
{
  aValue = std::chrono::milliseconds(aJson.get<std::int64_t>());
}

json
toJson(state::WallTime aValue)
{
  return aValue.time_since_epoch().count();
}

void
fromJson(const json& aJson, state::WallTime& aValue)
{
  aValue =
    state::WallTime(std::chrono::milliseconds(aJson.get<std::int64_t>()));
}

template<class Item>
json
toJson(const std::vector<Item>& aValue);
template<class Item>
void
fromJson(const json& aJson, std::vector<Item>& aValue);

template<Fielded Message>
json
toJson(const Message& aMessage)
{
  json object = json::object();
  std::apply(
    [&](const auto&... aField) {
      ((object[aField.key_] = toJson(aMessage.*aField.member_)), ...);
    },
    JsonFields<Message>::kFields);
  return object;
}

template<Fielded Message>
void
fromJson(const json& aJson, Message& aMessage)
{
  const auto read = [&](const auto& aField) {
    const auto found = aJson.find(aField.key_);
    if (found != aJson.end()) {
      fromJson(*found, aMessage.*aField.member_);
    }
  };
  std::apply([&](const auto&... aField) { (read(aField), ...); },
             JsonFields<Message>::kFields);
}

template<class Item>
json
toJson(const std::vector<Item>& aValue)
{
  json list = json::array();
  for (const Item& item : aValue) {
    list.push_back(toJson(item));
  }
  return list;
}

template<class Item>
void
fromJson(const json& aJson, std::vector<Item>& aValue)
{
  aValue.clear();
  for (const json& element : aJson.get_ref<const json::array_t&>()) {
    Item item;
    fromJson(element, item);
    aValue.push_back(std::move(item));
  }
}

} // namespace

template<class Message>
std::string
encodeAdmin(const Message& aMessage)
{
  // Bytes that are not UTF-8 are replaced, so that encoding cannot fail.
  return toJson(aMessage).dump(-1, ' ', false, json::error_handler_t::replace);
}

template<class Message>
state::leaf::result<Message>
decodeAdmin(const std::string& aText)
{
  Message message;
  std::string fault;
  try {
    const json parsed = json::parse(aText);
    if (parsed.is_object()) {
      fromJson(parsed, message);
    } else {
      fault = "must be a JSON object";
    }
  } catch (const json::exception& error) {
    fault = error.what();
  }
  if (!fault.empty()) {
    return state::leaf::new_error(
      state::InputErrors{ { { "message", 0, "", fault } } });
  }
  return message;
}

/** Instantiates the codec of one message. */
#define AUBURNHAVEN_ADMIN_MESSAGE(Message)                                     \
  template std::string encodeAdmin(const Message&);                            \
  template state::leaf::result<Message> decodeAdmin(const std::string&)

AUBURNHAVEN_ADMIN_MESSAGE(SubmitRequest);
AUBURNHAVEN_ADMIN_MESSAGE(SubmitReply);
AUBURNHAVEN_ADMIN_MESSAGE(ConfigReply);
AUBURNHAVEN_ADMIN_MESSAGE(HistoryReply);
AUBURNHAVEN_ADMIN_MESSAGE(ProgressReply);
AUBURNHAVEN_ADMIN_MESSAGE(StatusReport);
AUBURNHAVEN_ADMIN_MESSAGE(AuditReply);

#undef AUBURNHAVEN_ADMIN_MESSAGE

} // namespace auburnhaven::protocol
