// Claim operations between daemons of a zone.
#pragma once

#include "coordination/request/claim_service.h"
#include "protocol/byte_links_port.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace auburnhaven::protocol {

/**
 * Hands claim operations to the daemon that writes their slot, and serves those
 * that other daemons hand over. A lost message is never repeated; the claim
 * service then does the operation itself. Control thread only.
 */
class ClaimMessenger : public coordination::ClaimPeers
{
public:
  using EndpointFinder = std::function<std::optional<state::Endpoint>(
    const state::DaemonId&)>; ///< Gives the listening endpoint of a daemon.

  /**
   * @param aLinks Links for claims alone; outlive this object.
   * @param aFind Finds daemons of the zone.
   */
  ClaimMessenger(ByteLinks& aLinks, EndpointFinder aFind);
  ClaimMessenger(const ClaimMessenger&) = delete;
  ClaimMessenger& operator=(const ClaimMessenger&) = delete;

  /**
   * Sets who does the operations that other daemons hand over.
   * @param aService The service; outlives this object.
   */
  void serveWith(coordination::ClaimService& aService) { service_ = &aService; }
  void forward(const state::DaemonId& aTo,
               const coordination::ClaimOperation& aOperation,
               coordination::ClaimHandler aHandler) override;

private:
  void receive(const state::Endpoint& aFrom, const std::string& aMessage);
  void serve(const state::Endpoint& aFrom,
             std::uint64_t aNumber,
             const std::string& aText);
  void deliver(std::uint64_t aNumber, const std::string& aText);

  ByteLinks& links_;                              ///< Links for claims.
  EndpointFinder find_;                           ///< Finds daemons.
  coordination::ClaimService* service_ = nullptr; ///< Does operations.
  std::uint64_t nextNumber_ = 1;                  ///< Number of the next call.
  std::map<std::uint64_t, coordination::ClaimHandler>
    waiting_; ///< Calls without an answer, oldest first; bounded.
};

} // namespace auburnhaven::protocol
