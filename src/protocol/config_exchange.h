// Gives the configuration to daemons that the store does not answer.
#pragma once

#include "coordination/routing/store_follower.h"
#include "protocol/byte_links_port.h"

#include <random>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/**
 * Asks other daemons for a newer configuration while the store is silent, and
 * answers such questions. Control thread only.
 */
class ConfigExchange
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aLinks Links to other daemons; outlive this object.
   * @param aFollower Has the configuration; outlives this object.
   * @param aSelf Where this daemon listens for peers.
   * @param aSeed Seed of the random numbers.
   */
  ConfigExchange(const state::Clock& aClock,
                 ByteLinks& aLinks,
                 coordination::StoreFollower& aFollower,
                 state::Endpoint aSelf,
                 std::uint64_t aSeed);
  ConfigExchange(const ConfigExchange&) = delete;
  ConfigExchange& operator=(const ConfigExchange&) = delete;

  /** @param aPeers Daemons that may be asked. */
  void setPeers(std::vector<state::Endpoint> aPeers);
  /** Asks a peer when that is due. Call each 50 ms or so. */
  void tick();

private:
  void receive(const state::Endpoint& aFrom, const std::string& aMessage);
  std::uint64_t version() const;

  const state::Clock& clock_;             ///< Clock.
  ByteLinks& links_;                      ///< Links to other daemons.
  coordination::StoreFollower& follower_; ///< Has the configuration.
  state::Endpoint self_;                  ///< Where this daemon listens.
  std::mt19937_64 random_;                ///< Choice of peers.
  std::vector<state::Endpoint> peers_;    ///< Daemons that may be asked.
  state::TimePoint askAt_{};              ///< When to ask next.
};

} // namespace auburnhaven::protocol
