// Short HTTP calls of the control thread with fail-over between addresses.

#include "transport/service_caller.h"

#include <boost/asio.hpp>

#include <cassert>
#include <charconv>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t kServiceUnavailable = 503; ///< Certainly not done.

/** Aborts a call when a time has passed. */
void
abortAfter(asio::steady_timer& aTimer,
           state::Duration aTime,
           const std::shared_ptr<HttpAborter>& aAborter)
{
  aTimer.expires_after(aTime);
  aTimer.async_wait([aAborter](const boost::system::error_code& aError) {
    if (!aError) {
      aAborter->abort();
    }
  });
}

/** @return Whether an answer says that its body is larger than a limit. */
bool
announcesMoreThan(const HttpCall& aCall, std::size_t aLimit)
{
  const std::string_view text = aCall.header("Content-Length");
  std::size_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length > aLimit;
}

} // namespace

ServiceCaller::ServiceCaller(asio::io_context& aContext, HttpClient& aClient)
  : context_(aContext)
  , client_(aClient)
{
}

void
ServiceCaller::start(Task aTask)
{
  asio::spawn(context_, std::move(aTask), [](const std::exception_ptr& aError) {
    if (aError) {
      std::rethrow_exception(aError);
    }
  });
}

void
ServiceCaller::later(std::function<void()> aWork)
{
  asio::post(context_, std::move(aWork));
}

ServiceAnswer
ServiceCaller::call(const state::Endpoint& aEndpoint,
                    const ServiceCall& aCall,
                    const asio::yield_context& aYield)
{
  const auto aborter = std::make_shared<HttpAborter>();
  asio::steady_timer deadline(context_);
  abortAfter(deadline, aCall.timeout_, aborter);
  const auto limit =
    std::chrono::ceil<std::chrono::milliseconds>(aCall.timeout_);
  HttpCall call = client_.open(
    aEndpoint, aCall.request_, { limit, limit, limit }, aYield, aborter.get());
  if (!call.hasResponse()) {
    return { 0, {}, call.failure().bytesMayHaveArrived_, 0, false, {} };
  }
  std::string header(
    aCall.wantedHeader_.empty() ? "" : call.header(aCall.wantedHeader_));
  if (announcesMoreThan(call, aCall.maxBytes_)) {
    return { 0, {}, true, 0, true, std::move(header) };
  }
  if (aCall.transferTimeout_.count() > 0) {
    abortAfter(deadline, aCall.transferTimeout_, aborter);
  }
  HttpBody body = call.readAll(aCall.maxBytes_, aYield);
  const std::size_t received = body.data_.size();
  if (body.status_ != HttpReadStatus::kEnd) {
    const bool tooLarge = body.status_ == HttpReadStatus::kTooLong;
    return { 0, {}, true, received, tooLarge, std::move(header) };
  }
  return { call.status(), std::move(body.data_), true, received,
           false,         std::move(header) };
}

ServiceAnswer
ServiceCaller::callAny(const std::vector<state::Endpoint>& aEndpoints,
                       std::size_t& aPreferred,
                       const ServiceCall& aCall,
                       const asio::yield_context& aYield)
{
  assert(!aEndpoints.empty());
  ServiceAnswer answer;
  const std::size_t first = aPreferred;
  for (std::size_t index = 0; index < aEndpoints.size(); ++index) {
    const std::size_t current = (first + index) % aEndpoints.size();
    answer = call(aEndpoints[current], aCall, aYield);
    const bool notDone =
      !answer.mayHaveRun_ || answer.status_ == kServiceUnavailable;
    const bool noAnswer = answer.status_ == 0;
    if (!notDone && !(noAnswer && aCall.repeatable_)) {
      aPreferred = noAnswer ? (current + 1) % aEndpoints.size() : current;
      return answer;
    }
  }
  return answer;
}

HttpClientRequest
makePost(std::string aPath, std::string aBody)
{
  return { "POST",
           std::move(aPath),
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

std::string
percentEncode(const std::string& aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  static constexpr std::string_view kPlain = "-._~";
  std::string result;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    const bool isAlphanumeric = (byte >= '0' && byte <= '9') ||
                                (byte >= 'a' && byte <= 'z') ||
                                (byte >= 'A' && byte <= 'Z');
    if (isAlphanumeric || kPlain.find(letter) != std::string_view::npos) {
      result += letter;
    } else {
      result += '%';
      result += kDigits[byte >> 4U];
      result += kDigits[byte & 15U];
    }
  }
  return result;
}

std::optional<std::string>
percentDecode(const std::string& aText)
{
  std::string result;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] != '%') {
      result += aText[at];
      continue;
    }
    unsigned int byte = 0;
    const char* from = aText.data() + at + 1;
    const bool valid =
      at + 2 < aText.size() &&
      std::from_chars(from, from + 2, byte, 16).ptr == from + 2;
    if (!valid) {
      return std::nullopt;
    }
    result += static_cast<char>(byte);
    at += 2;
  }
  return result;
}

} // namespace auburnhaven::transport
