// Datagrams that ask for a place at a copy, and their answers.

#include "protocol/placement_codec.h"

#include "protocol/datagram_func.h"

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;
using coordination::RefusalReason;

constexpr int kQuestionMark = 1;        ///< First field of a question.
constexpr int kAnswerMark = 2;          ///< First field of an answer.
constexpr std::size_t kLimitsField = 9; ///< Field of a question's limits.
constexpr double kNoLimit = -1; ///< Of a target that has named no limit.

Json
encodeLimits(const std::vector<coordination::TargetLimit>& aLimits)
{
  Json limits = Json::array();
  for (const coordination::TargetLimit& limit : aLimits) {
    limits.push_back({ limit.vm_.value(),
                       limit.perSecond_.value_or(kNoLimit),
                       state::countMs(limit.age_) });
  }
  return limits;
}

std::vector<coordination::TargetLimit>
decodeLimits(const Json& aLimits)
{
  std::vector<coordination::TargetLimit> limits;
  for (const Json& row : aLimits) {
    coordination::TargetLimit limit;
    limit.vm_ = state::VmId(row.at(0).get<std::string>());
    const auto perSecond = row.at(1).get<double>();
    if (perSecond >= 0) {
      limit.perSecond_ = perSecond;
    }
    limit.age_ =
      std::chrono::milliseconds(state::readCount<std::uint32_t>(row.at(2)));
    limits.push_back(std::move(limit));
  }
  return limits;
}

} // namespace

std::string
encodeQuestion(const PlacementQuestion& aQuestion)
{
  const coordination::TargetNeed& need = aQuestion.need_;
  Json excluded = Json::array();
  for (const state::VmId& vm : need.excluded_) {
    excluded.push_back(vm.value());
  }
  return encodeDatagram({ kQuestionMark,
                          aQuestion.number_,
                          need.service_.value(),
                          need.model_.value(),
                          need.tokens_.prompt_,
                          need.tokens_.answer_,
                          state::countMs(need.latencyTarget_),
                          state::countMs(need.timeLeft_),
                          std::move(excluded),
                          encodeLimits(aQuestion.limits_) });
}

std::optional<PlacementQuestion>
decodeQuestion(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kQuestionMark, [](const Json& aMessage) {
    PlacementQuestion question;
    question.number_ = state::readCount<std::uint64_t>(aMessage.at(1));
    coordination::TargetNeed& need = question.need_;
    need.service_ = state::ServiceId(aMessage.at(2).get<std::string>());
    need.model_ = state::ModelId(aMessage.at(3).get<std::string>());
    need.tokens_.prompt_ = state::readCount<std::uint32_t>(aMessage.at(4));
    need.tokens_.answer_ = state::readCount<std::uint32_t>(aMessage.at(5));
    need.latencyTarget_ = decodeMs(aMessage.at(6));
    need.timeLeft_ = decodeMs(aMessage.at(7));
    for (const Json& vm : aMessage.at(8)) {
      need.excluded_.emplace_back(vm.get<std::string>());
    }
    // Daemons of an earlier version send no limits.
    if (aMessage.size() > kLimitsField) {
      question.limits_ = decodeLimits(aMessage.at(kLimitsField));
    }
    return question;
  });
}

std::string
encodeAnswer(const PlacementAnswer& aAnswer)
{
  return encodeDatagram({ kAnswerMark,
                          aAnswer.number_,
                          static_cast<unsigned>(aAnswer.reason_),
                          aAnswer.vm_.value(),
                          state::countMs(aAnswer.expected_),
                          state::countMs(aAnswer.retryAfter_),
                          aAnswer.candidates_ });
}

std::optional<PlacementAnswer>
decodeAnswer(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kAnswerMark, [](const Json& aMessage) {
    PlacementAnswer answer;
    answer.number_ = state::readCount<std::uint64_t>(aMessage.at(1));
    const auto reason = state::readCount<unsigned>(aMessage.at(2));
    answer.reason_ = reason <= static_cast<unsigned>(RefusalReason::kLimited)
                       ? static_cast<RefusalReason>(reason)
                       : RefusalReason::kNoTarget;
    answer.vm_ = state::VmId(aMessage.at(3).get<std::string>());
    answer.expected_ = decodeMs(aMessage.at(4));
    answer.retryAfter_ = decodeMs(aMessage.at(5));
    answer.candidates_ = state::readCount<std::uint32_t>(aMessage.at(6));
    return answer;
  });
}

} // namespace auburnhaven::protocol
