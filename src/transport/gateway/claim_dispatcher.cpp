// Forwards idempotency key claims from traffic threads to the control thread.

#include "transport/gateway/claim_dispatcher.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace auburnhaven::transport {

ClaimDispatcher::ClaimDispatcher(ControlLoop& aControl,
                                 coordination::ClaimService& aService)
  : control_(aControl)
  , service_(aService)
{
}

ClaimTicketPtr
ClaimDispatcher::claim(coordination::ClaimRequest aRequest,
                       const boost::asio::any_io_executor& aExecutor,
                       coordination::ClaimHandler aHandler)
{
  auto ticket = std::make_shared<ClaimTicket>();
  auto deliver = [aExecutor, handler = std::move(aHandler)](
                   const coordination::ClaimResult& aResult) {
    boost::asio::post(aExecutor, [handler, aResult] { handler(aResult); });
  };
  control_.post([this, ticket, request = std::move(aRequest), deliver] {
    ticket->token_ = service_.claim(request, deliver);
  });
  return ticket;
}

void
ClaimDispatcher::end(const ClaimTicketPtr& aTicket,
                     coordination::ClaimEnd aEnd,
                     std::shared_ptr<const coordination::StoredAnswer> aAnswer)
{
  control_.post([this, aTicket, aEnd, answer = std::move(aAnswer)] {
    service_.end(aTicket->token_, aEnd, answer);
  });
}

} // namespace auburnhaven::transport
