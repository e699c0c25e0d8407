// Datagrams by which a lease holder asks for an extension, and their replies.

#include "protocol/extension_codec.h"

#include "coordination/replica/replica_type.h"
#include "protocol/datagram_func.h"

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;

constexpr int kRequestMark = 5;  ///< First field of a request.
constexpr int kReplyMark = 6;    ///< First field of a reply.
constexpr int kHandoverMark = 7; ///< First field of a handover.

} // namespace

std::string
encodeExtensionRequest(const ExtensionRequestMessage& aRequest)
{
  return encodeDatagram({ kRequestMark,
                          aRequest.number_,
                          aRequest.zone_.value(),
                          aRequest.authority_ });
}

std::optional<ExtensionRequestMessage>
decodeExtensionRequest(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kRequestMark, [](const Json& aMessage) {
    return ExtensionRequestMessage{
      state::readCount<std::uint64_t>(aMessage.at(1)),
      state::ZoneId(aMessage.at(2).get<std::string>()),
      state::readCount<std::uint64_t>(aMessage.at(3))
    };
  });
}

std::string
encodeHandover(const HandoverMessage& aHandover)
{
  return encodeDatagram({ kHandoverMark,
                          aHandover.zone_.value(),
                          aHandover.authority_,
                          aHandover.epochs_ });
}

std::optional<HandoverMessage>
decodeHandover(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kHandoverMark, [](const Json& aMessage) {
    const auto epochs = state::readCount<std::uint64_t>(
      aMessage.at(3), coordination::kEpochsPerTerm - 1);
    return HandoverMessage{ state::ZoneId(aMessage.at(1).get<std::string>()),
                            state::readCount<std::uint64_t>(aMessage.at(2)),
                            epochs };
  });
}

std::string
encodeExtensionReply(const ExtensionReplyMessage& aReply)
{
  const bool promised =
    aReply.reply_ == coordination::ExtensionReply::kPromised;
  return encodeDatagram(
    { kReplyMark, aReply.number_, aReply.zone_.value(), promised });
}

std::optional<ExtensionReplyMessage>
decodeExtensionReply(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kReplyMark, [](const Json& aMessage) {
    return ExtensionReplyMessage{
      state::readCount<std::uint64_t>(aMessage.at(1)),
      state::ZoneId(aMessage.at(2).get<std::string>()),
      aMessage.at(3).get<bool>() ? coordination::ExtensionReply::kPromised
                                 : coordination::ExtensionReply::kRefused
    };
  });
}

} // namespace auburnhaven::protocol
