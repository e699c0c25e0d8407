// Threads that carry traffic, one event loop each.
#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace auburnhaven::transport {

/**
 * Event loops for traffic. Everything of one connection runs on one thread, so
 * sessions need no locks. next() and context() are safe from any thread.
 */
class TrafficPool
{
public:
  /** @param aThreads Number of threads, at least 1. */
  explicit TrafficPool(std::size_t aThreads);
  /** Stops and joins the threads. */
  ~TrafficPool();
  TrafficPool(const TrafficPool&) = delete;
  TrafficPool& operator=(const TrafficPool&) = delete;

  /** Starts the threads. Call once. */
  void start();
  /** Stops the event loops and joins the threads. Safe to call twice, from one
   * thread. */
  void stop();
  /** @return Number of threads. */
  std::size_t size() const { return contexts_.size(); }
  /**
   * @param aIndex Index of a thread, below size().
   * @return Its event loop.
   */
  boost::asio::io_context& context(std::size_t aIndex)
  {
    return *contexts_[aIndex];
  }
  /** @return Index of the thread that takes the next connection. */
  std::size_t next()
  {
    return next_.fetch_add(1, std::memory_order_relaxed) % contexts_.size();
  }

private:
  std::vector<std::unique_ptr<boost::asio::io_context>>
    contexts_;                         ///< Event loops.
  std::vector<std::thread> threads_;   ///< Threads that run them.
  std::atomic<std::size_t> next_{ 0 }; ///< Counts connections.
};

} // namespace auburnhaven::transport
