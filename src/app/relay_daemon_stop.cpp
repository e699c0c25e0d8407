// The graceful stop of the relay daemon.

#include "app/relay_daemon.h"

#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace auburnhaven::app {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPart = "daemon"; ///< Part of the program in logs.
constexpr milliseconds kReleaseTimeout(
  100); ///< Longest wait for the store to end the registration.
constexpr milliseconds kAbandonWait(
  100); ///< Longest wait for the ends of requests that outlast the stop.
constexpr milliseconds kLogTimeout(
  100); ///< Longest wait for a traffic thread's records of open requests.

} // namespace

void
RelayDaemon::stop()
{
  StopTimer stop(
    clock_, [](state::Duration aTime) { std::this_thread::sleep_for(aTime); });
  status_.setReady(false);
  callers_->closeAfterResponses();
  control_.post([this] {
    stopping_ = true;
    status_.setReady(false);
    extender_.stop();
    for (auto& [zone, duty] : duties_) {
      extender_.handOver(zone);
      handBack(*duty);
    }
  });
  const StopTimes times =
    planStop(settings_.balancerLag_, settings_.stopLimit_);
  stop.sleepUntil(times.refuseAt_);
  endStopPhase(stop, "balancer wait");
  // Late requests on kept connections could not be finished in time.
  relay_.refuseAll();
  callers_->drain();
  stop.waitFor([this] { return callers_->inFlight() == 0; }, times.giveUpAt_);
  endStopPhase(stop, "requests");
  logOpenRequests();
  // Better an error now than a connection that closes without an answer.
  onTrafficThreads(
    [this](std::size_t aThread) { relay_.giveUpOpenRequests(aThread); });
  stop.waitFor([this] { return callers_->inFlight() == 0; },
               stop.elapsed() + kAbandonWait);
  endRegistration();
  logStopped(stop);
  // No request may outlive the parts that its exchange uses.
  callers_->abandon();
  stop.waitFor([this] { return callers_->counts().requests_ == 0; },
               stop.elapsed() + kAbandonWait);
  endStopPhase(stop, "abandoned requests");
  traffic_.stop();
  control_.stop();
  controlThread_.join();
  endStopPhase(stop, "threads");
}

void
RelayDaemon::endRegistration()
{
  const auto done = std::make_shared<std::promise<void>>();
  control_.post([this, done] {
    if (registration_.holds()) {
      registration_.release([done] { done->set_value(); });
    } else {
      done->set_value();
    }
  });
  done->get_future().wait_for(kReleaseTimeout);
}

void
RelayDaemon::endStopPhase(StopTimer& aStop, std::string_view aPhase)
{
  const transport::HttpServerCounts counts = callers_->counts();
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "stop phase ended",
    { state::logField("phase", aPhase),
      state::logField("took_ms", state::countMs(aStop.endPhase())),
      state::logField("since_signal_ms", state::countMs(aStop.elapsed())),
      state::logField("requests_open", counts.requests_),
      state::logField("connections", counts.connections_) });
}

void
RelayDaemon::logStopped(const StopTimer& aStop)
{
  const transport::HttpServerCounts counts = callers_->counts();
  log_.write(
    state::LogWeight::kChange,
    kPart,
    "stopped",
    { state::logField("requests_cut", counts.requests_),
      state::logField("connections_closing", counts.closing_),
      state::logField("connections_open", counts.connections_),
      state::logField("closed_unsent", counts.closedUnsent_),
      state::logField("closed_unread", counts.closedUnread_),
      state::logField("callers_gone", counts.callersGone_),
      state::logField("callers_half_closed", counts.halfCloses_),
      state::logField("requests", relay_.requests()),
      state::logField("since_signal_ms", state::countMs(aStop.elapsed())) });
}

void
RelayDaemon::logOpenRequests()
{
  for (std::size_t thread = 0; thread < traffic_.size(); ++thread) {
    const auto done = std::make_shared<std::promise<void>>();
    boost::asio::post(traffic_.context(thread), [this, thread, done] {
      relay_.logOpenRequests(thread, "request is cut by the stop");
      done->set_value();
    });
    done->get_future().wait_for(kLogTimeout);
  }
}

} // namespace auburnhaven::app
