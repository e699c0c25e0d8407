// One client of the load: its connections, one after the other.

#include "platform/load/load_connection.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace auburnhaven::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConnectTimeout(1000); ///< For a new connection.
constexpr milliseconds kAnswerPatience(
  1000); ///< Beyond the deadline, until a client gives up.
constexpr milliseconds kAfterRefusal(50); ///< After a refused connection.
constexpr milliseconds kMaxIdle(300);     ///< Longest pause between requests.
constexpr milliseconds kSlowPause(50);   ///< Before each read of a slow reader.
constexpr std::size_t kSlowBytes = 1000; ///< Read at once by a slow reader.
constexpr int kSlowWindow = 4096;        ///< Its receive buffer, in bytes.
constexpr std::size_t kReadBytes = 16384;     ///< Read at once by others.
constexpr std::uint32_t kMaxRetries = 3;      ///< Attempts after the first.
constexpr std::uint32_t kStreamPercent = 55;  ///< Share of streams.
constexpr std::uint32_t kConfirmPercent = 20; ///< Share of confirmations.
constexpr std::uint32_t kLongPercent = 5;     ///< Streams that are long.
constexpr std::uint32_t kLongFactor = 2;      ///< Events of a long one.
constexpr std::uint32_t kLargePercent = 20;   ///< Lookups with a large body.
constexpr std::uint32_t kTokensOfEvent = 5;   ///< Tokens of one event.

} // namespace

LoadConnection::LoadConnection(LoadShared& aShared, std::uint64_t aSeed)
  : shared_(aShared)
  , random_(aSeed)
  , slow_(chance(aShared.options_.slowPercent_))
  , halfCloses_(chance(aShared.options_.halfClosePercent_))
  , pipelines_(chance(aShared.options_.pipelinePercent_))
{
}

std::uint32_t
LoadConnection::pick(std::uint32_t aFrom, std::uint32_t aTo)
{
  return std::uniform_int_distribution<std::uint32_t>(aFrom, aTo)(random_);
}

void
LoadConnection::pause(milliseconds aTime, const asio::yield_context& aYield)
{
  asio::steady_timer timer(aYield.get_executor(), aTime);
  error_code ignored;
  timer.async_wait(aYield[ignored]);
}

void
LoadConnection::run(const asio::yield_context& aYield)
{
  pause(milliseconds(pick(0, 1000)), aYield);
  while (!shared_.ending_) {
    pause(std::exchange(wait_, {}), aYield);
    if (connect(aYield)) {
      useConnection(aYield);
    } else {
      shared_.board_.noteRefusal(daemon_);
      pause(kAfterRefusal, aYield);
    }
    stream_.reset();
  }
}

bool
LoadConnection::connect(const asio::yield_context& aYield)
{
  daemon_ = shared_.board_.choose(random_);
  buffer_.clear();
  halfClosed_ = false;
  stream_.emplace(aYield.get_executor());
  error_code error;
  stream_->socket().open(tcp::v4(), error);
  if (slow_) {
    stream_->socket().set_option(
      asio::socket_base::receive_buffer_size(kSlowWindow), error);
  }
  stream_->expires_after(kConnectTimeout);
  stream_->async_connect(shared_.board_.callers(daemon_), aYield[error]);
  return !error;
}

void
LoadConnection::useConnection(const asio::yield_context& aYield)
{
  bool open = true;
  while (open && !shared_.ending_) {
    std::vector<LoadRequest> batch = nextBatch();
    open = send(batch, aYield);
    const LoadEnd unread = open ? LoadEnd::kBehind : LoadEnd::kReset;
    for (const LoadRequest& request : batch) {
      LoadOutcome outcome = open ? receive(request, aYield)
                                 : AnswerReader(request).cutShort(unread);
      open = open && !outcome.closes_ && !outcome.isLost();
      keepForRetry(outcome);
      shared_.report_.note(std::move(outcome));
    }
    // A refused request goes on over a new connection.
    open = open && !retry_;
    if (open && chance(kStreamPercent)) {
      pause(milliseconds(pick(0, kMaxIdle.count())), aYield);
    }
  }
}

std::vector<LoadRequest>
LoadConnection::nextBatch()
{
  if (retry_) {
    LoadRequest again = *std::exchange(retry_, std::nullopt);
    LoadRequest request = makeRequest(again.kind_);
    request.earlier_ = again.earlier_ + 1;
    return { request };
  }
  const std::uint32_t dice = pick(1, 100);
  if (dice <= kStreamPercent) {
    return { makeRequest(LoadKind::kStream) };
  }
  if (dice <= kStreamPercent + kConfirmPercent) {
    return { makeRequest(LoadKind::kConfirm) };
  }
  std::vector<LoadRequest> lookups = { makeRequest(LoadKind::kLookup) };
  if (pipelines_) {
    lookups.push_back(makeRequest(LoadKind::kLookup));
  }
  return lookups;
}

LoadRequest
LoadConnection::makeRequest(LoadKind aKind)
{
  const LoadOptions& options = shared_.options_;
  LoadRequest request;
  request.kind_ = aKind;
  request.daemon_ = daemon_;
  request.attempt_ =
    std::to_string(options.seed_) + "-a" + std::to_string(++shared_.sent_);
  request.body_ = "order of " + request.attempt_;
  if (aKind == LoadKind::kStream) {
    request.model_ = options.models_[pick(
      0, static_cast<std::uint32_t>(options.models_.size() - 1))];
    request.events_ = chance(kLongPercent) ? kLongFactor * options.events_
                                           : pick(1, options.events_);
  } else if (aKind == LoadKind::kLookup && chance(kLargePercent)) {
    request.body_.append(pick(0, options.bodyBytes_), 'x');
  }
  return request;
}

std::string
LoadConnection::textOf(const LoadRequest& aRequest) const
{
  std::string text =
    "POST /" + std::string(nameOf(aRequest.kind_)) +
    "/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + aRequest.attempt_ +
    "\r\nAuthorization: Bearer " + shared_.options_.key_ +
    "\r\nX-Deadline-Ms: " + std::to_string(kLoadDeadline.count()) + "\r\n";
  if (aRequest.kind_ == LoadKind::kStream) {
    text += "X-Model-Id: " + aRequest.model_ + "\r\nX-Token-Usage: 800," +
            std::to_string(kTokensOfEvent * aRequest.events_) + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aRequest.body_.size()) +
         "\r\n\r\n" + aRequest.body_;
}

bool
LoadConnection::send(std::vector<LoadRequest>& aBatch,
                     const asio::yield_context& aYield)
{
  std::string text;
  for (const LoadRequest& request : aBatch) {
    text += textOf(request);
  }
  error_code error;
  stream_->expires_after(kLoadDeadline);
  asio::async_write(*stream_, asio::buffer(text), aYield[error]);
  for (LoadRequest& request : aBatch) {
    request.sentAt_ = std::chrono::system_clock::now();
  }
  return !error;
}

LoadOutcome
LoadConnection::receive(const LoadRequest& aRequest,
                        const asio::yield_context& aYield)
{
  AnswerReader reader(aRequest);
  while (!reader.take(buffer_)) {
    if (halfCloses_ && !halfClosed_ && reader.saysClose()) {
      error_code ignored;
      stream_->socket().shutdown(tcp::socket::shutdown_send, ignored);
      halfClosed_ = true;
    }
    if (slow_) {
      pause(kSlowPause, aYield);
    }
    error_code error;
    stream_->expires_after(kLoadDeadline + kAnswerPatience);
    buffer_.commit(stream_->async_read_some(
      buffer_.prepare(slow_ ? kSlowBytes : kReadBytes), aYield[error]));
    if (error) {
      const bool late = error == boost::beast::error::timeout;
      const LoadEnd end =
        error == asio::error::eof ? LoadEnd::kClosed : LoadEnd::kReset;
      return reader.cutShort(late ? LoadEnd::kNoAnswer : end);
    }
  }
  return reader.judge();
}

void
LoadConnection::keepForRetry(const LoadOutcome& aOutcome)
{
  const LoadRequest& request = aOutcome.request_;
  const bool failed = aOutcome.isLost() || aOutcome.end_ == LoadEnd::kFailed;
  const bool again = aOutcome.end_ == LoadEnd::kRefused ||
                     (failed && request.kind_ != LoadKind::kConfirm);
  if (again && request.earlier_ < kMaxRetries) {
    retry_ = request;
    wait_ = std::clamp(aOutcome.wait_, milliseconds(0), kLoadDeadline / 3);
  }
}

} // namespace auburnhaven::standins
