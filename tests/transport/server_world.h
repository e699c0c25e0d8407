// A running HTTP server and a way to talk to it.
#pragma once

#include "transport/http_server.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

namespace auburnhaven::fakes {

inline constexpr std::chrono::seconds kPatience(
  20); ///< Longest wait for an event.
inline constexpr std::chrono::milliseconds kLatePause(
  400); ///< Before a late answer, and between the events of a slow stream.
inline constexpr std::size_t kLargeBytes =
  1'000'000; ///< Body of "/large"; more than a peer takes that does not read.

/** Echoes bodies; streams and stalls on demand. */
class EchoHandler : public transport::HttpHandler
{
public:
  void handle(std::size_t /*aThread*/,
              const transport::HttpRequest& aRequest,
              transport::HttpResponder& aResponder,
              const boost::asio::yield_context& aYield) override
  {
    if (aRequest.path_ == "/stall") {
      stall(aResponder, aYield);
      return;
    }
    if (aRequest.path_ == "/late" && !pause(aResponder, aYield)) {
      return;
    }
    if (aRequest.path_ == "/silent" || aRequest.path_ == "/slow-stream" ||
        aRequest.path_ == "/slow-cut") {
      streamSlowly(aRequest.path_, aResponder, aYield);
      return;
    }
    transport::HttpResponse response;
    response.body_ = aRequest.path_ == "/large"
                       ? std::string(kLargeBytes, 'x')
                       : aRequest.path_ + "?" + aRequest.query_ + " " +
                           std::string(aRequest.header("x-mark")) + " " +
                           aRequest.body_;
    if (aRequest.path_ == "/stream" || aRequest.path_ == "/cut") {
      aResponder.startStream(response, aYield);
      aResponder.writeChunk("one ", aYield);
      aResponder.writeChunk("two", aYield);
      if (aRequest.path_ == "/cut") {
        aResponder.cut();
      } else {
        aResponder.endStream(aYield);
      }
      return;
    }
    aResponder.send(response, aYield);
  }

  std::promise<void> gone_; ///< Set when a stalled caller has left.

private:
  /** Waits a while. @return Whether the caller is still there. */
  bool pause(transport::HttpResponder& aResponder,
             const boost::asio::yield_context& aYield)
  {
    boost::asio::steady_timer timer(aYield.get_executor(), kLatePause);
    aResponder.onCallerGone([&timer] { timer.cancel(); });
    boost::system::error_code error;
    timer.async_wait(aYield[error]);
    aResponder.onCallerGone(nullptr);
    if (aResponder.callerGone()) {
      gone_.set_value();
    }
    return !aResponder.callerGone();
  }

  /** Streams with pauses, or falls silent after the first event. */
  void streamSlowly(const std::string& aPath,
                    transport::HttpResponder& aResponder,
                    const boost::asio::yield_context& aYield)
  {
    aResponder.startStream({}, aYield);
    aResponder.writeChunk("one ", aYield);
    if (aPath == "/silent") {
      stall(aResponder, aYield);
    } else if (pause(aResponder, aYield)) {
      aResponder.writeChunk("two", aYield);
      if (!pause(aResponder, aYield)) {
        return;
      }
      if (aPath == "/slow-cut") {
        aResponder.cut();
      } else {
        aResponder.endStream(aYield);
      }
    }
  }

  /** Waits until the caller leaves. */
  void stall(transport::HttpResponder& aResponder,
             const boost::asio::yield_context& aYield)
  {
    boost::asio::steady_timer timer(aYield.get_executor(), kPatience);
    aResponder.onCallerGone([&timer] { timer.cancel(); });
    boost::system::error_code error;
    timer.async_wait(aYield[error]);
    if (error && aResponder.callerGone()) {
      gone_.set_value();
    }
  }
};

/** A running server and a way to talk to it. */
class ServerWorld
{
public:
  explicit ServerWorld(transport::HttpServerLimits aLimits = {})
    : pool_(2)
    , server_(pool_, { "127.0.0.1", 0 }, aLimits, handler_)
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), server_.start());
    pool_.start();
  }

  /** Sends bytes and reads until the server closes. */
  std::string exchange(const std::string& aBytes)
  {
    boost::asio::ip::tcp::socket socket = connect();
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(aBytes), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  /** @return A new connection. */
  boost::asio::ip::tcp::socket connect()
  {
    boost::asio::ip::tcp::socket socket(loop_);
    socket.connect({ boost::asio::ip::address_v4::loopback(), server_.port() });
    return socket;
  }

  EchoHandler handler_;          ///< Answers.
  transport::TrafficPool pool_;  ///< Threads.
  transport::HttpServer server_; ///< The server.

private:
  boost::asio::io_context loop_; ///< For the sockets of the test.
};

/** @return Whether a text contains another. */
inline bool
contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace auburnhaven::fakes
