// Loopback servers and coroutine runs for transport tests.
#pragma once

#include "state/endpoint_type.h"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace auburnhaven::fakes {

inline constexpr std::chrono::seconds kLoopbackLimit{ 20 }; ///< Bounds a wait.

/** Runs an event loop until a condition holds; fails the test when it never
 * does. */
inline void
runUntil(boost::asio::io_context& aContext,
         const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + kLoopbackLimit;
  while (!aCondition()) {
    CPPUNIT_ASSERT_MESSAGE("bounded wait ran out",
                           std::chrono::steady_clock::now() < until);
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(20));
  }
}

/** Runs a coroutine to its end on an event loop. */
inline void
runCoroutine(boost::asio::io_context& aContext,
             std::function<void(const boost::asio::yield_context&)> aBody)
{
  bool ended = false;
  boost::asio::spawn(
    aContext,
    [&](const boost::asio::yield_context& aYield) { aBody(aYield); },
    [&](const std::exception_ptr& aError) {
      ended = true;
      if (aError) {
        std::rethrow_exception(aError);
      }
    });
  runUntil(aContext, [&] { return ended; });
}

/** Accepts connections on loopback and hands each to a script that blocks. */
class RawServer
{
public:
  /** Takes a connection and its index from 0; returning closes it. */
  using Script = std::function<void(boost::asio::ip::tcp::socket&, int)>;

  /** @param aScript Runs on the server's thread, one connection at a time. */
  explicit RawServer(Script aScript)
    : acceptor_(context_, { boost::asio::ip::address_v4::loopback(), 0 })
    , script_(std::move(aScript))
  {
    accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RawServer()
  {
    context_.stop();
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /** @return Where it listens. */
  state::Endpoint endpoint() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }

  /** Refuses further connections. Call from the script. */
  void stopListening() { acceptor_.close(); }

  /** Reads until a text has come or the connection has ended. */
  static std::string readUntil(boost::asio::ip::tcp::socket& aSocket,
                               const std::string& aText)
  {
    std::string got;
    char byte = 0;
    boost::system::error_code error;
    while (got.find(aText) == std::string::npos &&
           aSocket.read_some(boost::asio::buffer(&byte, 1), error) == 1) {
      got += byte;
    }
    return got;
  }

  /** Reads one request with its body. */
  static std::string readRequest(boost::asio::ip::tcp::socket& aSocket)
  {
    const std::string mark = "Content-Length: ";
    std::string request = readUntil(aSocket, "\r\n\r\n");
    const std::size_t at = request.find(mark);
    if (at != std::string::npos) {
      std::string body(std::stoul(request.substr(at + mark.size())), '\0');
      boost::system::error_code error;
      boost::asio::read(aSocket, boost::asio::buffer(body), error);
      request += body;
    }
    return request;
  }

  /** Writes a text; ignores that the connection has ended. */
  static void write(boost::asio::ip::tcp::socket& aSocket,
                    const std::string& aText)
  {
    boost::system::error_code error;
    boost::asio::write(aSocket, boost::asio::buffer(aText), error);
  }

  /** Resets a connection. Its destructor would close it in the usual way. */
  static void reset(boost::asio::ip::tcp::socket& aSocket)
  {
    boost::system::error_code error;
    aSocket.set_option(boost::asio::socket_base::linger(true, 0), error);
    aSocket.close(error);
  }

private:
  void accept()
  {
    acceptor_.async_accept([this](const boost::system::error_code& aError,
                                  boost::asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      script_(aSocket, count_++);
      accept();
    });
  }

  boost::asio::io_context context_;         ///< Event loop of the thread.
  boost::asio::ip::tcp::acceptor acceptor_; ///< Listens.
  Script script_;                           ///< Takes the connections.
  int count_ = 0;                           ///< Connections so far.
  std::thread thread_;                      ///< Runs the event loop.
};

} // namespace auburnhaven::fakes
