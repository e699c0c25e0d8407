// Header lines and records of forwarded requests.

#include "transport/forward_codec.h"

#include "state/http_status_func.h"
#include "transport/peer_session.h"
#include "transport/service_caller.h"

#include <boost/endian/conversion.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace auburnhaven::transport {

namespace {

constexpr char kForwardPath[] = "/peer/forward";
constexpr std::size_t kRecordHead = 12; ///< Length and offset of a record.
constexpr std::uint32_t kMaxTokenBytes = 1024 * 1024; ///< Longest token.

/** Name of an end on the wire. */
struct EndName
{
  std::string_view name_; ///< Name.
  TargetEventKind kind_;  ///< What it stands for.
};

constexpr std::array<EndName, 5> kEnds{ {
  { "whole", TargetEventKind::kWhole },
  { "refused", TargetEventKind::kRefused },
  { "not-reached", TargetEventKind::kNotReached },
  { "cut", TargetEventKind::kCutShort },
  { "timeout", TargetEventKind::kTimedOut },
} };

/** @return A text as a header value: letters, digits and escapes only. */
std::string
escape(const std::string& aText)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string result;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    if (byte > ' ' && byte < 0x7f && byte != '%') {
      result += letter;
    } else {
      result += { '%', kDigits[byte >> 4U], kDigits[byte & 15U] };
    }
  }
  return result;
}

/** Reads header lines and notes whether all were well formed. */
class FieldReader
{
public:
  /** @param aFields The lines. */
  explicit FieldReader(const H2Fields& aFields)
    : fields_(aFields)
  {
  }

  /** @return Value of a text. */
  std::string text(std::string_view aName)
  {
    const std::string value = fieldOf(fields_, aName);
    const std::optional<std::string> result = percentDecode(value);
    good_ = good_ && result;
    return good_ ? *result : std::string();
  }

  /** @return Value of a number. */
  template<class Number>
  Number number(std::string_view aName)
  {
    const std::string value = fieldOf(fields_, aName);
    Number result{};
    const char* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, result);
    good_ = good_ && error == std::errc() && stop == end;
    return result;
  }

  /** @return Whether all lines read so far were well formed. */
  bool good() const { return good_; }

private:
  const H2Fields& fields_; ///< The lines.
  bool good_ = true;       ///< Whether all were well formed.
};

} // namespace

H2Fields
encodeForward(const ForwardedRequest& aRequest)
{
  const TargetCall& call = aRequest.call_;
  const coordination::RequestInfo& info = call.info_;
  return {
    { ":method", "POST" },
    { ":scheme", "http" },
    { ":authority", "peer" },
    { ":path", kForwardPath },
    { "x-request", escape(info.id_.value()) },
    { "x-account", escape(info.account_.value()) },
    { "x-group", escape(info.group_.value()) },
    { "x-kind", escape(info.kind_.value()) },
    { "x-service", escape(info.service_.value()) },
    { "x-operation", escape(info.operation_) },
    { "x-idempotency-key", escape(info.idempotencyKey_) },
    { "x-max-tokens", std::to_string(info.maxTokens_) },
    { "x-idempotent", std::to_string(info.idempotent_ ? 1 : 0) },
    { "x-attempt", std::to_string(call.attempt_.value()) },
    { "x-resume", std::to_string(call.resumeOffset_) },
    { "x-priority", std::to_string(call.priority_) },
    { "x-content-type", escape(call.contentType_) },
    { "x-timeout-ms", std::to_string(state::countMs(call.timeout_)) },
    { "x-vm", escape(aRequest.vm_.value()) },
    { "x-copy-group", escape(aRequest.copy_.group_.value()) },
    { "x-copy", std::to_string(aRequest.copy_.index_) },
    { "x-fencing", std::to_string(aRequest.fencing_.value()) },
  };
}

std::optional<ForwardedRequest>
decodeForward(const H2Fields& aFields)
{
  FieldReader reader(aFields);
  ForwardedRequest request;
  TargetCall& call = request.call_;
  coordination::RequestInfo& info = call.info_;
  info.id_ = state::RequestId(reader.text("x-request"));
  info.account_ = state::AccountId(reader.text("x-account"));
  info.group_ = state::GroupId(reader.text("x-group"));
  info.kind_ = state::WorkKindId(reader.text("x-kind"));
  info.service_ = state::ServiceId(reader.text("x-service"));
  info.operation_ = reader.text("x-operation");
  info.idempotencyKey_ = reader.text("x-idempotency-key");
  info.maxTokens_ = reader.number<std::uint32_t>("x-max-tokens");
  info.idempotent_ = reader.number<std::uint32_t>("x-idempotent") == 1;
  call.attempt_ = state::AttemptId(reader.number<std::uint64_t>("x-attempt"));
  call.resumeOffset_ = reader.number<std::uint64_t>("x-resume");
  call.priority_ = reader.number<std::int32_t>("x-priority");
  call.contentType_ = reader.text("x-content-type");
  call.timeout_ =
    std::chrono::milliseconds(reader.number<std::uint32_t>("x-timeout-ms"));
  request.vm_ = state::VmId(reader.text("x-vm"));
  request.copy_ = { state::GroupId(reader.text("x-copy-group")),
                    reader.number<std::uint32_t>("x-copy") };
  request.fencing_ =
    state::FencingNumber(reader.number<std::uint64_t>("x-fencing"));
  const bool good = reader.good() && !info.id_.empty() &&
                    fieldOf(aFields, ":path") == kForwardPath;
  return good ? std::optional(std::move(request)) : std::nullopt;
}

std::string
encodeToken(const TargetEvent& aEvent)
{
  std::array<unsigned char, kRecordHead> head{};
  boost::endian::store_big_u32(head.data(),
                               static_cast<std::uint32_t>(aEvent.text_.size()));
  boost::endian::store_big_u64(head.data() + 4, aEvent.offset_);
  std::string record(reinterpret_cast<const char*>(head.data()), head.size());
  return record + aEvent.text_;
}

std::optional<TargetEvent>
takeToken(std::string& aBytes)
{
  if (aBytes.size() < kRecordHead) {
    return std::nullopt;
  }
  const auto* head = reinterpret_cast<const unsigned char*>(aBytes.data());
  const std::uint32_t size = boost::endian::load_big_u32(head);
  TargetEvent event;
  if (size > kMaxTokenBytes) {
    event.kind_ = TargetEventKind::kCutShort;
    return event;
  }
  if (aBytes.size() < kRecordHead + size) {
    return std::nullopt;
  }
  event.kind_ = TargetEventKind::kToken;
  event.offset_ = boost::endian::load_big_u64(head + 4);
  event.text_ = aBytes.substr(kRecordHead, size);
  aBytes.erase(0, kRecordHead + size);
  return event;
}

H2Fields
encodeEnd(const TargetEvent& aEvent)
{
  H2Fields trailers;
  for (const EndName& end : kEnds) {
    if (end.kind_ == aEvent.kind_) {
      trailers.push_back({ "x-end", std::string(end.name_) });
    }
  }
  trailers.push_back({ "x-offset", std::to_string(aEvent.offset_) });
  if (aEvent.answer_) {
    trailers.push_back({ "x-status", std::to_string(aEvent.answer_->status_) });
    trailers.push_back(
      { "x-content-type", escape(aEvent.answer_->contentType_) });
  }
  return trailers;
}

TargetEvent
decodeEnd(const H2Fields& aTrailers, std::string aBody)
{
  FieldReader reader(aTrailers);
  TargetEvent event;
  const std::string name = fieldOf(aTrailers, "x-end");
  for (const EndName& end : kEnds) {
    if (end.name_ == name) {
      event.kind_ = end.kind_;
    }
  }
  event.offset_ = reader.number<std::uint64_t>("x-offset");
  if (!fieldOf(aTrailers, "x-status").empty()) {
    coordination::StoredAnswer answer;
    answer.status_ = reader.number<std::uint16_t>("x-status");
    answer.contentType_ = reader.text("x-content-type");
    answer.body_ = std::move(aBody);
    event.answer_ =
      std::make_shared<const coordination::StoredAnswer>(std::move(answer));
  }
  const bool isReadable =
    !event.answer_ || state::isFinalStatus(event.answer_->status_);
  if (!reader.good() || !isReadable) {
    return {};
  }
  return event;
}

} // namespace auburnhaven::transport
