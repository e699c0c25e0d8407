// Lets a traffic coroutine wait for work on the control thread.
#pragma once

#include "transport/control_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace auburnhaven::transport {

/**
 * Runs work on the control thread and waits for its result without blocking the
 * traffic thread.
 * @tparam Result Type of the result.
 * @param aControl The control thread.
 * @param aWork Runs on the control thread; gets a callback that it calls
 * exactly once, on the control thread, now or later.
 * @param aYield The waiting coroutine.
 * @return The result.
 */
template<class Result>
Result
awaitControl(ControlLoop& aControl,
             std::function<void(std::function<void(Result)>)> aWork,
             const boost::asio::yield_context& aYield)
{
  struct Shared
  {
    explicit Shared(const boost::asio::any_io_executor& aExecutor)
      : timer_(aExecutor, boost::asio::steady_timer::time_point::max())
    {
    }
    boost::asio::steady_timer
      timer_; ///< Never expires; cancelled when the result is there.
    std::optional<Result> result_; ///< Touched on the traffic thread only.
  };
  const boost::asio::any_io_executor executor = aYield.get_executor();
  auto shared = std::make_shared<Shared>(executor);
  aControl.post([shared, executor, work = std::move(aWork)] {
    work([shared, executor](Result aResult) {
      boost::asio::post(executor,
                        [shared, result = std::move(aResult)]() mutable {
                          shared->result_ = std::move(result);
                          shared->timer_.cancel();
                        });
    });
  });
  while (!shared->result_) {
    boost::system::error_code ignored;
    shared->timer_.async_wait(aYield[ignored]);
  }
  return std::move(*shared->result_);
}

} // namespace auburnhaven::transport
