// Reads stored answers from the records and messages that hold them.

#include "coordination/request/stored_answer_func.h"

#include "state/http_status_func.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::coordination {

std::shared_ptr<const StoredAnswer>
readStoredAnswer(const nlohmann::json& aFields, std::size_t aFirst)
{
  const auto status = aFields.at(aFirst).get<std::int64_t>();
  StoredAnswer answer;
  answer.contentType_ = aFields.at(aFirst + 1).get<std::string>();
  answer.body_ = aFields.at(aFirst + 2).get<std::string>();
  if (!state::isFinalStatus(status)) {
    return nullptr;
  }
  answer.status_ = static_cast<std::uint16_t>(status);
  return std::make_shared<const StoredAnswer>(std::move(answer));
}

} // namespace auburnhaven::coordination
