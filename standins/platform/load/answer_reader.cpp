// Reads the answer to one request of the load client and judges it.

#include "platform/load/answer_reader.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace auburnhaven::standins {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kEventStart = "id: "; ///< Begins each event.
constexpr std::string_view kEventEnd = "\n\n";   ///< Ends each event.

/** @return The event that the worker makes. */
std::string
eventOf(const LoadRequest& aRequest, std::uint32_t aNumber)
{
  const std::string number = std::to_string(aNumber);
  return std::string(kEventStart) + number + "\ndata: " + aRequest.model_ +
         ' ' + aRequest.attempt_ + ' ' + number + std::string(kEventEnd);
}

/** @return Number of whole events in a body. */
std::uint32_t
countEvents(std::string_view aBody)
{
  std::uint32_t count = 0;
  for (std::size_t at = aBody.find(kEventEnd); at != std::string_view::npos;
       at = aBody.find(kEventEnd, at + kEventEnd.size())) {
    ++count;
  }
  return count;
}

/** @return Whether a status promises that the request never runs. */
bool
isPromise(std::uint32_t aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

AnswerReader::AnswerReader(const LoadRequest& aRequest)
  : request_(aRequest)
{
  parser_.body_limit(boost::none);
  parser_.eager(true);
}

bool
AnswerReader::take(boost::beast::flat_buffer& aBuffer)
{
  while (aBuffer.size() > 0 && !parser_.is_done()) {
    boost::system::error_code error;
    const std::size_t taken = parser_.put(aBuffer.data(), error);
    aBuffer.consume(taken);
    bytes_ += taken;
    if (error == http::error::need_more) {
      return false;
    }
    if (error) {
      malformed_ = error.message();
      return true;
    }
  }
  return parser_.is_done();
}

bool
AnswerReader::saysClose() const
{
  return parser_.is_header_done() && !parser_.get().keep_alive();
}

LoadOutcome
AnswerReader::outcome() const
{
  LoadOutcome outcome;
  outcome.request_ = request_;
  outcome.endedAt_ = std::chrono::system_clock::now();
  outcome.bytes_ = bytes_;
  outcome.closes_ = true;
  if (parser_.is_header_done()) {
    outcome.status_ = parser_.get().result_int();
    outcome.events_ = countEvents(parser_.get().body());
    outcome.closes_ = saysClose();
    const std::string wait(parser_.get()[http::field::retry_after]);
    outcome.wait_ = std::chrono::milliseconds(
      static_cast<std::int64_t>(std::strtod(wait.c_str(), nullptr) * 1000));
  }
  return outcome;
}

LoadOutcome
AnswerReader::cutShort(LoadEnd aEnd) const
{
  LoadOutcome cut = outcome();
  cut.end_ = aEnd;
  cut.closes_ = true;
  return cut;
}

LoadOutcome
AnswerReader::judge() const
{
  LoadOutcome whole = outcome();
  whole.detail_ = malformed_;
  if (malformed_.empty() && whole.status_ / 100 == 2) {
    whole.detail_ = faultOfSuccess();
  }
  if (!whole.detail_.empty()) {
    whole.end_ = LoadEnd::kWrong;
  } else if (whole.status_ / 100 == 2) {
    whole.end_ = LoadEnd::kSuccess;
  } else if (isPromise(whole.status_)) {
    whole.end_ = LoadEnd::kRefused;
  } else {
    whole.end_ = whole.status_ >= 500 ? LoadEnd::kFailed : LoadEnd::kDenied;
  }
  return whole;
}

std::string
AnswerReader::faultOfSuccess() const
{
  const auto& answer = parser_.get();
  if (answer["X-Attempt-Id"] != request_.attempt_) {
    return "answer of attempt " + std::string(answer["X-Attempt-Id"]);
  }
  if (answer["X-Origin-Signature"].empty()) {
    return "no signature";
  }
  if (request_.kind_ == LoadKind::kStream) {
    return faultOfStream();
  }
  const nlohmann::json expected = { { "done", request_.attempt_ },
                                    { "body", request_.body_ } };
  return answer.body() == expected.dump() ? "" : "body differs";
}

std::string
AnswerReader::faultOfStream() const
{
  const std::string& body = parser_.get().body();
  std::size_t at = 0;
  for (std::uint32_t number = 1; number <= request_.events_; ++number) {
    const std::string event = eventOf(request_, number);
    if (body.compare(at, event.size(), event) != 0) {
      return "event " + std::to_string(number) + " is missing or differs";
    }
    at += event.size();
  }
  return at == body.size() ? "" : "bytes after the last event";
}

} // namespace auburnhaven::standins
