// Bytes of questions for news of the store, and of their answers.

#include "protocol/news_codec.h"

#include "protocol/datagram_func.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace auburnhaven::protocol {

namespace {

constexpr char kQuestion = 'n'; ///< First byte of a question.
constexpr char kAnswer = 'm';   ///< First byte of an answer.
constexpr char kReferral = 'r'; ///< First byte of a referral.

using Bytes = std::vector<std::uint8_t>; ///< Bytes as the library has them.

/** @return What a message of a kind says, or nothing. */
template<class Read>
auto
decodeAs(const std::string& aMessage, char aKind, Read aRead)
  -> decltype(decodeDatagram(aMessage, aRead))
{
  if (aMessage.empty() || aMessage.front() != aKind) {
    return std::nullopt;
  }
  return decodeDatagram(aMessage.substr(1), aRead);
}

NewsQuestion
readQuestion(const nlohmann::json& aMessage)
{
  return { state::Generation(state::readCount<std::uint64_t>(aMessage.at(0))),
           decodeRevision(aMessage, 1, 2) };
}

nlohmann::json
encodePatches(const std::vector<std::string>& aPatches)
{
  nlohmann::json patches = nlohmann::json::array();
  for (const std::string& patch : aPatches) {
    patches.push_back(
      nlohmann::json::binary(Bytes(patch.begin(), patch.end())));
  }
  return patches;
}

std::vector<std::string>
decodePatches(const nlohmann::json& aPatches)
{
  std::vector<std::string> patches;
  for (const nlohmann::json& patch : aPatches) {
    const Bytes& bytes = patch.get_binary();
    patches.emplace_back(bytes.begin(), bytes.end());
  }
  return patches;
}

NewsAnswer
readAnswer(const nlohmann::json& aMessage)
{
  NewsAnswer answer;
  answer.version_ =
    state::Generation(state::readCount<std::uint64_t>(aMessage.at(0)));
  answer.way_.from_ =
    state::Generation(state::readCount<std::uint64_t>(aMessage.at(1)));
  answer.way_.patches_ = decodePatches(aMessage.at(2));
  answer.at_ = decodeRevision(aMessage, 3, 5);
  for (const nlohmann::json& plain : aMessage.at(4)) {
    answer.plainInstances_[state::VmId(plain.at(0).get<std::string>())] =
      plain.at(1).get<std::string>();
  }
  return answer;
}

} // namespace

std::string
encodeNewsQuestion(const NewsQuestion& aQuestion)
{
  return kQuestion + encodeDatagram({ aQuestion.version_.value(),
                                      aQuestion.at_.value(),
                                      aQuestion.at_.era().value() });
}

std::optional<NewsQuestion>
decodeNewsQuestion(const std::string& aMessage)
{
  return decodeAs(aMessage, kQuestion, readQuestion);
}

std::string
encodeNewsReferral(const NewsReferral& aReferral)
{
  return kReferral +
         encodeDatagram({ aReferral.peer_.address_, aReferral.peer_.port_ });
}

std::optional<NewsReferral>
decodeNewsReferral(const std::string& aMessage)
{
  return decodeAs(aMessage, kReferral, [](const nlohmann::json& aContent) {
    return NewsReferral{ { aContent.at(0).get<std::string>(),
                           state::readCount<std::uint16_t>(aContent.at(1)) } };
  });
}

std::string
encodeNewsAnswer(const NewsAnswer& aAnswer)
{
  nlohmann::json plains = nlohmann::json::array();
  for (const auto& [vm, text] : aAnswer.plainInstances_) {
    plains.push_back({ vm.value(), text });
  }
  return kAnswer + encodeDatagram({ aAnswer.version_.value(),
                                    aAnswer.way_.from_.value(),
                                    encodePatches(aAnswer.way_.patches_),
                                    aAnswer.at_.value(),
                                    std::move(plains),
                                    aAnswer.at_.era().value() });
}

std::optional<NewsAnswer>
decodeNewsAnswer(const std::string& aMessage)
{
  return decodeAs(aMessage, kAnswer, readAnswer);
}

} // namespace auburnhaven::protocol
