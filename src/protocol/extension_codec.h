// Datagrams by which a lease holder asks for an extension, and their replies.
#pragma once

#include "coordination/lease_extension.h"

#include <cstdint>
#include <optional>
#include <string>

namespace auburnhaven::protocol {

/** A holder's request for an extension of its authority. */
struct ExtensionRequestMessage
{
  std::uint64_t number_ = 0;    ///< Repeated in the reply.
  state::ZoneId zone_;          ///< Zone of the lease.
  std::uint64_t authority_ = 0; ///< Number of the holder's lease.
  bool operator==(const ExtensionRequestMessage&) const = default;
};

/** A daemon's reply. */
struct ExtensionReplyMessage
{
  std::uint64_t number_ = 0; ///< Number of the request.
  state::ZoneId zone_;       ///< Zone of the lease.
  coordination::ExtensionReply reply_ =
    coordination::ExtensionReply::kRefused; ///< The reply.
  bool operator==(const ExtensionReplyMessage&) const = default;
};

/** A holder that stops hands its authority over to another daemon. */
struct HandoverMessage
{
  state::ZoneId zone_;          ///< Zone of the lease.
  std::uint64_t authority_ = 0; ///< Number of the lease.
  std::uint64_t epochs_ = 0;    ///< Epochs that the holder used under it.
  bool operator==(const HandoverMessage&) const = default;
};

/** @param aHandover A handover. @return Its datagram. Thread-safe. */
std::string
encodeHandover(const HandoverMessage& aHandover);

/**
 * @param aDatagram A datagram.
 * @return The handover, or nothing when it is none. Thread-safe.
 */
std::optional<HandoverMessage>
decodeHandover(const std::string& aDatagram);

/** @param aRequest A request. @return Its datagram. Thread-safe. */
std::string
encodeExtensionRequest(const ExtensionRequestMessage& aRequest);

/**
 * @param aDatagram A datagram.
 * @return The request, or nothing when it is none. Thread-safe.
 */
std::optional<ExtensionRequestMessage>
decodeExtensionRequest(const std::string& aDatagram);

/** @param aReply A reply. @return Its datagram. Thread-safe. */
std::string
encodeExtensionReply(const ExtensionReplyMessage& aReply);

/**
 * @param aDatagram A datagram.
 * @return The reply, or nothing when it is none. Thread-safe.
 */
std::optional<ExtensionReplyMessage>
decodeExtensionReply(const std::string& aDatagram);

} // namespace auburnhaven::protocol
