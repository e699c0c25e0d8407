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
    return ExtensionRequestMessage{ aMessage.at(1).get<std::uint64_t>(),
                                    state::ZoneId(
                                      aMessage.at(2).get<std::string>()),
                                    aMessage.at(3).get<std::uint64_t>() };
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
    constexpr int kBadCount = 504; // error number of the exception
    const auto epochs = aMessage.at(3).get<std::uint64_t>();
    if (epochs >= coordination::kEpochsPerTerm) {
      throw Json::other_error::create(
        kBadCount, "more epochs than a term has", &aMessage);
    }
    return HandoverMessage{ state::ZoneId(aMessage.at(1).get<std::string>()),
                            aMessage.at(2).get<std::uint64_t>(),
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
      aMessage.at(1).get<std::uint64_t>(),
      state::ZoneId(aMessage.at(2).get<std::string>()),
      aMessage.at(3).get<bool>() ? coordination::ExtensionReply::kPromised
                                 : coordination::ExtensionReply::kRefused
    };
  });
}

} // namespace auburnhaven::protocol
