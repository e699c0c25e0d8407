// Reads typed fields of a JSON document and notes every fault.

#include "protocol/json_reader.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburnhaven::protocol {

using Json = nlohmann::json;

/** A parsed document. */
struct JsonReader::Document
{
  /** Parses a text. */
  Document(std::string_view aSource, std::string_view aText)
    : source_(aSource)
    , root_(Json::parse(aText, nullptr, false))
  {
  }
  ~Document() = default;
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  std::string source_;                    ///< Where the text came from.
  Json root_;                             ///< The document.
  std::vector<state::InputError> errors_; ///< Faults noted so far.
};

namespace {

/** @return The library's type of a node, or null. */
const Json*
asJson(const void* aNode)
{
  return static_cast<const Json*>(aNode);
}

} // namespace

JsonReader::JsonReader(std::shared_ptr<Document> aDocument, const void* aNode)
  : document_(std::move(aDocument))
  , node_(aNode)
{
}

JsonReader
JsonReader::parse(std::string_view aSource, std::string_view aText)
{
  auto document = std::make_shared<Document>(aSource, aText);
  const void* node = &document->root_;
  JsonReader reader(std::move(document), node);
  if (!asJson(node)->is_object()) {
    reader.node_ = nullptr;
    reader.fail("", "is not a JSON object");
  }
  return reader;
}

const void*
JsonReader::find(const char* aKey) const
{
  if (node_ == nullptr) {
    return nullptr;
  }
  const auto found = asJson(node_)->find(aKey);
  return found == asJson(node_)->end() ? nullptr : &*found;
}

std::string
JsonReader::text(const char* aKey) const
{
  const Json* node = asJson(find(aKey));
  if (node == nullptr || !node->is_string()) {
    fail(aKey, "must be a string");
    return {};
  }
  return node->get<std::string>();
}

std::uint64_t
JsonReader::number(const char* aKey, std::uint64_t aMax) const
{
  const Json* node = asJson(find(aKey));
  if (node == nullptr || !node->is_number_unsigned() ||
      node->get<std::uint64_t>() > aMax) {
    fail(aKey, "must be a whole number up to " + std::to_string(aMax));
    return 0;
  }
  return node->get<std::uint64_t>();
}

std::uint32_t
JsonReader::number32(const char* aKey) const
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(number(aKey, kMax));
}

bool
JsonReader::flag(const char* aKey) const
{
  const Json* node = asJson(find(aKey));
  if (node == nullptr || !node->is_boolean()) {
    fail(aKey, "must be true or false");
    return false;
  }
  return node->get<bool>();
}

std::vector<std::string>
JsonReader::texts(const char* aKey) const
{
  const Json* node = asJson(find(aKey));
  if (node == nullptr || !node->is_array()) {
    fail(aKey, "must be a list of strings");
    return {};
  }
  std::vector<std::string> values;
  for (const Json& item : *node) {
    if (!item.is_string()) {
      fail(aKey, "must be a list of strings");
      return {};
    }
    values.push_back(item.get<std::string>());
  }
  return values;
}

JsonReader
JsonReader::object(const char* aKey) const
{
  const Json* node = asJson(find(aKey));
  if (node == nullptr || !node->is_object()) {
    fail(aKey, "must be an object");
    node = nullptr;
  }
  return { document_, node };
}

std::vector<JsonReader>
JsonReader::objects(const char* aKey) const
{
  const Json* node = asJson(find(aKey));
  if (node == nullptr || !node->is_array()) {
    fail(aKey, "must be a list of objects");
    return {};
  }
  std::vector<JsonReader> readers;
  for (const Json& item : *node) {
    if (!item.is_object()) {
      fail(aKey, "must be a list of objects");
      return {};
    }
    readers.push_back({ document_, &item });
  }
  return readers;
}

bool
JsonReader::has(const char* aKey) const
{
  const Json* node = asJson(find(aKey));
  return node != nullptr && !node->is_null();
}

void
JsonReader::fail(const char* aKey, const std::string& aMessage) const
{
  document_->errors_.push_back({ document_->source_, 0, aKey, aMessage });
}

const std::vector<state::InputError>&
JsonReader::errors() const
{
  return document_->errors_;
}

} // namespace auburnhaven::protocol
