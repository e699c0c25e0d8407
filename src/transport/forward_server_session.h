// Session over which forwarded requests come in.
#pragma once

#include "transport/forward_server.h"
#include "transport/peer_session.h"
#include "transport/scoped_count.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace auburnhaven::transport {

/** Runs the attempts of one session. One thread. */
class ForwardServerSession
  : public PeerSessionUser
  , public std::enable_shared_from_this<ForwardServerSession>
{
public:
  /**
   * @param aContext Event loop of the thread.
   * @param aThread Index of the thread.
   * @param aH2 The session.
   * @param aState Shared state of the server.
   */
  ForwardServerSession(boost::asio::io_context& aContext,
                       std::size_t aThread,
                       std::shared_ptr<H2Session> aH2,
                       std::shared_ptr<ForwardServerState> aState);

  /** Refuses what has not begun. */
  void shutDown() { h2_->shutDown(); }
  /** Closes at once. */
  void close() { h2_->close("server is gone"); }

  void onReady(const state::Endpoint& aPeer) override;
  void onFields(H2StreamId aStream, const H2Fields& aFields) override;
  void onData(H2StreamId aStream, std::string_view aData) override;
  void onEnd(H2StreamId aStream) override;
  void onStreamClosed(H2StreamId aStream, H2Close aClose) override;
  void onDrained(H2StreamId aStream) override;
  void onSessionClosed(const std::string& aReason) override;

private:
  /** Counts an attempt as in flight until its answer was written. */
  struct InFlight
  {
    /** @param aState Shared state of the server. */
    explicit InFlight(std::shared_ptr<ForwardServerState> aState)
      : state_(std::move(aState))
      , count_(state_->inFlight_)
    {
    }

    std::shared_ptr<ForwardServerState> state_; ///< Outlives the count.
    ScopedCount<std::uint64_t> count_;          ///< The count.
  };
  /** One attempt. */
  struct Attempt
  {
    /** @param aContext Event loop of the thread. */
    explicit Attempt(boost::asio::io_context& aContext)
      : drained_(aContext)
    {
    }

    ForwardedRequest request_;           ///< The request.
    TargetStream* target_ = nullptr;     ///< The running attempt.
    boost::asio::steady_timer drained_;  ///< Wakes a writer that waits.
    std::shared_ptr<InFlight> inFlight_; ///< Set from the whole request on.
    bool started_ = false;               ///< Whether the request is whole.
    bool gone_ = false;                  ///< Whether nobody waits for it.
  };
  using AttemptPtr = std::shared_ptr<Attempt>; ///< An attempt.

  void run(H2StreamId aStream,
           const AttemptPtr& aAttempt,
           const boost::asio::yield_context& aYield);
  bool pass(H2StreamId aStream,
            const AttemptPtr& aAttempt,
            const TargetEvent& aToken,
            const boost::asio::yield_context& aYield);
  void finish(H2StreamId aStream, const TargetEvent& aEvent);
  void drop(const AttemptPtr& aAttempt);

  boost::asio::io_context& context_;          ///< Event loop of the thread.
  std::size_t thread_;                        ///< Index of the thread.
  std::shared_ptr<H2Session> h2_;             ///< The session.
  std::shared_ptr<ForwardServerState> state_; ///< Shared state of the server.
  std::map<H2StreamId, AttemptPtr> attempts_; ///< Open attempts by stream.
};

} // namespace auburnhaven::transport
