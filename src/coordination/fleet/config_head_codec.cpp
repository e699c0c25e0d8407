// Encodes the head of the configuration, its notice and change records.

#include "coordination/fleet/config_head_type.h"
#include "state/digest_func.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kHistorySlots =
  4096; ///< Change records kept; older ones are overwritten.

Json
changeToJson(const ConfigChange& aChange)
{
  Json documents = Json::array();
  for (const DocumentChange& change : aChange.documents_) {
    documents.push_back({ { "name", change.name_ },
                          { "before", change.before_ },
                          { "after", change.after_ } });
  }
  return { { "generation", aChange.generation_.value() },
           { "from", aChange.from_.value() },
           { "submission", aChange.submission_.value() },
           { "author", aChange.author_ },
           { "summary", aChange.summary_ },
           { "at_ms", aChange.at_.time_since_epoch().count() },
           { "documents", std::move(documents) },
           { "previous", aChange.previous_ } };
}

ConfigChange
changeFromJson(const Json& aJson)
{
  ConfigChange change;
  change.generation_ =
    state::Generation(aJson.at("generation").get<std::uint64_t>());
  change.from_ = state::Generation(aJson.at("from").get<std::uint64_t>());
  change.submission_ = SubmissionId(aJson.at("submission").get<std::string>());
  change.author_ = aJson.at("author").get<std::string>();
  change.summary_ = aJson.at("summary").get<std::string>();
  change.at_ = state::WallTime(
    std::chrono::milliseconds(aJson.at("at_ms").get<std::int64_t>()));
  for (const Json& document : aJson.at("documents")) {
    change.documents_.push_back({ document.at("name").get<std::string>(),
                                  document.at("before").get<std::string>(),
                                  document.at("after").get<std::string>() });
  }
  change.previous_ = aJson.at("previous").get<std::string>();
  return change;
}

/** Parses a JSON text and converts it; gives nothing when it is not valid. */
template<class Item, class Read>
std::optional<Item>
decodeAs(const std::string& aText, Read aRead)
{
  try {
    return aRead(Json::parse(aText));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

ConfigHead
headFromJson(const Json& aJson)
{
  ConfigHead head;
  head.change_ = changeFromJson(aJson.at("change"));
  head.generation_ = head.change_.generation_;
  for (const auto& [name, ref] : aJson.at("documents").items()) {
    head.documents_[name] = { ref.at(0).get<std::string>(),
                              state::Generation(
                                ref.at(1).get<std::uint64_t>()) };
  }
  for (const Json& item : aJson.at("recent")) {
    head.recent_.push_back(
      { SubmissionId(item.at(0).get<std::string>()),
        state::Generation(item.at(1).get<std::uint64_t>()) });
  }
  return head;
}

} // namespace

std::string
documentKey(const std::string& aDigest)
{
  return "config/doc/" + aDigest;
}

std::string
historyKey(state::Generation aGeneration)
{
  return "config/history/" +
         std::to_string(aGeneration.value() % kHistorySlots);
}

std::string
rootDigest(const std::map<std::string, DocumentRef>& aDocuments)
{
  std::string text;
  for (const auto& [name, ref] : aDocuments) {
    text += name + '=' + ref.digest_ + '\n';
  }
  return state::sha256Hex(text);
}

std::string
encodeHead(const ConfigHead& aHead)
{
  Json documents = Json::object();
  for (const auto& [name, ref] : aHead.documents_) {
    documents[name] = Json::array({ ref.digest_, ref.changedAt_.value() });
  }
  Json recent = Json::array();
  for (const CommittedSubmission& item : aHead.recent_) {
    recent.push_back(
      Json::array({ item.submission_.value(), item.generation_.value() }));
  }
  const Json head{ { "change", changeToJson(aHead.change_) },
                   { "documents", std::move(documents) },
                   { "recent", std::move(recent) } };
  return head.dump();
}

std::optional<ConfigHead>
decodeHead(const std::string& aText)
{
  return decodeAs<ConfigHead>(aText, headFromJson);
}

std::string
encodeChange(const ConfigChange& aChange)
{
  return changeToJson(aChange).dump();
}

std::optional<ConfigChange>
decodeChange(const std::string& aText)
{
  return decodeAs<ConfigChange>(aText, changeFromJson);
}

std::string
encodeNotice(const HeadNotice& aNotice)
{
  return std::to_string(aNotice.generation_.value()) + ' ' + aNotice.root_;
}

std::optional<HeadNotice>
decodeNotice(const std::string& aPayload)
{
  const std::size_t blank = aPayload.find(' ');
  const bool valid = blank != std::string::npos && blank > 0 &&
                     aPayload.find_first_not_of("0123456789") == blank &&
                     blank < 20;
  if (!valid) {
    return std::nullopt;
  }
  return HeadNotice{ state::Generation(std::stoull(aPayload.substr(0, blank))),
                     aPayload.substr(blank + 1) };
}

} // namespace auburnhaven::coordination
