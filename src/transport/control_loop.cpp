// Event loop of the control thread.

#include "transport/control_loop.h"

#include <boost/asio.hpp>

#include <utility>

namespace auburnhaven::transport {

namespace asio = boost::asio;

namespace {

/** Waits one period, runs the work, and waits again. */
void
repeat(std::shared_ptr<asio::steady_timer> aTimer,
       state::Duration aPeriod,
       std::shared_ptr<std::function<void()>> aWork)
{
  aTimer->expires_after(aPeriod);
  aTimer->async_wait(
    [aTimer, aPeriod, aWork](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      (*aWork)();
      repeat(aTimer, aPeriod, aWork);
    });
}

} // namespace

ControlLoop::ControlLoop()
  : context_(std::make_unique<asio::io_context>(1))
{
}

ControlLoop::~ControlLoop() = default;

void
ControlLoop::run()
{
  const auto guard = asio::make_work_guard(*context_);
  context_->run();
}

void
ControlLoop::stop()
{
  context_->stop();
}

void
ControlLoop::post(std::function<void()> aWork)
{
  asio::post(*context_, std::move(aWork));
}

void
ControlLoop::after(state::Duration aDelay, std::function<void()> aWork)
{
  asio::post(*context_, [this, aDelay, work = std::move(aWork)] {
    auto timer = std::make_shared<asio::steady_timer>(*context_, aDelay);
    timer->async_wait([timer, work](const boost::system::error_code& aError) {
      if (!aError) {
        work();
      }
    });
  });
}

void
ControlLoop::every(state::Duration aPeriod, std::function<void()> aWork)
{
  repeat(std::make_shared<asio::steady_timer>(*context_),
         aPeriod,
         std::make_shared<std::function<void()>>(std::move(aWork)));
}

asio::io_context&
ControlLoop::context()
{
  return *context_;
}

} // namespace auburnhaven::transport
