// Text form of claim operations and results between daemons.

#include "coordination/request/claim_codec.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

/** @return Array of an answer, or null. */
Json
answerJson(const StoredAnswer* aAnswer)
{
  if (aAnswer == nullptr) {
    return nullptr;
  }
  return Json::array(
    { aAnswer->status_, aAnswer->contentType_, aAnswer->body_ });
}

/** @return The answer of an array, or none. */
std::shared_ptr<const StoredAnswer>
answerOf(const Json& aJson)
{
  if (aJson.is_null()) {
    return nullptr;
  }
  return std::make_shared<const StoredAnswer>(
    StoredAnswer{ aJson.at(0).get<std::uint16_t>(),
                  aJson.at(1).get<std::string>(),
                  aJson.at(2).get<std::string>() });
}

/** @return Text; bytes that are not UTF-8 are replaced. */
std::string
dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** @return Value of an enumeration that is not above its last one. */
template<class Enum>
Enum
enumOf(const Json& aJson, Enum aLast)
{
  const auto number = aJson.get<unsigned>();
  if (number > static_cast<unsigned>(aLast)) {
    throw std::out_of_range("enumeration");
  }
  return static_cast<Enum>(number);
}

} // namespace

std::string
encodeClaimOperation(const ClaimOperation& aOperation)
{
  return dump(Json::array({ aOperation.slot_,
                            aOperation.token_.value(),
                            aOperation.key_,
                            static_cast<unsigned>(aOperation.end_),
                            aOperation.body_,
                            answerJson(aOperation.answer_.get()) }));
}

std::optional<ClaimOperation>
decodeClaimOperation(const std::string& aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  try {
    ClaimOperation operation;
    operation.slot_ = json.at(0).get<std::string>();
    operation.token_ = ClaimToken(json.at(1).get<std::uint64_t>());
    operation.key_ = json.at(2).get<std::string>();
    operation.end_ = enumOf(json.at(3), ClaimEnd::kUnknown);
    operation.body_ = json.at(4).get<std::string>();
    operation.answer_ = answerOf(json.at(5));
    return operation;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
encodeClaimResult(const ClaimResult& aResult)
{
  return dump(Json::array({ static_cast<unsigned>(aResult.status_),
                            aResult.token_.value(),
                            aResult.retryAfter_.count(),
                            answerJson(aResult.answer_.get()) }));
}

std::optional<ClaimResult>
decodeClaimResult(const std::string& aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  try {
    ClaimResult result;
    result.status_ = enumOf(json.at(0), ClaimStatus::kUnavailable);
    result.token_ = ClaimToken(json.at(1).get<std::uint64_t>());
    result.retryAfter_ = state::Duration(json.at(2).get<std::int64_t>());
    result.answer_ = answerOf(json.at(3));
    return result;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace auburnhaven::coordination
