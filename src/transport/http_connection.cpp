// One connection of the HTTP client.

#include "transport/http_connection.h"

#include "state/http_status_func.h"
#include "transport/http_parse_func.h"
#include "transport/response_head_func.h"
#include "transport/system_clock.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned int kHttpVersion = 11; ///< HTTP/1.1.
constexpr int kMaxInterims = 8; ///< Interim headers before the final one.

/** Turns a request into the library's type. */
http::request<http::string_body>
encode(const state::Endpoint& aEndpoint, const HttpClientRequest& aRequest)
{
  http::request<http::string_body> request;
  request.version(kHttpVersion);
  request.method_string(aRequest.method_);
  request.target(aRequest.path_);
  const bool isV6 = aEndpoint.address_.find(':') != std::string::npos;
  request.set(http::field::host,
              (isV6 ? '[' + aEndpoint.address_ + ']' : aEndpoint.address_) +
                ':' + std::to_string(aEndpoint.port_));
  bool hasHost = false;
  for (const HttpField& field : aRequest.headers_) {
    const bool isHost = beast::iequals(field.name_, "Host");
    if (isHost && !hasHost) {
      request.set(http::field::host, field.value_);
      hasHost = true;
    } else if (!isHost) {
      request.insert(field.name_, field.value_);
    }
  }
  request.body() = aRequest.body_;
  request.prepare_payload();
  return request;
}

} // namespace

HttpConnection::HttpConnection(asio::io_context& aContext,
                               state::Endpoint aEndpoint,
                               const HttpClientLimits& aLimits)
  : endpoint_(std::move(aEndpoint))
  , limits_(aLimits)
  , stream_(aContext.get_executor())
  , buffer_(aLimits.maxHeaderBytes_ + kReadAheadBytes)
{
}

HttpFailure
HttpConnection::connect(std::chrono::milliseconds aTimeout,
                        const asio::yield_context& aYield)
{
  error_code error;
  if (aborted_) {
    return { HttpFailureKind::kAborted, false, "aborted" };
  }
  const auto address = asio::ip::make_address(endpoint_.address_, error);
  if (!error) {
    stream_.expires_after(aTimeout);
    stream_.async_connect(asio::ip::tcp::endpoint(address, endpoint_.port_),
                          aYield[error]);
  }
  if (!error) {
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  }
  if (!error) {
    // What is unsent when a request is abandoned must not arrive later.
    stream_.socket().set_option(asio::socket_base::linger(true, 0), error);
  }
  if (!error && limits_.probeAfter_.count() > 0) {
    probeSilence();
  }
  if (!error) {
    return {};
  }
  return { aborted_ ? HttpFailureKind::kAborted : HttpFailureKind::kConnect,
           false,
           error.message() };
}

void
HttpConnection::probeSilence()
{
  constexpr int kProbePeriod = 1; // seconds
  constexpr int kProbes = 2;      // without answer, then the connection is lost
  const int after = static_cast<int>(limits_.probeAfter_.count());
  const int socket = stream_.socket().native_handle();
  error_code error;
  stream_.socket().set_option(asio::socket_base::keep_alive(true), error);
  // A platform that lacks an option leaves only the timeouts of the calls.
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &after, sizeof after);
  setsockopt(
    socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbePeriod, sizeof kProbePeriod);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
}

HttpFailure
HttpConnection::send(const HttpClientRequest& aRequest,
                     const HttpTimeouts& aTimeouts,
                     const asio::yield_context& aYield)
{
  ended_.reset();
  lines_.clear();
  linesTaken_ = 0;
  interims_ = 0;
  deadline_ = Time::max();
  if (aTimeouts.whole_.count() > 0) {
    limitTime(aTimeouts.whole_);
  }
  startParser();
  const http::request<http::string_body> request = encode(endpoint_, aRequest);
  if (!usable()) {
    return { aborted_ ? HttpFailureKind::kAborted : HttpFailureKind::kClosed,
             false,
             "closed, or bytes arrived before the request" };
  }
  if (aRequest.sendBefore_ && SystemClock().now() >= *aRequest.sendBefore_) {
    return { HttpFailureKind::kAborted, false, "the right to send has ended" };
  }
  error_code error;
  headUntil_ = limitOf(aTimeouts.response_);
  stream_.expires_at(headUntil_);
  const std::size_t written =
    http::async_write(stream_, request, aYield[error]);
  stream_.expires_never();
  return error ? failure(error, written > 0) : HttpFailure{};
}

void
HttpConnection::startParser()
{
  parser_.emplace();
  parser_->header_limit(limits_.maxHeaderBytes_);
  parser_->body_limit(boost::none);
  lacksBytes_ = false;
}

bool
HttpConnection::parseHead(error_code& aError)
{
  while (buffer_.size() > 0) {
    const asio::const_buffer bytes = buffer_.data();
    // The rest of a head may be shorter than a chunk, so each byte is tried.
    bool lacksBytes = false;
    const bool isParsed = parseBuffered(*parser_, buffer_, lacksBytes, aError);
    if (hasContinuedLine({ static_cast<const char*>(bytes.data()),
                           bytes.size() - buffer_.size() })) {
      aError = http::error::bad_field;
    } else if (!isParsed) {
      return false;
    }
    if (aError || !announcesNextHead(aError)) {
      return true;
    }
    startParser();
  }
  return false;
}

bool
HttpConnection::announcesNextHead(error_code& aError)
{
  aError = faultOf(parser_->get());
  const bool isInterim = state::isInterimStatus(status());
  if (isInterim && ++interims_ > kMaxInterims) {
    aError = http::error::bad_status;
  }
  return isInterim && !aError;
}

HttpFailure
HttpConnection::readHead(const asio::yield_context& aYield)
{
  error_code error;
  while (!error && !parseHead(error)) {
    readBytes(headUntil_, error, aYield);
  }
  return error ? failure(error, true) : HttpFailure{};
}

std::optional<HttpFailure>
HttpConnection::pollHead()
{
  error_code error;
  while (!error && !parseHead(error)) {
    takeBytes(error);
  }
  if (error == asio::error::would_block) {
    return std::nullopt;
  }
  return error ? failure(error, true) : HttpFailure{};
}

std::size_t
HttpConnection::roomForBytes(error_code& aError)
{
  const std::size_t room = beast::read_size(buffer_, kReadAheadBytes);
  if (room == 0) {
    aError = http::error::buffer_overflow;
  }
  return room;
}

void
HttpConnection::readBytes(Time aUntil,
                          error_code& aError,
                          const asio::yield_context& aYield)
{
  const std::size_t room = roomForBytes(aError);
  if (aError) {
    return;
  }
  stream_.expires_at(aUntil);
  turn_.restart();
  buffer_.commit(
    stream_.async_read_some(buffer_.prepare(room), aYield[aError]));
  parseEnd(*parser_, aError);
}

void
HttpConnection::takeBytes(error_code& aError)
{
  const std::size_t room = roomForBytes(aError);
  if (!aError) {
    stream_.socket().non_blocking(true, aError);
  }
  if (aError) {
    return;
  }
  buffer_.commit(stream_.socket().read_some(buffer_.prepare(room), aError));
  parseEnd(*parser_, aError);
}

HttpFailure
HttpConnection::failure(const error_code& aError,
                        bool aBytesMayHaveArrived) const
{
  static const error_code kEndOfStream = http::error::end_of_stream;
  HttpFailureKind kind = HttpFailureKind::kClosed;
  if (aborted_) {
    kind = HttpFailureKind::kAborted;
  } else if (aError == beast::error::timeout) {
    kind = HttpFailureKind::kTimeout;
  } else if (aError.category() == kEndOfStream.category() &&
             aError != kEndOfStream && aError != http::error::partial_message) {
    kind = HttpFailureKind::kMalformed;
  }
  return { kind, aBytesMayHaveArrived, aError.message() };
}

HttpPiece
HttpConnection::finish(const error_code& aError)
{
  HttpReadStatus status = HttpReadStatus::kEnd;
  if (aError == beast::error::timeout) {
    status = HttpReadStatus::kTimeout;
  } else if (aError) {
    status = HttpReadStatus::kCutShort;
  } else if (parser_->need_eof()) {
    status = HttpReadStatus::kEndOfConnection;
  }
  ended_ = status;
  return { status, {} };
}

void
HttpConnection::limitTime(std::chrono::milliseconds aLimit)
{
  deadline_ = std::min(deadline_, std::chrono::steady_clock::now() + aLimit);
}

HttpConnection::Time
HttpConnection::limitOf(std::chrono::milliseconds aTimeout) const
{
  return std::min(deadline_, std::chrono::steady_clock::now() + aTimeout);
}

HttpPiece
HttpConnection::readChunk(std::chrono::milliseconds aTimeout,
                          const asio::yield_context& aYield)
{
  return readPiece(limitOf(aTimeout), aYield);
}

void
HttpConnection::provideBodyBuffer()
{
  auto& body = parser_->get().body();
  body.data = piece_.data();
  body.size = piece_.size();
  body.more = true;
}

std::optional<HttpPiece>
HttpConnection::pieceAfter(const error_code& aError)
{
  const std::size_t got = piece_.size() - parser_->get().body().size;
  if (aError && aError != http::error::need_buffer) {
    return finish(aError);
  }
  if (got > 0) {
    return HttpPiece{ HttpReadStatus::kData, { piece_.data(), got } };
  }
  return std::nullopt;
}

HttpPiece
HttpConnection::readPiece(Time aUntil, const asio::yield_context& aYield)
{
  while (!ended_) {
    if (parser_->is_done()) {
      return finish({});
    }
    provideBodyBuffer();
    error_code error;
    if (!parseBuffered(*parser_, buffer_, lacksBytes_, error)) {
      readBytes(aUntil, error, aYield);
    }
    if (const auto piece = pieceAfter(error)) {
      turn_.note(piece->data_.size());
      turn_.yieldIfOver(aYield);
      return *piece;
    }
  }
  return { *ended_, {} };
}

HttpPiece
HttpConnection::poll()
{
  while (!ended_) {
    if (parser_->is_done()) {
      return finish({});
    }
    provideBodyBuffer();
    error_code error;
    if (!parseBuffered(*parser_, buffer_, lacksBytes_, error)) {
      takeBytes(error);
    }
    if (error == asio::error::would_block) {
      return { HttpReadStatus::kPending, {} };
    }
    if (const auto piece = pieceAfter(error)) {
      return *piece;
    }
  }
  return { *ended_, {} };
}

void
HttpConnection::onReadable(std::function<void()> aHandler)
{
  stream_.socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [handler = std::move(aHandler)](const error_code& aError) {
      if (aError != asio::error::operation_aborted) {
        handler();
      }
    });
}

void
HttpConnection::cancelWait()
{
  error_code ignored;
  stream_.socket().cancel(ignored);
}

HttpPiece
HttpConnection::takeLine(std::size_t aEnd)
{
  std::string_view line(lines_);
  line = line.substr(linesTaken_, aEnd - linesTaken_);
  linesTaken_ = std::min(aEnd + 1, lines_.size());
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return { HttpReadStatus::kData, line };
}

HttpPiece
HttpConnection::readLine(std::chrono::milliseconds aTimeout,
                         const asio::yield_context& aYield)
{
  std::size_t searched = linesTaken_;
  // Bytes that come now and then make no line, so they don't move the limit.
  const Time until = limitOf(aTimeout);
  for (;;) {
    const std::size_t end = lines_.find('\n', searched);
    if (end != std::string::npos) {
      turn_.note(end - linesTaken_);
      turn_.yieldIfOver(aYield);
      return takeLine(end);
    }
    if (lines_.size() - linesTaken_ > limits_.maxLineBytes_) {
      abort();
      ended_ = HttpReadStatus::kTooLong;
      return { HttpReadStatus::kTooLong, {} };
    }
    lines_.erase(0, std::exchange(linesTaken_, 0));
    searched = lines_.size();
    const HttpPiece piece = readPiece(until, aYield);
    if (piece.status_ == HttpReadStatus::kData) {
      lines_.append(piece.data_);
    } else if (piece.status_ == HttpReadStatus::kEnd && !lines_.empty()) {
      return takeLine(lines_.size());
    } else {
      return piece;
    }
  }
}

void
HttpConnection::abort()
{
  aborted_ = true;
  stream_.close();
}

bool
HttpConnection::usable()
{
  if (!stream_.socket().is_open() || buffer_.size() > 0) {
    return false;
  }
  error_code error;
  stream_.socket().non_blocking(true, error);
  char byte = 0;
  stream_.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

bool
HttpConnection::reusable() const
{
  return !aborted_ && parser_ && parser_->is_done() && parser_->keep_alive() &&
         buffer_.size() == 0;
}

std::uint32_t
HttpConnection::status() const
{
  return parser_->get().result_int();
}

std::string_view
HttpConnection::header(std::string_view aName) const
{
  const auto& fields = parser_->get();
  const auto found = fields.find({ aName.data(), aName.size() });
  if (found == fields.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

std::vector<HttpField>
HttpConnection::headers() const
{
  std::vector<HttpField> headers;
  for (const auto& field : parser_->get()) {
    headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

void
HttpConnection::markIdle()
{
  stream_.expires_never();
  ++use_;
  idleSince_ = std::chrono::steady_clock::now();
}

} // namespace auburnhaven::transport
