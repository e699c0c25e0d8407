// In-memory network with loss, delay and cuts, which counts messages.
#pragma once

#include "fakes/fake_clock.h"
#include "state/endpoint_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

/** What one endpoint has sent and received. */
struct TrafficCount
{
  std::uint64_t sentMessages_ = 0;     ///< Messages sent.
  std::uint64_t sentBytes_ = 0;        ///< Their bytes.
  std::uint64_t receivedMessages_ = 0; ///< Messages received.
  std::uint64_t receivedBytes_ = 0;    ///< Their bytes.
};

/** What the network does to messages. */
struct SwitchFaults
{
  double loss_ = 0; ///< Part of the messages that is lost.
  state::Duration delay_ = std::chrono::milliseconds(1); ///< Time under way.
  state::Duration jitter_ =
    std::chrono::milliseconds(2); ///< Random time added to it.
};

/**
 * Carries messages of one type between endpoints. Not thread-safe.
 * @tparam Message Type of the messages.
 */
template<class Message>
class FakeSwitch
{
public:
  using Handler = std::function<void(const state::Endpoint&,
                                     const Message&,
                                     state::Duration)>; ///< Takes the sender,
                                                        ///< the message and
                                                        ///< its time under way.
  using CutRule =
    std::function<bool(const state::Endpoint&,
                       const state::Endpoint&)>; ///< Whether no message passes.
  using SizeRule =
    std::function<std::uint64_t(const Message&)>; ///< Bytes of a message.

  /**
   * @param aClock Clock of the test.
   * @param aSeed Seed of loss and jitter.
   */
  FakeSwitch(FakeClock& aClock, std::uint64_t aSeed)
    : clock_(aClock)
    , random_(aSeed)
  {
  }

  /** @return Faults that apply to the next messages. */
  SwitchFaults& faults() { return faults_; }
  /** @param aRule Tells which pairs are cut; asked on sending and arrival. */
  void cut(CutRule aRule) { cut_ = std::move(aRule); }
  /** @param aRule Tells the bytes of a message. */
  void measure(SizeRule aRule) { size_ = std::move(aRule); }
  /** Attaches or detaches (by an empty handler) an endpoint. */
  void attach(const state::Endpoint& aEndpoint, Handler aHandler)
  {
    handlers_[aEndpoint] = std::move(aHandler);
  }

  /** Sets whether messages to an endpoint wait, as for a paused process. */
  void hold(const state::Endpoint& aEndpoint, bool aHold)
  {
    if (aHold) {
      held_[aEndpoint];
      return;
    }
    for (Flight& flight : held_[aEndpoint]) {
      queue_.emplace(clock_.now(), std::move(flight));
    }
    held_.erase(aEndpoint);
  }

  void send(const state::Endpoint& aFrom,
            const state::Endpoint& aTo,
            Message aMessage)
  {
    const std::uint64_t bytes = size_ ? size_(aMessage) : 0;
    TrafficCount& count = counts_[aFrom];
    ++count.sentMessages_;
    count.sentBytes_ += bytes;
    crossed_ += aFrom.address_ != aTo.address_ ? bytes : 0;
    std::uniform_real_distribution<double> part(0, 1);
    const bool lost =
      (cut_ && cut_(aFrom, aTo)) || part(random_) < faults_.loss_;
    if (lost) {
      return;
    }
    const auto jitter = static_cast<std::int64_t>(
      part(random_) * static_cast<double>(faults_.jitter_.count()));
    const state::TimePoint now = clock_.now();
    queue_.emplace(now + faults_.delay_ + state::Duration(jitter),
                   Flight{ aFrom, aTo, std::move(aMessage), now, bytes });
  }

  /** Hands over the messages whose time has come. */
  void step()
  {
    while (!queue_.empty() && queue_.begin()->first <= clock_.now()) {
      Flight flight = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      const auto held = held_.find(flight.to_);
      if (held != held_.end()) {
        held->second.push_back(std::move(flight));
        continue;
      }
      const auto handler = handlers_.find(flight.to_);
      const bool gone = handler == handlers_.end() || !handler->second ||
                        (cut_ && cut_(flight.from_, flight.to_));
      if (gone) {
        continue;
      }
      TrafficCount& count = counts_[flight.to_];
      ++count.receivedMessages_;
      count.receivedBytes_ += flight.bytes_;
      handler->second(
        flight.from_, flight.message_, clock_.now() - flight.sentAt_);
    }
  }

  /** @return Bytes sent to an endpoint of another address. */
  std::uint64_t crossed() const { return crossed_; }
  /** Counts bytes to other addresses from zero. */
  void resetCrossed() { crossed_ = 0; }
  /** @return Traffic of each endpoint since the start or the last reset. */
  std::map<state::Endpoint, TrafficCount>& counts() { return counts_; }

private:
  /** A message under way. */
  struct Flight
  {
    state::Endpoint from_;      ///< Sender.
    state::Endpoint to_;        ///< Receiver.
    Message message_;           ///< The message.
    state::TimePoint sentAt_{}; ///< When it was sent.
    std::uint64_t bytes_ = 0;   ///< Its bytes.
  };

  FakeClock& clock_;                              ///< Clock of the test.
  std::mt19937_64 random_;                        ///< Loss and jitter.
  SwitchFaults faults_;                           ///< Faults.
  CutRule cut_;                                   ///< Pairs that are cut.
  SizeRule size_;                                 ///< Bytes of a message.
  std::map<state::Endpoint, Handler> handlers_;   ///< Attached endpoints.
  std::multimap<state::TimePoint, Flight> queue_; ///< Messages under way.
  std::map<state::Endpoint, std::vector<Flight>>
    held_; ///< Messages that wait for a paused receiver.
  std::map<state::Endpoint, TrafficCount> counts_; ///< Traffic.
  std::uint64_t crossed_ = 0; ///< Bytes to other addresses.
};

} // namespace auburnhaven::fakes
