// Claim operations between daemons of a zone.

#include "protocol/claim_messenger.h"

#include "coordination/request/claim_codec.h"

#include <charconv>
#include <utility>

namespace auburnhaven::protocol {

namespace {

constexpr char kCall = 'q';                ///< First byte of a call.
constexpr char kAnswer = 'a';              ///< First byte of an answer.
constexpr std::size_t kMaxWaiting = 16384; ///< Calls kept without an answer.

/** A message: its kind, its number and the text behind a space. */
struct Envelope
{
  char kind_ = 0;            ///< kCall or kAnswer.
  std::uint64_t number_ = 0; ///< Number of the call.
  std::string text_;         ///< Operation or result.
};

/** @return The message as bytes. */
std::string
encode(const Envelope& aEnvelope)
{
  return aEnvelope.kind_ + std::to_string(aEnvelope.number_) + ' ' +
         aEnvelope.text_;
}

/** @return The message, or nothing when the bytes are not one. */
std::optional<Envelope>
decode(const std::string& aBytes)
{
  Envelope envelope;
  const std::size_t space = aBytes.find(' ');
  if (space == std::string::npos || space < 2) {
    return std::nullopt;
  }
  const char* end = aBytes.data() + space;
  const auto parsed = std::from_chars(aBytes.data() + 1, end, envelope.number_);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  envelope.kind_ = aBytes.front();
  envelope.text_ = aBytes.substr(space + 1);
  return envelope;
}

} // namespace

ClaimMessenger::ClaimMessenger(ByteLinks& aLinks, EndpointFinder aFind)
  : links_(aLinks)
  , find_(std::move(aFind))
{
  links_.onMessage(
    [this](const state::Endpoint& aFrom, const std::string& aMessage) {
      receive(aFrom, aMessage);
    });
}

void
ClaimMessenger::forward(const state::DaemonId& aTo,
                        const coordination::ClaimOperation& aOperation,
                        coordination::ClaimHandler aHandler)
{
  const std::optional<state::Endpoint> endpoint = find_(aTo);
  if (!endpoint) {
    return;
  }
  const std::uint64_t number = nextNumber_++;
  waiting_[number] = std::move(aHandler);
  if (waiting_.size() > kMaxWaiting) {
    waiting_.erase(waiting_.begin());
  }
  links_.send(
    *endpoint,
    encode({ kCall, number, coordination::encodeClaimOperation(aOperation) }));
}

void
ClaimMessenger::receive(const state::Endpoint& aFrom,
                        const std::string& aMessage)
{
  const std::optional<Envelope> envelope = decode(aMessage);
  if (!envelope) {
    return;
  }
  if (envelope->kind_ == kCall) {
    serve(aFrom, envelope->number_, envelope->text_);
  } else if (envelope->kind_ == kAnswer) {
    deliver(envelope->number_, envelope->text_);
  }
}

void
ClaimMessenger::serve(const state::Endpoint& aFrom,
                      std::uint64_t aNumber,
                      const std::string& aText)
{
  const auto operation = coordination::decodeClaimOperation(aText);
  if (!operation || service_ == nullptr) {
    return;
  }
  service_->serve(
    *operation,
    [this, aFrom, aNumber](const coordination::ClaimResult& aResult) {
      links_.send(
        aFrom,
        encode({ kAnswer, aNumber, coordination::encodeClaimResult(aResult) }));
    });
}

void
ClaimMessenger::deliver(std::uint64_t aNumber, const std::string& aText)
{
  const auto found = waiting_.find(aNumber);
  const auto result = coordination::decodeClaimResult(aText);
  if (found == waiting_.end() || !result) {
    return;
  }
  const coordination::ClaimHandler handler = std::move(found->second);
  waiting_.erase(found);
  handler(*result);
}

} // namespace auburnhaven::protocol
