// Forwards idempotency key claims from traffic threads to the control thread.
#pragma once

#include "coordination/request/claim_service.h"
#include "transport/control_loop.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace auburnhaven::transport {

/** Handle of a claim; opaque to the request that made it. */
struct ClaimTicket
{
  coordination::ClaimToken token_; ///< Set and read on the control thread only.
};

using ClaimTicketPtr = std::shared_ptr<ClaimTicket>; ///< Shared ticket.

/**
 * Forwards claims from traffic threads to the claim service on the control
 * thread. Thread-safe.
 */
class ClaimDispatcher
{
public:
  /**
   * @param aControl The control thread; outlives this object.
   * @param aService Claim service, called on the control thread only; outlives
   * this object.
   */
  ClaimDispatcher(ControlLoop& aControl, coordination::ClaimService& aService);

  /**
   * Starts a claim of an idempotency key. Does not block.
   * @param aRequest Key, body digest, operation and account to claim.
   * @param aExecutor Executor on which aHandler is called.
   * @param aHandler Receives the result; called once.
   * @return Ticket to pass to end().
   */
  ClaimTicketPtr claim(coordination::ClaimRequest aRequest,
                       const boost::asio::any_io_executor& aExecutor,
                       coordination::ClaimHandler aHandler);
  /**
   * Ends a claim. The claim's handler need not have been called yet.
   * @param aTicket Ticket that claim() returned.
   * @param aEnd How the request ended.
   * @param aAnswer Answer to store for replays if the request finished, else
   * null.
   */
  void end(const ClaimTicketPtr& aTicket,
           coordination::ClaimEnd aEnd,
           std::shared_ptr<const coordination::StoredAnswer> aAnswer);

private:
  ControlLoop& control_;                ///< The control thread.
  coordination::ClaimService& service_; ///< Control thread only.
};

} // namespace auburnhaven::transport
