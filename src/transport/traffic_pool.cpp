// Threads that carry traffic, one event loop each.

#include "transport/traffic_pool.h"

#include <boost/asio.hpp>

#include <cassert>

namespace auburnhaven::transport {

TrafficPool::TrafficPool(std::size_t aThreads)
{
  assert(aThreads > 0);
  for (std::size_t index = 0; index < aThreads; ++index) {
    contexts_.push_back(std::make_unique<boost::asio::io_context>(1));
  }
}

TrafficPool::~TrafficPool()
{
  stop();
}

void
TrafficPool::start()
{
  assert(threads_.empty());
  for (const auto& context : contexts_) {
    threads_.emplace_back([&loop = *context] {
      const auto guard = boost::asio::make_work_guard(loop);
      loop.run();
    });
  }
}

void
TrafficPool::stop()
{
  for (const auto& context : contexts_) {
    context->stop();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

} // namespace auburnhaven::transport
