// Reads and writes the headers that a relay exchanges with callers and targets.
#pragma once

#include "coordination/routing/engine_timing_func.h"
#include "state/instance_type.h"
#include "state/prompt_part_func.h"
#include "transport/http_client.h"
#include "transport/http_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::transport {

/** Contents of a caller's request headers. */
struct RelayRequestInfo
{
  std::string id_;   ///< Identifier of this attempt, set by the caller.
  std::string host_; ///< Host header.
  std::string key_;  ///< Bearer key; empty when absent.
  std::optional<std::chrono::milliseconds>
    callerTimeout_;      ///< How long the caller waits for the response.
  state::ModelId model_; ///< Model; empty for plain services.
  coordination::RequestTokens tokens_; ///< Token counts of the request.
  state::PromptParts sharedParts_; ///< Parts of the prompt that other requests
                                   ///< may share, in order; empty when unknown.
  std::string lastEventId_; ///< Event after which a stream is resumed; empty to
                            ///< start at the beginning.
  bool operator==(const RelayRequestInfo&) const = default;
};

/** Contents of the headers that a relay adds to a forwarded request. */
struct RelayForwardInfo
{
  state::VmId target_;                   ///< Target that must run the request.
  state::AccountId account_;             ///< Client account; empty for none.
  std::chrono::milliseconds timeLeft_{}; ///< Time left until the deadline.
  std::string lastEventId_;              ///< As for RelayRequestInfo.
  bool operator==(const RelayForwardInfo&) const = default;
};

/** Contents of a target's response headers. */
struct RelayResponseInfo
{
  bool notRun_ = false; ///< Whether the target reports that it did not run this
                        ///< request; only if it carries its identifier.
  bool deniesRun_ =
    false; ///< Whether its status would tell the caller that the request did
           ///< not run; not to be forwarded, since one that is true is notRun_.
  bool matchesRequest_ =
    false;               ///< Whether it carries the identifier of this request.
  bool signed_ = false;  ///< Whether it carries the target's signature.
  bool leaving_ = false; ///< Whether the target is about to shut down.
  std::optional<state::Duration>
    requestedPause_; ///< How long the target wants no requests; nothing when
                     ///< it doesn't say.
  std::optional<state::TargetLoad> load_; ///< Load that the target reports.
  std::optional<double> requestLimit_;    ///< Requests a second that the target
                                          ///< takes of all daemons together;
                                          ///< nothing when it names no limit.
  bool operator==(const RelayResponseInfo&) const = default;
};

/** Reads and writes the headers of relayed requests. Thread-safe. */
class RelayDialect
{
public:
  virtual ~RelayDialect() = default;
  /** @param aRequest A caller's request. @return Contents of its headers. */
  virtual RelayRequestInfo read(const HttpRequest& aRequest) const = 0;
  /**
   * @param aRequest The caller's request.
   * @param aForward Contents of the headers to add.
   * @return Headers of the forwarded request, without those that concern only
   * one connection.
   */
  virtual std::vector<HttpField> headersFor(
    const HttpRequest& aRequest,
    const RelayForwardInfo& aForward) const = 0;
  /**
   * @param aRequest Contents of the request's headers.
   * @param aCall A call whose response head has been read.
   * @return Contents of the response's headers.
   */
  virtual RelayResponseInfo parseResponse(const RelayRequestInfo& aRequest,
                                          const HttpCall& aCall) const = 0;
};

/**
 * @param aName Name of a header, in any case.
 * @return Whether it concerns only one connection or the framing of a body, so
 * that it must not be forwarded. Thread-safe.
 */
bool
isConnectionHeader(std::string_view aName);

} // namespace auburnhaven::transport
