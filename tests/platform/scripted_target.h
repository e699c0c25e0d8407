// A target that answers some requests with given bytes.
#pragma once

#include "platform/relay_world.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace auburnhaven::fakes {

/** How a target ends a connection. */
enum class Ending : std::uint8_t
{
  kClose, ///< Closes it.
  kReset, ///< Resets it.
};

/** Answers requests that contain a mark with given bytes and ends their
 * connection; answers all others with a sound response and goes on. */
class ScriptedTarget
{
public:
  /**
   * @param aMark The mark.
   * @param aEnding How it ends a connection.
   */
  ScriptedTarget(std::string aMark, Ending aEnding)
    : mark_(std::move(aMark))
    , ending_(aEnding)
    , server_([this](Socket& aSocket, int) { serve(aSocket); })
  {
  }
  /** @param aResponse What the next requests with the mark get. */
  void setResponse(std::string aResponse)
  {
    const std::lock_guard lock(mutex_);
    response_ = std::move(aResponse);
  }
  /** @param aBytewise Whether each of its bytes is sent by itself. */
  void setBytewise(bool aBytewise) { bytewise_ = aBytewise; }
  /** @return Endpoint of the target. */
  state::Endpoint endpoint() const { return server_.endpoint(); }
  /** @return Requests with the mark that arrived. */
  int requests() const { return requests_; }
  /** @return Those that arrived on a connection that had been used. */
  int onKeptConnection() const { return onKeptConnection_; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  void serve(Socket& aSocket)
  {
    aSocket.set_option(boost::asio::ip::tcp::no_delay(true));
    for (bool kept = false;; kept = true) {
      const std::string request = RawServer::readRequest(aSocket);
      if (request.empty()) {
        return;
      }
      if (contains(request, mark_)) {
        ++requests_;
        onKeptConnection_ += kept ? 1 : 0;
        respond(aSocket, response());
        return;
      }
      RawServer::write(aSocket, RelayWorld::response("200 OK", "warm"));
    }
  }

  void respond(Socket& aSocket, const std::string& aResponse)
  {
    const std::size_t step = bytewise_ ? 1 : aResponse.size();
    for (std::size_t at = 0; at < aResponse.size(); at += step) {
      RawServer::write(aSocket, aResponse.substr(at, step));
    }
    if (ending_ == Ending::kReset) {
      RawServer::reset(aSocket);
    }
  }

  std::string response()
  {
    const std::lock_guard lock(mutex_);
    return response_;
  }

  const std::string mark_;                 ///< The mark.
  const Ending ending_;                    ///< How a connection ends.
  std::mutex mutex_;                       ///< Guards the following member.
  std::string response_;                   ///< What marked requests get.
  std::atomic<bool> bytewise_{ false };    ///< Whether in single bytes.
  std::atomic<int> requests_{ 0 };         ///< Marked requests.
  std::atomic<int> onKeptConnection_{ 0 }; ///< Those on a used connection.
  RawServer server_;                       ///< Listener.
};

} // namespace auburnhaven::fakes
