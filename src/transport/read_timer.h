// Time limit of the reads of a connection.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace auburnhaven::transport {

/**
 * Cancels the reads of a connection when a time limit passes, but leaves the
 * connection open, so that the caller can still be told. One thread only.
 */
class ReadTimer
{
public:
  /**
   * @param aStream The connection; outlives this object.
   * @param aLimit Time limit, from now.
   */
  ReadTimer(boost::beast::tcp_stream& aStream, std::chrono::milliseconds aLimit)
    : state_(std::make_shared<State>())
    , timer_(aStream.get_executor(), aLimit)
  {
    aStream.expires_never();
    timer_.async_wait(
      [state = state_, &aStream](const boost::system::error_code& aError) {
        if (!aError && state->armed_) {
          state->expired_ = true;
          aStream.cancel();
        }
      });
  }
  ~ReadTimer() { state_->armed_ = false; }
  ReadTimer(const ReadTimer&) = delete;
  ReadTimer& operator=(const ReadTimer&) = delete;

  /**
   * @param aError Error of a read that the timer guarded.
   * @return The error, or a timeout when the timer ended the read.
   */
  boost::system::error_code explain(
    const boost::system::error_code& aError) const
  {
    const bool mine = aError && state_->expired_;
    return mine ? boost::beast::error::timeout : aError;
  }

private:
  /** Shared with the timer's handler. */
  struct State
  {
    bool armed_ = true;    ///< Whether the timer still guards reads.
    bool expired_ = false; ///< Whether it cancelled one.
  };

  std::shared_ptr<State> state_;    ///< Shared with the timer's handler.
  boost::asio::steady_timer timer_; ///< Time limit.
};

} // namespace auburnhaven::transport
