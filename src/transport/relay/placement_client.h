// Asks dispatchers to place requests on replicas.
#pragma once

#include "protocol/placement_codec.h"
#include "state/event_log.h"
#include "transport/datagram_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace auburnhaven::transport {

/** Timeouts of placement requests. */
struct PlacementClientSettings
{
  std::chrono::milliseconds answerTimeout_{
    40
  }; ///< Longest wait for a dispatcher; after it, this daemon chooses the
     ///< target itself.
  std::uint32_t maxMisses_ =
    2; ///< Consecutive missing answers after which a dispatcher is skipped.
  std::chrono::milliseconds backoff_{
    500
  }; ///< How long an unresponsive dispatcher is skipped.
  bool operator==(const PlacementClientSettings&) const = default;
};

/**
 * Chooses the target of a request: asks the dispatcher of the replicas, and
 * falls back to this daemon's own TargetPool when there is no dispatcher, it
 * doesn't answer or it knows no candidate. Not thread-safe; used on the thread
 * of its event loop.
 */
class PlacementClient
{
public:
  /**
   * @param aContext Event loop of the thread.
   * @param aClock Clock; must outlive this object.
   * @param aTargets Target pool; must outlive this object.
   * @param aLog Event log; must outlive this object.
   * @param aSelf Endpoint of this daemon's own dispatcher, which is called
   * directly.
   * @param aSettings Timeouts.
   */
  PlacementClient(boost::asio::io_context& aContext,
                  const state::Clock& aClock,
                  coordination::TargetPool& aTargets,
                  state::EventLog& aLog,
                  state::Endpoint aSelf,
                  PlacementClientSettings aSettings = {});

  /**
   * Opens the socket for answers. Call once, before the event loop runs.
   * @param aListen Local endpoint of the socket.
   * @return Empty on success, otherwise the error.
   */
  std::string start(const state::Endpoint& aListen);
  /**
   * Chooses the target of a request. Suspends the coroutine for at most two
   * answer timeouts, since a second dispatcher is asked when the first one's
   * replicas would serve the request too late.
   * @param aNeed Requirements of the request.
   * @param aYield Coroutine of the request.
   * @return The decision, as of TargetPool::choose().
   */
  coordination::TargetDecision choose(const coordination::TargetNeed& aNeed,
                                      const boost::asio::yield_context& aYield);

private:
  /** A placement request that waits for its answer. */
  struct PendingRequest
  {
    boost::asio::steady_timer
      timer_; ///< Ends the wait; cancelled when the answer arrives.
    std::optional<protocol::PlacementAnswer>
      answer_; ///< The answer; nothing until it arrives.
  };
  /** Health of a dispatcher as seen by this daemon. */
  struct Dispatcher
  {
    std::uint32_t misses_ = 0;        ///< Consecutive missing answers.
    state::TimePoint skippedUntil_{}; ///< Not asked before this time.
  };

  std::optional<protocol::PlacementAnswer> requestPlacement(
    const state::Endpoint& aDispatcher,
    const coordination::TargetNeed& aNeed,
    const boost::asio::yield_context& aYield);
  void receive(const std::string& aDatagram);
  void recordMissedAnswer(const state::Endpoint& aEndpoint,
                          Dispatcher& aDispatcher);

  boost::asio::io_context& context_;       ///< Event loop of the thread.
  const state::Clock& clock_;              ///< Clock.
  coordination::TargetPool& targets_;      ///< Target pool.
  state::EventLog& log_;                   ///< Event log.
  const state::Endpoint self_;             ///< This daemon's own dispatcher.
  const PlacementClientSettings settings_; ///< Timeouts.
  DatagramSocket socket_;        ///< Sends requests and receives answers.
  std::uint64_t lastNumber_ = 0; ///< Number of the last request.
  std::map<std::uint64_t, PendingRequest>
    pending_; ///< Requests without an answer, by number.
  std::map<state::Endpoint, Dispatcher> dispatchers_; ///< By endpoint.
};

} // namespace auburnhaven::transport
