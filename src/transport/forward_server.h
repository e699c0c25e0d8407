// Takes forwarded requests of daemons of other availability zones.
#pragma once

#include "transport/forward_type.h"
#include "transport/peer_listener.h"
#include "transport/traffic_pool.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburnhaven::transport {

class ForwardServerSession;

/** What the sessions of a server share. Thread-safe but for the lists. */
struct ForwardServerState
{
  /** Sessions of one traffic thread; used on it alone. */
  struct Thread
  {
    std::vector<std::weak_ptr<ForwardServerSession>> sessions_; ///< Sessions.
  };

  ForwardSettings settings_;                 ///< Settings.
  ForwardHandler* handler_ = nullptr;        ///< Makes the attempts.
  std::vector<Thread> threads_;              ///< By index of the thread.
  std::atomic<std::uint64_t> inFlight_{ 0 }; ///< Attempts being made
                                             ///< or answered.
  std::atomic<bool> draining_{ false };      ///< No new attempts.
};

/** Accepts sessions on every traffic thread and runs their attempts there. */
class ForwardServer
{
public:
  /**
   * @param aPool Threads; the server lives until they are joined.
   * @param aSettings Settings.
   * @param aHandler Makes the attempts; outlives the pool's threads.
   */
  ForwardServer(TrafficPool& aPool,
                ForwardSettings aSettings,
                ForwardHandler& aHandler);
  ~ForwardServer();
  ForwardServer(const ForwardServer&) = delete;
  ForwardServer& operator=(const ForwardServer&) = delete;

  /**
   * Listens. Call once, before the threads start.
   * @return Empty, or why it could not listen.
   */
  std::string start();
  /**
   * Takes no new attempts: each is refused as certainly not run. Attempts in
   * flight go on. Safe from any thread.
   */
  void drain();
  /** @return Attempts being made, or whose answer is not written yet. Safe from
   * any thread. */
  std::uint64_t inFlight() const { return state_->inFlight_; }
  /** @return Port that it listens on. */
  std::uint16_t port() const;

private:
  TrafficPool& pool_;                                    ///< Threads.
  std::shared_ptr<ForwardServerState> state_;            ///< Shared state.
  std::vector<std::unique_ptr<PeerListener>> listeners_; ///< By thread.
};

} // namespace auburnhaven::transport
