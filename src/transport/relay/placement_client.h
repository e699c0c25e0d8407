// Asks dispatchers for places at copies.
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

/** Times of questions for places. */
struct PlacementClientSettings
{
  std::chrono::milliseconds answerTimeout_{
    40
  }; ///< Longest wait for an answer; the request goes on without it.
  std::uint32_t misses_ = 2; ///< Answers that fail to come, one after the
                             ///< other, until a dispatcher counts as silent.
  std::chrono::milliseconds backoff_{
    500
  }; ///< How long a silent dispatcher is not asked.
  bool operator==(const PlacementClientSettings&) const = default;
};

/**
 * Finds the target of a request: by the dispatcher of its copies when one
 * answers, else by what this daemon knows itself. Used on one thread.
 */
class PlacementClient
{
public:
  /**
   * @param aContext Event loop of the thread.
   * @param aClock Clock; outlives this object.
   * @param aTargets Knows the targets; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aSelf Where this daemon gives places itself.
   * @param aSettings Times.
   */
  PlacementClient(boost::asio::io_context& aContext,
                  const state::Clock& aClock,
                  coordination::TargetPool& aTargets,
                  state::EventLog& aLog,
                  state::Endpoint aSelf,
                  PlacementClientSettings aSettings = {});

  /**
   * Begins to take answers. Call once, before the event loop runs.
   * @param aListen Where.
   * @return Empty, or why it could not.
   */
  std::string start(const state::Endpoint& aListen);
  /**
   * Finds the target of a request.
   * @param aNeed What the request needs.
   * @param aYield The coroutine.
   * @return The decision, as of TargetPool::choose().
   */
  coordination::TargetDecision choose(const coordination::TargetNeed& aNeed,
                                      const boost::asio::yield_context& aYield);

private:
  /** A question that waits for its answer. */
  struct PendingRequest
  {
    boost::asio::steady_timer timer_;                 ///< Ends the wait.
    std::optional<protocol::PlacementAnswer> answer_; ///< The answer.
  };
  /** What is known of a dispatcher. */
  struct Dispatcher
  {
    std::uint32_t misses_ = 0;        ///< Answers missing in a row.
    state::TimePoint skippedUntil_{}; ///< Not asked before.
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
  coordination::TargetPool& targets_;      ///< Knows the targets.
  state::EventLog& log_;                   ///< Log.
  const state::Endpoint self_;             ///< Where this daemon gives places.
  const PlacementClientSettings settings_; ///< Times.
  DatagramSocket socket_;                  ///< Questions and answers.
  std::uint64_t lastNumber_ = 0;           ///< Questions asked.
  std::map<std::uint64_t, PendingRequest> pending_;   ///< Questions by number.
  std::map<state::Endpoint, Dispatcher> dispatchers_; ///< By address.
};

} // namespace auburnhaven::transport
