// Encodes and decodes claim operations and results sent between daemons.

#include "coordination/request/claim_codec.h"

#include "coordination/request/stored_answer_func.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

/** @return JSON array of the answer, or JSON null if there is none. */
Json
encodeAnswer(const StoredAnswer* aAnswer)
{
  if (aAnswer == nullptr) {
    return nullptr;
  }
  return Json::array(
    { aAnswer->status_, aAnswer->contentType_, aAnswer->body_ });
}

/**
 * @return Answer decoded from a JSON array, or nullptr for JSON null.
 * @throws std::out_of_range if nobody can interpret the answer.
 */
std::shared_ptr<const StoredAnswer>
decodeAnswer(const Json& aJson)
{
  if (aJson.is_null()) {
    return nullptr;
  }
  auto answer = readStoredAnswer(aJson, 0);
  if (!answer) {
    throw std::out_of_range("status code");
  }
  return answer;
}

/** @return JSON text in which invalid UTF-8 bytes are replaced. */
std::string
toText(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/**
 * Decodes an enumeration from its number.
 * @param aLast Greatest valid value.
 * @throws std::out_of_range if the number is greater than aLast.
 */
template<class Enum>
Enum
decodeEnum(const Json& aJson, Enum aLast)
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
  return toText(Json::array({ aOperation.slot_,
                              aOperation.token_.value(),
                              aOperation.key_,
                              static_cast<unsigned>(aOperation.end_),
                              aOperation.body_,
                              encodeAnswer(aOperation.answer_.get()) }));
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
    operation.end_ = decodeEnum(json.at(3), ClaimEnd::kUnknown);
    operation.body_ = json.at(4).get<std::string>();
    operation.answer_ = decodeAnswer(json.at(5));
    return operation;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
encodeClaimResult(const ClaimResult& aResult)
{
  return toText(Json::array({ static_cast<unsigned>(aResult.status_),
                              aResult.token_.value(),
                              aResult.retryAfter_.count(),
                              encodeAnswer(aResult.answer_.get()) }));
}

std::optional<ClaimResult>
decodeClaimResult(const std::string& aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  try {
    ClaimResult result;
    result.status_ = decodeEnum(json.at(0), ClaimStatus::kUnavailable);
    result.token_ = ClaimToken(json.at(1).get<std::uint64_t>());
    result.retryAfter_ = state::Duration(json.at(2).get<std::int64_t>());
    result.answer_ = decodeAnswer(json.at(3));
    return result;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace auburnhaven::coordination
