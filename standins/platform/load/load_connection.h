// One client of the load: its connections, one after the other.
#pragma once

#include "platform/load/answer_reader.h"
#include "platform/load/daemon_board.h"
#include "platform/load/load_options.h"
#include "platform/load/load_report.h"

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <random>
#include <vector>

namespace auburnhaven::standins {

/** What all clients of a load share. One thread. */
struct LoadShared
{
  const LoadOptions& options_; ///< Options.
  DaemonBoard& board_;         ///< The daemons.
  LoadReport& report_;         ///< How requests ended.
  bool ending_ = false;        ///< Whether no request begins any more.
  std::uint64_t sent_ = 0;     ///< Attempts made.
};

/** A client that sends requests, one after the other, on connections that it
 * keeps for as long as their daemons do. One coroutine. */
class LoadConnection
{
public:
  /**
   * @param aShared What all clients share; outlives this object.
   * @param aSeed Seed of its choices.
   */
  LoadConnection(LoadShared& aShared, std::uint64_t aSeed);
  /** Sends requests until the load ends. */
  void run(const boost::asio::yield_context& aYield);

private:
  bool connect(const boost::asio::yield_context& aYield);
  void useConnection(const boost::asio::yield_context& aYield);
  std::vector<LoadRequest> nextBatch();
  LoadRequest makeRequest(LoadKind aKind);
  std::string textOf(const LoadRequest& aRequest) const;
  bool send(std::vector<LoadRequest>& aBatch,
            const boost::asio::yield_context& aYield);
  LoadOutcome receive(const LoadRequest& aRequest,
                      const boost::asio::yield_context& aYield);
  void keepForRetry(const LoadOutcome& aOutcome);
  void pause(std::chrono::milliseconds aTime,
             const boost::asio::yield_context& aYield);
  std::uint32_t pick(std::uint32_t aFrom, std::uint32_t aTo);
  bool chance(std::uint32_t aPercent) { return pick(1, 100) <= aPercent; }

  LoadShared& shared_;     ///< What all clients share.
  std::mt19937_64 random_; ///< Its choices.
  const bool slow_;        ///< Whether it reads slowly.
  const bool halfCloses_;  ///< Whether it closes its sending side.
  const bool pipelines_;   ///< Whether it sends two lookups at once.
  std::size_t daemon_ = 0; ///< Daemon of the present connection.
  std::optional<boost::beast::tcp_stream> stream_; ///< Present connection.
  boost::beast::flat_buffer buffer_;               ///< Received bytes.
  bool halfClosed_ = false;          ///< Whether its sending side is closed.
  std::optional<LoadRequest> retry_; ///< Request to send once more.
  std::chrono::milliseconds wait_{}; ///< Wait before that.
};

} // namespace auburnhaven::standins
