// How requests, sends and answers state what a relay must know of them.
#pragma once

#include "coordination/routing/engine_timing_func.h"
#include "state/instance_type.h"
#include "transport/http_client.h"
#include "transport/http_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/** What a caller's request states. */
struct RelayRequestInfo
{
  std::string id_;   ///< Identifier of this attempt of the caller.
  std::string host_; ///< Host.
  std::string key_;  ///< Bearer key; empty for none.
  std::optional<std::chrono::milliseconds>
    callerTimeout_;                    ///< How long the caller waits.
  state::ModelId model_;               ///< Model; empty for plain services.
  coordination::RequestTokens tokens_; ///< Its tokens.
  std::string lastEventId_; ///< Event after which a stream goes on; empty for
                            ///< its start.
  bool operator==(const RelayRequestInfo&) const = default;
};

/** What a relay adds to a request that it sends on. */
struct RelayForwardInfo
{
  state::VmId target_;                   ///< Target that must run it.
  state::AccountId account_;             ///< Account; empty for none.
  std::chrono::milliseconds timeLeft_{}; ///< Time until it is given up.
  std::string lastEventId_;              ///< As for RelayRequestInfo.
  bool operator==(const RelayForwardInfo&) const = default;
};

/** What a target's answer states. */
struct RelayResponseInfo
{
  bool notRun_ = false; ///< Whether the target says that it did not run it.
  bool matchesRequest_ = false; ///< Whether it answers this request.
  bool signed_ = false;         ///< Whether it carries the target's signature.
  bool leaving_ = false;        ///< Whether the target is about to stop.
  std::optional<state::Duration>
    requestedPause_; ///< How long the target wants no requests; none when it
                     ///< doesn't say.
  std::optional<state::TargetLoad> load_; ///< Load of the target.
  bool operator==(const RelayResponseInfo&) const = default;
};

/** Reads and writes the headers of relayed requests. Thread-safe. */
class RelayDialect
{
public:
  virtual ~RelayDialect() = default;
  /** @param aRequest A request. @return What it states. */
  virtual RelayRequestInfo read(const HttpRequest& aRequest) const = 0;
  /**
   * @param aRequest The caller's request.
   * @param aSend What to add.
   * @return Headers to send; none that concern only one connection.
   */
  virtual std::vector<HttpField> headersFor(
    const HttpRequest& aRequest,
    const RelayForwardInfo& aSend) const = 0;
  /**
   * @param aRequest What the request states.
   * @param aCall A call with a response.
   * @return What the answer states.
   */
  virtual RelayResponseInfo parseResponse(const RelayRequestInfo& aRequest,
                                          const HttpCall& aCall) const = 0;
};

/**
 * @param aName Name of a header.
 * @return Whether it concerns only one connection or the framing of a body.
 * Thread-safe.
 */
bool
isConnectionHeader(std::string_view aName);

} // namespace auburnhaven::transport
