// Datagrams that ask for stream events of replicas and tell of them.

#include "protocol/activity_codec.h"

#include "protocol/datagram_func.h"

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;

constexpr int kQuestionMark = 3; ///< First field of a question.
constexpr int kNoticeMark = 4;   ///< First field of a notice.

} // namespace

std::string
encodeActivityQuestion(const ActivityQuestion& aQuestion)
{
  Json heads = Json::array();
  for (const state::VmId& head : aQuestion.heads_) {
    heads.push_back(head.value());
  }
  return encodeDatagram({ kQuestionMark, aQuestion.number_, std::move(heads) });
}

std::optional<ActivityQuestion>
decodeActivityQuestion(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kQuestionMark, [](const Json& aMessage) {
    ActivityQuestion question;
    question.number_ = state::readCount<std::uint64_t>(aMessage.at(1));
    for (const Json& head : aMessage.at(2)) {
      question.heads_.emplace_back(head.get<std::string>());
    }
    return question;
  });
}

std::string
encodeActivityNotice(const ActivityNotice& aNotice)
{
  Json replicas = Json::array();
  for (const coordination::ReplicaActivity& replica : aNotice.replicas_) {
    replicas.push_back({ replica.head_.value(),
                         state::countMs(replica.age_),
                         replica.streams_ });
  }
  return encodeDatagram({ kNoticeMark, aNotice.number_, std::move(replicas) });
}

std::optional<ActivityNotice>
decodeActivityNotice(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kNoticeMark, [](const Json& aMessage) {
    ActivityNotice notice;
    notice.number_ = state::readCount<std::uint64_t>(aMessage.at(1));
    for (const Json& replica : aMessage.at(2)) {
      notice.replicas_.push_back(
        { state::VmId(replica.at(0).get<std::string>()),
          std::chrono::milliseconds(
            state::readCount<std::uint32_t>(replica.at(1))),
          state::readCount<std::uint32_t>(replica.at(2)) });
    }
    return notice;
  });
}

} // namespace auburnhaven::protocol
