// HTTP listener of one stand-in.

#include "http_host.h"

#include "transport/service_caller.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace auburnhaven::standins {

namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxBodyBytes = 16UL * 1024 * 1024; ///< Largest body.

/** A head that nobody can interpret. */
struct OddHead
{
  std::string_view status_;     ///< Status code and reason.
  std::string_view line_;       ///< A further line with its end, or nothing.
  std::string_view lengthName_; ///< Name of the field with the body's length;
                                ///< empty for none.
};

constexpr std::array<OddHead, 9> kOddHeads{ {
  { "000 Odd", "", "Content-Length" },
  { "200 OK", " X-Note: a\r\n", "Content-Length" },
  { "200 OK", "X Note: a\r\n", "Content-Length" },
  { "200 OK", "X-Note\x01: a\r\n", "Content-Length" },
  { "200 OK", "", " Content-Length" },
  { "200 OK", "", "Content-Length\x7f" },
  { "200 OK", "\tTransfer-Encoding: chunked\r\n", "" },
  { "200 OK", "Transfer\x01Encoding: chunked\r\n", "" },
  { "200 OK", "Transfer-Encoding: chunkec\r\n", "" },
} };

} // namespace

Exchange::Exchange(tcp::socket& aSocket,
                   const http::request<http::string_body>& aRequest,
                   const asio::yield_context& aYield)
  : socket_(aSocket)
  , request_(aRequest)
  , yield_(aYield)
{
}

std::string
Exchange::path() const
{
  const std::string target(request_.target());
  return target.substr(0, target.find('?'));
}

std::string
Exchange::query(const std::string& aName) const
{
  const std::string target(request_.target());
  const std::size_t start = target.find('?');
  const std::string text =
    start == std::string::npos ? "" : '&' + target.substr(start + 1);
  const std::size_t found = text.find('&' + aName + '=');
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t from = found + aName.size() + 2;
  const std::string value = text.substr(from, text.find('&', from) - from);
  return transport::percentDecode(value).value_or(value);
}

std::string
Exchange::header(const std::string& aName) const
{
  const auto found = request_.find(aName);
  return found == request_.end() ? "" : std::string(found->value());
}

bool
Exchange::is(http::verb aMethod, std::string_view aPath) const
{
  return request_.method() == aMethod && path() == aPath;
}

void
Exchange::reply(unsigned aStatus, const std::string& aBody, bool aNotRun)
{
  replyWith(aStatus,
            aBody,
            aNotRun ? HeaderList{ { "X-Not-Run", "true" } } : HeaderList());
}

void
Exchange::replyWith(unsigned aStatus,
                    const std::string& aBody,
                    const HeaderList& aHeaders)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(aStatus);
  response.keep_alive(request_.keep_alive());
  response.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : aHeaders) {
    response.set(name, value);
  }
  response.body() = aStatus == 204 ? "" : aBody;
  response.prepare_payload();
  boost::system::error_code error;
  http::async_write(socket_, response, yield_[error]);
  open_ = !error && request_.keep_alive();
}

void
Exchange::send(const std::string& aBytes)
{
  boost::system::error_code error;
  asio::async_write(socket_, asio::buffer(aBytes), yield_[error]);
  open_ = open_ && !error;
}

void
Exchange::sendGarbage()
{
  send("these bytes are no answer\r\n\r\n");
  drop();
}

void
Exchange::sendOddHead(std::uint32_t aForm,
                      const std::string& aBody,
                      const HeaderList& aHeaders)
{
  const OddHead& form = kOddHeads[aForm % kOddHeads.size()];
  std::string head = "HTTP/1.1 " + std::string(form.status_) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  head.append(form.line_);
  if (!form.lengthName_.empty()) {
    head.append(form.lengthName_).append(": ");
    head.append(std::to_string(aBody.size())).append("\r\n");
  }
  send(head + "\r\n" + aBody);
  drop();
}

void
Exchange::flood()
{
  constexpr std::size_t kPieceBytes = std::size_t{ 16 } * 1024;
  send("HTTP/1.1 200 OK\r\nX-Endless: ");
  while (open_) {
    send(std::string(kPieceBytes, 'x'));
  }
}

void
Exchange::beginChunks(std::string_view aContentType, const HeaderList& aHeaders)
{
  std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  head.append("Content-Type: ").append(aContentType).append("\r\n");
  for (const auto& [name, value] : aHeaders) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  send(head + "\r\n");
}

void
Exchange::chunk(std::string_view aData)
{
  std::array<char, 16> size{};
  const auto end =
    std::to_chars(size.data(), size.data() + size.size(), aData.size(), 16);
  std::string bytes;
  bytes.reserve(aData.size() + 12);
  bytes.append(size.data(), end.ptr).append("\r\n");
  bytes.append(aData).append("\r\n");
  send(bytes);
}

void
Exchange::endChunks()
{
  send("0\r\n\r\n");
  open_ = open_ && request_.keep_alive();
}

void
Exchange::wait(std::chrono::nanoseconds aTime)
{
  waitUntil(std::chrono::steady_clock::now() + aTime);
}

void
Exchange::waitUntil(std::chrono::steady_clock::time_point aTime)
{
  asio::steady_timer timer(socket_.get_executor(), aTime);
  boost::system::error_code error;
  timer.async_wait(yield_[error]);
}

namespace {

/** Answers one request; a body of the wrong shape gets 400. */
void
answer(Exchange& aExchange, const ExchangeHandler& aHandler)
{
  bool malformed = false;
  try {
    aHandler(aExchange);
  } catch (const nlohmann::json::exception&) {
    malformed = true;
  }
  if (malformed) {
    aExchange.reply(400, R"({"error":"malformed body"})");
  }
}

/** Serves one connection until it ends. */
void
serveConnection(tcp::socket& aSocket,
                const ExchangeHandler& aHandler,
                const asio::yield_context& aYield)
{
  beast::flat_buffer buffer;
  bool open = true;
  while (open) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::system::error_code error;
    http::async_read(aSocket, buffer, parser, aYield[error]);
    if (error) {
      return;
    }
    Exchange exchange(aSocket, parser.get(), aYield);
    answer(exchange, aHandler);
    open = exchange.open();
  }
}

/** Accepts connections for as long as the process runs. */
void
acceptAll(asio::io_context& aContext,
          tcp::acceptor& aAcceptor,
          const std::shared_ptr<ExchangeHandler>& aHandler,
          const asio::yield_context& aYield)
{
  for (;;) {
    boost::system::error_code error;
    tcp::socket accepted(aContext);
    aAcceptor.async_accept(accepted, aYield[error]);
    if (error) {
      continue;
    }
    accepted.set_option(tcp::no_delay(true), error);
    asio::spawn(
      aContext,
      [socket = std::make_shared<tcp::socket>(std::move(accepted)),
       aHandler](const asio::yield_context& aInner) {
        serveConnection(*socket, *aHandler, aInner);
      },
      asio::detached);
  }
}

} // namespace

void
listenHttp(asio::io_context& aContext,
           std::uint16_t aPort,
           ExchangeHandler aHandler)
{
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aPort);
  auto acceptor = std::make_shared<tcp::acceptor>(aContext, endpoint);
  auto handler = std::make_shared<ExchangeHandler>(std::move(aHandler));
  asio::spawn(
    aContext,
    [&aContext, acceptor, handler](const asio::yield_context& aYield) {
      acceptAll(aContext, *acceptor, handler, aYield);
    },
    asio::detached);
}

} // namespace auburnhaven::standins
