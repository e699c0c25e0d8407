// What tells one relayed request from others, over attempts and daemons.
#pragma once

#include "transport/http_type.h"
#include "transport/relay/relay_dialect.h"

#include <optional>

namespace auburnhaven::transport {

/**
 * The parts by which a request is known when targets end under it: those of its
 * prompt, and one for the request as a whole, so that the same request is known
 * again when its caller repeats it. Used by one coroutine.
 */
class RequestIdentity
{
public:
  /**
   * All arguments must outlive this object.
   * @param aRequest The request.
   * @param aInfo Contents of its headers.
   * @param aAccount Client account; may be set until the first call of parts().
   */
  RequestIdentity(const HttpRequest& aRequest,
                  const RelayRequestInfo& aInfo,
                  const state::AccountId& aAccount);

  /** @return The parts. The first call reads the whole body. */
  const state::PromptParts& parts() const;

private:
  const HttpRequest& request_;      ///< The request.
  const RelayRequestInfo& info_;    ///< Contents of its headers.
  const state::AccountId& account_; ///< Client account; empty for none.
  mutable std::optional<state::PromptParts> parts_; ///< The parts once known.
};

} // namespace auburnhaven::transport
