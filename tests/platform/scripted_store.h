// Store client connected to a server that sends scripted responses.
#pragma once

#include "fakes/fake_event_log.h"
#include "platform/kv_store.h"
#include "transport/loopback.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

using Replies =
  std::vector<std::pair<std::string, std::string>>; ///< Status and body of each
                                                    ///< response.

/** A store client connected to a server that sends scripted responses. */
class ScriptedStore
{
public:
  /** @param aReplies Status and body of each response, in order; an empty
   * status closes the connection without a response. */
  explicit ScriptedStore(Replies aReplies)
    : replies_(std::move(aReplies))
    , server_(
        [this](boost::asio::ip::tcp::socket& aSocket, int) { serve(aSocket); })
    , client_(context_)
    , caller_(context_, client_)
    , store_(caller_, log_, { server_.endpoint(), kTimeout, kWatchGrace })
  {
  }

  /** Runs the event loop until aDone is true. */
  void await(const bool& aDone)
  {
    fakes::runUntil(context_, [&] { return aDone; });
  }

  /** Acquires or renews the lease "k" as holder "me". */
  coordination::LeaseReply acquire()
  {
    bool done = false;
    coordination::LeaseReply result;
    store_.acquireLease(
      "k", "me", kTimeToLive, [&](const coordination::LeaseReply& aReply) {
        result = aReply;
        done = true;
      });
    await(done);
    return result;
  }

  /** Writes the key "k" unless it has another revision. */
  coordination::StoreStatus swapKey(state::Revision aExpected)
  {
    bool done = false;
    coordination::StoreStatus status{};
    store_.compareAndSwap(
      "k", aExpected, "v", {}, [&](const coordination::StoreReply& aReply) {
        status = aReply.status_;
        done = true;
      });
    await(done);
    return status;
  }

private:
  static constexpr std::chrono::milliseconds kTimeToLive{ 1500 };
  static constexpr std::chrono::milliseconds kTimeout{ 300 };
  static constexpr std::chrono::milliseconds kWatchGrace{ 200 };

  void serve(boost::asio::ip::tcp::socket& aSocket)
  {
    for (;;) {
      const std::string request = RawServer::readRequest(aSocket);
      if (request.empty() || next_ == replies_.size()) {
        return;
      }
      requests_.push_back(request);
      const auto& [status, body] = replies_[next_++];
      if (status.empty()) {
        return;
      }
      std::string response = "HTTP/1.1 " + status + "\r\nContent-Length: ";
      response += std::to_string(body.size()) + "\r\n\r\n";
      response += body;
      RawServer::write(aSocket, response);
    }
  }

  Replies replies_;                 ///< Scripted responses.
  std::size_t next_ = 0;            ///< Index of the next response.
  RawServer server_;                ///< Stands in for the store.
  boost::asio::io_context context_; ///< Event loop.
  transport::HttpClient client_;    ///< HTTP client.
  transport::ServiceCaller caller_; ///< Makes the HTTP calls.
  fakes::FakeEventLog log_;         ///< Receives log records.

public:
  platform::KvStore store_;           ///< Client under test.
  std::vector<std::string> requests_; ///< Requests received.
};

} // namespace auburnhaven::fakes
