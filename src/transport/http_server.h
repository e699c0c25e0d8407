// HTTP/1.1 server on the traffic threads.
#pragma once

#include "state/endpoint_type.h"
#include "transport/http_type.h"
#include "transport/traffic_pool.h"

#include <boost/asio/spawn.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace auburnhaven::transport {

/** Sends the response of one request. Used by one coroutine on the session's
 * thread. */
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;
  /**
   * Sends a whole response. Call once, instead of a stream.
   * @param aResponse The response.
   * @param aYield The coroutine.
   * @return Whether the system took it all for the caller.
   */
  virtual bool send(const HttpResponse& aResponse,
                    const boost::asio::yield_context& aYield) = 0;
  /**
   * Starts a chunked response; aResponse's body is ignored.
   * @param aResponse Status and headers.
   * @param aYield The coroutine.
   * @return Whether the caller is still there.
   */
  virtual bool startStream(const HttpResponse& aResponse,
                           const boost::asio::yield_context& aYield) = 0;
  /**
   * Sends one chunk.
   * @param aData Data, not empty.
   * @param aYield The coroutine.
   * @return Whether the caller is still there.
   */
  virtual bool writeChunk(std::string_view aData,
                          const boost::asio::yield_context& aYield) = 0;
  /**
   * Ends a chunked response as whole.
   * @param aYield The coroutine.
   * @return Whether the system took it all for the caller.
   */
  virtual bool endStream(const boost::asio::yield_context& aYield) = 0;
  /** Ends a started stream without its end mark, so that it never looks whole.
   */
  virtual void cut() = 0;
  /**
   * Sets what to do when the caller leaves before the response ended. One that
   * only sends no more has not left.
   * @param aHandler Called at most once, on the session's thread; empty for
   * none.
   */
  virtual void onCallerGone(std::function<void()> aHandler) = 0;
  /**
   * Asks the connection itself whether the caller is still there, since its end
   * may have arrived and not been noticed yet. Waits for a moment if the caller
   * sends no more, until it is known whether it has left.
   * @param aYield The coroutine.
   * @return Whether the caller is still there.
   */
  virtual bool confirmCaller(const boost::asio::yield_context& aYield) = 0;
  /** @return Whether the caller cannot take the response any more. */
  bool callerGone() const { return isGone(callerEnd()); }
  /** @return How the caller's side ended so far. */
  virtual CallerEnd callerEnd() const = 0;
};

/** Answers requests. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  /**
   * Answers one request through the responder. Called on a traffic thread; may
   * run on several threads at once.
   * @param aThread Index of the traffic thread.
   * @param aRequest The request.
   * @param aResponder Takes the response.
   * @param aYield Coroutine of the session.
   */
  virtual void handle(std::size_t aThread,
                      const HttpRequest& aRequest,
                      HttpResponder& aResponder,
                      const boost::asio::yield_context& aYield) = 0;
};

/** A session that waits for a request. Used on its thread. */
class HttpWait
{
public:
  virtual ~HttpWait() = default;
  /** Goes on only for the last wait before the session ends. */
  virtual void shorten() = 0;
};

/** A session that answers a request. Used on its thread. */
class HttpAnswer
{
public:
  virtual ~HttpAnswer() = default;
  /** Breaks the answer off, so that it never looks whole, closes the connection
   * and tells the handler that its caller is gone. */
  virtual void abandon() = 0;
};

/** What the sessions of a server share. Thread-safe but for waiting_ and
 * answering_. */
struct HttpServerState
{
  /** @param aThreads Number of traffic threads. */
  explicit HttpServerState(std::size_t aThreads)
    : waiting_(aThreads)
    , answering_(aThreads)
  {
  }

  std::atomic<bool> draining_{
    false
  }; ///< Sessions close after the present response.
  std::atomic<bool> closing_{
    false
  }; ///< Sessions wait only a moment for another request.
  std::atomic<std::uint64_t> inFlight_{
    0
  }; ///< Requests being answered, last waits for one, and connections that
     ///< close.
  std::atomic<std::uint64_t> closers_{ 0 };      ///< Connections that close.
  std::atomic<std::uint64_t> closedUnsent_{ 0 }; ///< Closed before the caller
                                                 ///< had all bytes.
  std::atomic<std::uint64_t> closedUnread_{ 0 }; ///< Closed with bytes of the
                                                 ///< caller left, so reset.
  std::atomic<std::uint64_t> callersGone_{
    0
  }; ///< Answers whose caller left first.
  std::atomic<std::uint64_t> halfCloses_{ 0 };  ///< Answers whose caller only
                                                ///< stopped sending first.
  std::atomic<std::uint64_t> connections_{ 0 }; ///< Open connections.
  std::vector<std::set<HttpWait*>>
    waiting_; ///< Sessions that wait for a request, by traffic thread; each set
              ///< for its thread only.
  std::vector<std::set<HttpAnswer*>>
    answering_; ///< Sessions that answer a request, likewise.
};

/** Counts of a server, for logs. */
struct HttpServerCounts
{
  std::uint64_t connections_ = 0;  ///< Open connections.
  std::uint64_t requests_ = 0;     ///< Requests being answered, and last waits
                                   ///< for one.
  std::uint64_t closing_ = 0;      ///< Connections that close, but whose caller
                                   ///< may not have all bytes.
  std::uint64_t closedUnsent_ = 0; ///< Connections closed before the caller had
                                   ///< all bytes.
  std::uint64_t closedUnread_ = 0; ///< Connections closed with bytes of the
                                   ///< caller left, so that they were reset.
  std::uint64_t callersGone_ = 0;  ///< Answers whose caller left first.
  std::uint64_t halfCloses_ = 0;   ///< Answers whose caller only stopped
                                   ///< sending before their end.
};

/** Accepts connections and runs a session coroutine for each. */
class HttpServer
{
public:
  /**
   * @param aPool Threads for the sessions.
   * @param aEndpoint Where to listen.
   * @param aLimits Limits.
   * @param aHandler Answers the requests; outlives the pool's threads.
   */
  HttpServer(TrafficPool& aPool,
             state::Endpoint aEndpoint,
             HttpServerLimits aLimits,
             HttpHandler& aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * Listens. Call once.
   * @return Empty, or why it could not listen.
   */
  std::string start();
  /** Goes on accepting, but ends each session after its present request. Safe
   * from any thread. */
  void closeAfterResponses() { state_->draining_ = true; }
  /** Stops accepting; sessions end after their present request, or after a
   * last short wait for one that is on its way. Call once; safe from any
   * thread. */
  void drain();
  /** Breaks off the answers that are under way; inFlight() tells when their
   * handlers have returned. Call after drain(); safe from any thread. */
  void abandon();
  /** @return Requests being answered, sessions in their last wait for one, and
   * connections that close, but whose caller may not have all bytes. Safe from
   * any thread. */
  std::uint64_t inFlight() const { return state_->inFlight_; }
  /** @return Counts since the start, and of now. Safe from any thread. */
  HttpServerCounts counts() const;
  /** @return Port that the server listens on. */
  std::uint16_t port() const;

private:
  class Listener;

  TrafficPool& pool_;                      ///< Threads for the sessions.
  state::Endpoint endpoint_;               ///< Where to listen.
  HttpServerLimits limits_;                ///< Limits.
  HttpHandler& handler_;                   ///< Answers the requests.
  std::shared_ptr<HttpServerState> state_; ///< Shared with the sessions.
  std::shared_ptr<Listener> listener_;     ///< Accepts connections.
};

} // namespace auburnhaven::transport
