// One connection of the HTTP server.

#include "transport/http_session.h"

#include "protocol/chat_codec.h"
#include "transport/caller_monitor.h"
#include "transport/connection_closer.h"
#include "transport/http_parse_func.h"
#include "transport/read_timer.h"
#include "transport/scoped_count.h"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using Parser = http::request_parser<http::string_body>;

/** @return The library's view of a string. */
beast::string_view
view(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

/** @return The request in the server's own type. */
HttpRequest
convert(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.method_ = std::string(aMessage.method_string());
  const std::string target(aMessage.target());
  const std::size_t question = target.find('?');
  request.path_ = target.substr(0, question);
  request.query_ =
    question == std::string::npos ? std::string() : target.substr(question + 1);
  for (const auto& field : aMessage) {
    request.headers_.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.body_ = std::move(aMessage.body());
  return request;
}

/** What to answer to a request that could not be read; status 0 for nothing. */
struct ReadFault
{
  std::uint32_t status_ = 0; ///< Status code.
  std::string_view code_;    ///< Code in the error body.
  const char* message_ = ""; ///< Text for people.
};

/** @return The answer to a read error. */
ReadFault
describe(const boost::system::error_code& aError, bool aHasBytes)
{
  if (aError == http::error::body_limit) {
    return { 413, "body_too_large", "the body is larger than allowed" };
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return { 431, "header_too_large", "the header is larger than allowed" };
  }
  if (aError == beast::error::timeout) {
    return aHasBytes ? ReadFault{ 408,
                                  "request_timeout",
                                  "the request did not arrive in time" }
                     : ReadFault{};
  }
  const bool malformed =
    aError.category() ==
    http::make_error_code(http::error::bad_method).category();
  const bool closed = aError == http::error::end_of_stream ||
                      aError == http::error::partial_message;
  return malformed && !closed ? ReadFault{ 400,
                                           "malformed_request",
                                           "the request is not HTTP/1.1" }
                              : ReadFault{};
}

/** Session of one connection; also the responder of its present request. */
class HttpSession
  : public HttpResponder
  , public HttpWait
  , public HttpAnswer
  , public std::enable_shared_from_this<HttpSession>
{
public:
  /** Takes over an accepted connection. */
  HttpSession(tcp::socket aSocket, HttpSessionContext aContext)
    : stream_(std::move(aSocket))
    , context_(std::move(aContext))
    , monitor_(stream_.socket(), buffer_)
  {
    ++context_.state_->connections_;
    if (context_.state_->closing_) {
      count();
    }
  }
  ~HttpSession() override
  {
    monitor_.breakOff();
    --context_.state_->connections_;
  }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  /** Serves requests until the connection ends. */
  void run(const asio::yield_context& aYield)
  {
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    stream_.socket().non_blocking(true, ignored);
    while (serveOne(aYield)) {
    }
    close(aYield);
    counted_.reset();
  }

  bool send(const HttpResponse& aResponse,
            const asio::yield_context& aYield) override
  {
    http::response<http::string_body> message(
      static_cast<http::status>(aResponse.status_), version_);
    fill(message, aResponse);
    message.body() = aResponse.body_;
    message.prepare_payload();
    return write(
      [&](boost::system::error_code& aError, std::size_t aSent) {
        if (aSent > 0) {
          writeRest(message, aSent, aYield[aError]);
        } else {
          http::async_write(stream_, message, aYield[aError]);
        }
      },
      CallerMonitor::Place::kWhole);
  }

  bool startStream(const HttpResponse& aResponse,
                   const asio::yield_context& aYield) override
  {
    http::response<http::empty_body> message(
      static_cast<http::status>(aResponse.status_), version_);
    fill(message, aResponse);
    message.chunked(true);
    return write(
      [&](boost::system::error_code& aError, std::size_t aSent) {
        if (aSent > 0) {
          writeRest(message.base(), aSent, aYield[aError]);
        } else {
          http::response_serializer<http::empty_body> serializer(message);
          http::async_write_header(stream_, serializer, aYield[aError]);
        }
      },
      CallerMonitor::Place::kChunk);
  }

  bool writeChunk(std::string_view aData,
                  const asio::yield_context& aYield) override
  {
    return write(
      [&](boost::system::error_code& aError, std::size_t /*aSent*/) {
        asio::async_write(
          stream_,
          http::make_chunk(asio::buffer(aData.data(), aData.size())),
          aYield[aError]);
      },
      CallerMonitor::Place::kChunk);
  }

  bool endStream(const asio::yield_context& aYield) override
  {
    return write(
      [&](boost::system::error_code& aError, std::size_t /*aSent*/) {
        asio::async_write(stream_, http::make_chunk_last(), aYield[aError]);
      },
      CallerMonitor::Place::kWhole);
  }

  void cut() override
  {
    keepAlive_ = false;
    monitor_.breakOff();
  }

  void onCallerGone(std::function<void()> aHandler) override
  {
    monitor_.onGone(std::move(aHandler));
  }

  bool confirmCaller(const asio::yield_context& aYield) override
  {
    return monitor_.confirm(aYield);
  }

  CallerEnd callerEnd() const override { return monitor_.end(); }

  void shorten() override
  {
    count();
    stream_.cancel();
  }

  void abandon() override
  {
    monitor_.breakOff();
    monitor_.abandon();
    stream_.close();
  }

private:
  /** Reads and answers one request. @return Whether to go on. */
  bool serveOne(const asio::yield_context& aYield)
  {
    Parser parser;
    parser.header_limit(context_.limits_.maxHeaderBytes_);
    parser.body_limit(context_.limits_.maxBodyBytes_);
    const bool came = waitForBytes(aYield);
    count();
    if (!came) {
      return false;
    }
    const boost::system::error_code error = read(parser, aYield);
    if (error) {
      refuse(describe(error, buffer_.size() > 0 || parser.got_some()), aYield);
      return false;
    }
    version_ = parser.get().version();
    keepAlive_ = parser.keep_alive();
    const HttpRequest request = convert(parser.release());
    auto& answering = context_.state_->answering_[context_.thread_];
    answering.insert(this);
    monitor_.start(weak_from_this());
    context_.handler_->handle(context_.thread_, request, *this, aYield);
    monitor_.stop();
    answering.erase(this);
    countEnd();
    const bool goesOn = keepAlive_ && !callerGone();
    if (goesOn && !context_.state_->closing_) {
      counted_.reset();
    }
    return goesOn;
  }

  /** Counts the connection as in flight unless it is. */
  void count()
  {
    if (!counted_) {
      counted_.emplace(context_.state_->inFlight_);
    }
  }

  /** Waits for the first byte of a request. @return Whether one came in time.
   */
  bool waitForBytes(const asio::yield_context& aYield)
  {
    if (buffer_.size() > 0) {
      return true;
    }
    if (!context_.state_->closing_) {
      auto& waiting = context_.state_->waiting_[context_.thread_];
      waiting.insert(this);
      const bool came = readBytes(context_.limits_.idleTimeout_, aYield);
      waiting.erase(this);
      if (came || !counted_) {
        return came;
      }
    }
    count();
    // The caller may have sent a request before it hears of the end.
    return readBytes(kLastWait, aYield);
  }

  /** Reads some bytes. @return Whether any came in time. */
  bool readBytes(std::chrono::milliseconds aLimit,
                 const asio::yield_context& aYield)
  {
    // Leaves the connection open, since its last answer may be on the way.
    const ReadTimer timer(stream_, aLimit);
    boost::system::error_code error;
    const std::size_t size =
      stream_.async_read_some(buffer_.prepare(kReadBytes), aYield[error]);
    buffer_.commit(size);
    return !error && size > 0;
  }

  /** Reads header and body within their time limits. */
  boost::system::error_code read(Parser& aParser,
                                 const asio::yield_context& aYield)
  {
    boost::system::error_code error = readHeader(aParser, aYield);
    if (error) {
      return error;
    }
    if (beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed(http::status::continue_,
                                               aParser.get().version());
      stream_.expires_after(context_.limits_.writeTimeout_);
      http::async_write(stream_, proceed, aYield[error]);
      if (error) {
        return error;
      }
    }
    const ReadTimer timer(stream_, context_.limits_.bodyTimeout_);
    return timer.explain(readMessage(stream_, buffer_, aParser, aYield));
  }

  /** Reads the header within its time limit. */
  boost::system::error_code readHeader(Parser& aParser,
                                       const asio::yield_context& aYield)
  {
    const ReadTimer timer(stream_, context_.limits_.headerTimeout_);
    boost::system::error_code error;
    http::async_read_header(stream_, buffer_, aParser, aYield[error]);
    return timer.explain(error);
  }

  /** Answers a request that could not be read. */
  void refuse(const ReadFault& aFault, const asio::yield_context& aYield)
  {
    if (aFault.status_ == 0) {
      return;
    }
    keepAlive_ = false;
    HttpResponse response;
    response.status_ = aFault.status_;
    response.body_ = protocol::encodeError(
      { "not_run", std::string(aFault.code_), aFault.message_, {} });
    send(response, aYield);
  }

  /** Sets the headers that each response has. */
  template<class Message>
  void fill(Message& aMessage, const HttpResponse& aResponse)
  {
    const bool lastRequest =
      callerEnd() == CallerEnd::kSendingSide && buffer_.size() == 0;
    if (context_.state_->draining_ || lastRequest) {
      keepAlive_ = false;
    }
    aMessage.set(http::field::server, "auburnhaven");
    if (!aResponse.contentType_.empty()) {
      aMessage.set(http::field::content_type, view(aResponse.contentType_));
    }
    for (const HttpHeader& header : aResponse.headers_) {
      aMessage.insert(view(header.name_), view(header.value_));
    }
    aMessage.keep_alive(keepAlive_);
  }

  /**
   * Writes a part of the answer.
   * @param aWrite Writes it; takes the bytes of it that were already sent.
   * @param aPlace What was written.
   * @return Whether the caller is still there.
   */
  template<class Write>
  bool write(const Write& aWrite, CallerMonitor::Place aPlace)
  {
    if (callerGone()) {
      return false;
    }
    const std::size_t sent = monitor_.beginWrite();
    stream_.expires_after(context_.limits_.writeTimeout_);
    boost::system::error_code error;
    aWrite(error, sent);
    return monitor_.endWrite(error, aPlace);
  }

  /** Writes a message or header without its first bytes. */
  template<class Message>
  void writeRest(const Message& aMessage,
                 std::size_t aSent,
                 const asio::yield_context& aYield)
  {
    std::ostringstream text;
    text << aMessage;
    const std::string bytes = text.str();
    asio::async_write(stream_, asio::buffer(bytes) + aSent, aYield);
  }

  /** Closes so that the caller can still read the last response. */
  void close(const asio::yield_context& aYield)
  {
    const ScopedCount closing(context_.state_->closers_);
    const BytesAtClose left =
      closeAfterPeer(stream_, context_.limits_.closeTimeout_, aYield);
    context_.state_->closedUnsent_ += left.unsent_ > 0 ? 1 : 0;
    context_.state_->closedUnread_ += left.unread_ > 0 ? 1 : 0;
  }

  /** Counts answers whose caller ended its side first. */
  void countEnd()
  {
    context_.state_->callersGone_ += callerGone() ? 1 : 0;
    context_.state_->halfCloses_ +=
      callerEnd() == CallerEnd::kSendingSide ? 1 : 0;
  }

  static constexpr std::size_t kReadBytes = 4096; ///< Bytes asked for at once.
  static constexpr std::chrono::milliseconds kLastWait{
    200
  }; ///< For a request that is on its way while the server closes.

  beast::tcp_stream stream_;   ///< The connection.
  HttpSessionContext context_; ///< What the session needs from its server.
  beast::flat_buffer
    buffer_; ///< Bytes read but not parsed, pipelined requests included.
  CallerMonitor monitor_; ///< Watches the caller.
  std::optional<ScopedCount<std::uint64_t>>
    counted_; ///< Set while the connection is in flight: from a request, or
              ///< the last wait for one, to the end of the answer, or of the
              ///< connection.
  unsigned version_ = 11; ///< HTTP version of the present request.
  bool keepAlive_ =
    true; ///< Whether the connection goes on after the response.
};

} // namespace

void
startHttpSession(tcp::socket aSocket, HttpSessionContext aContext)
{
  const auto executor = aSocket.get_executor();
  auto session =
    std::make_shared<HttpSession>(std::move(aSocket), std::move(aContext));
  asio::spawn(
    executor,
    [session](const asio::yield_context& aYield) { session->run(aYield); },
    asio::detached);
}

} // namespace auburnhaven::transport
