// Event loop of the control thread.
#pragma once

#include "state/time_type.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace auburnhaven::transport {

/** Runs all control state on one thread. */
class ControlLoop
{
public:
  ControlLoop();
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /** Runs until stop(); called by the control thread. */
  void run();
  /** Ends run(). Safe from any thread. */
  void stop();
  /**
   * Runs a function on the control thread later. Safe from any thread.
   * @param aWork The function.
   */
  void post(std::function<void()> aWork);
  /**
   * Runs a function on the control thread after a delay. Safe from any thread.
   * @param aDelay The delay.
   * @param aWork The function.
   */
  void after(state::Duration aDelay, std::function<void()> aWork);
  /**
   * Runs a function on the control thread again and again. Call before run().
   * @param aPeriod Time between two runs.
   * @param aWork The function.
   */
  void every(state::Duration aPeriod, std::function<void()> aWork);
  /** @return The event loop, for the sockets of the control thread. */
  boost::asio::io_context& context();

private:
  std::unique_ptr<boost::asio::io_context> context_; ///< The event loop.
};

} // namespace auburnhaven::transport
