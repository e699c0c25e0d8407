// What tells one relayed request from others, over attempts and daemons.

#include "transport/relay/request_identity.h"

#include "state/request_digest_func.h"

namespace auburnhaven::transport {

RequestIdentity::RequestIdentity(const HttpRequest& aRequest,
                                 const RelayRequestInfo& aInfo,
                                 const state::AccountId& aAccount)
  : request_(aRequest)
  , info_(aInfo)
  , account_(aAccount)
{
}

const state::PromptParts&
RequestIdentity::parts() const
{
  if (!parts_) {
    // Other headers, such as the deadline, differ from attempt to attempt.
    parts_ = { state::wholeRequestPart({ info_.host_,
                                         request_.method_,
                                         request_.path_,
                                         request_.query_,
                                         account_.value(),
                                         request_.body_ }) };
    parts_->insert(
      parts_->end(), info_.sharedParts_.begin(), info_.sharedParts_.end());
  }
  return *parts_;
}

} // namespace auburnhaven::transport
