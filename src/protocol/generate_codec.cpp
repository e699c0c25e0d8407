// JSON of the model engines' generate call.

#include "protocol/generate_codec.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::protocol {

using Json = nlohmann::json;

namespace {

/** @return The value of a count field, or nothing wrong when it is one. */
bool
readCount(const Json& aObject, const char* aKey, std::uint64_t& aValue)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || !found->is_number_unsigned()) {
    return false;
  }
  aValue = found->get<std::uint64_t>();
  return true;
}

} // namespace

std::string
encodeGenerate(const GenerateRequest& aRequest)
{
  const Json copy = { { "group", aRequest.copy_.group_.value() },
                      { "index", aRequest.copy_.index_ } };
  const Json body = { { "request", aRequest.id_.value() },
                      { "prompt", aRequest.prompt_ },
                      { "max_tokens", aRequest.maxTokens_ },
                      { "priority", aRequest.priority_ },
                      { "resume_from", aRequest.resumeFrom_ },
                      { "stream", true },
                      { "copy", copy },
                      { "fencing", aRequest.fencing_.value() } };
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
encodeCancel(const state::RequestId& aRequest)
{
  return Json{ { "request", aRequest.value() } }.dump();
}

GenerateLine
decodeGenerateLine(std::string_view aLine)
{
  GenerateLine line;
  const Json json = Json::parse(aLine, nullptr, false);
  if (!json.is_object()) {
    return line;
  }
  if (json.contains("done")) {
    if (readCount(json, "tokens", line.offset_)) {
      line.kind_ = GenerateLineKind::kDone;
    }
    return line;
  }
  const auto text = json.find("text");
  if (text != json.end() && text->is_string() &&
      readCount(json, "offset", line.offset_)) {
    line.kind_ = GenerateLineKind::kToken;
    line.text_ = text->get<std::string>();
  }
  return line;
}

} // namespace auburnhaven::protocol
