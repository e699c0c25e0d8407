// Claims of idempotency keys for requests on traffic threads.
#pragma once

#include "coordination/request/claim_service.h"
#include "transport/control_loop.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace auburnhaven::transport {

/** A claim that a request made; opaque to the request. */
struct ClaimTicket
{
  coordination::ClaimToken token_; ///< Token; control thread only.
};

using ClaimTicketPtr = std::shared_ptr<ClaimTicket>; ///< Shared ticket.

/** Passes claims from traffic threads to the control thread. Thread-safe. */
class ClaimDispatcher
{
public:
  /**
   * @param aControl The control thread.
   * @param aService Claims; used on the control thread only.
   */
  ClaimDispatcher(ControlLoop& aControl, coordination::ClaimService& aService);

  /**
   * Claims a key.
   * @param aRequest The claim.
   * @param aExecutor Where the handler is called.
   * @param aHandler Called once.
   * @return Ticket to end the claim with.
   */
  ClaimTicketPtr claim(coordination::ClaimRequest aRequest,
                       const boost::asio::any_io_executor& aExecutor,
                       coordination::ClaimHandler aHandler);
  /**
   * Ends a claim, also one whose handler was not called yet.
   * @param aTicket The ticket.
   * @param aEnd How it ended.
   * @param aAnswer Answer to keep, when finished.
   */
  void end(const ClaimTicketPtr& aTicket,
           coordination::ClaimEnd aEnd,
           std::shared_ptr<const coordination::StoredAnswer> aAnswer);

private:
  ControlLoop& control_;                ///< The control thread.
  coordination::ClaimService& service_; ///< Claims.
};

} // namespace auburnhaven::transport
