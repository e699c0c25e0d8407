// Calls a daemon's operator listener on behalf of a command.
#pragma once

#include "state/endpoint_type.h"
#include "state/error_type.h"

#include <string>

namespace auburnhaven::app {

/** Where and how a command reaches a daemon. */
struct OperatorOptions
{
  std::string address_ = "127.0.0.1:9003"; ///< Operator listener.
  std::string keyFile_; ///< File that holds the operators' bearer key.
  bool json_ = false;   ///< Whether to print JSON.
};

/** Answer of a daemon. */
struct OperatorReply
{
  unsigned status_ = 0; ///< HTTP status, 0 when there was no answer.
  std::string body_;    ///< Body, or the reason why there was no answer.
};

/** Calls one daemon. One thread. */
class OperatorClient
{
public:
  /**
   * @param aEndpoint Operator listener of the daemon.
   * @param aKey Bearer key of the operators.
   */
  OperatorClient(state::Endpoint aEndpoint, std::string aKey);
  /** @param aPath Path with query. @return The answer. */
  OperatorReply get(const std::string& aPath) const;
  /** @param aPath Path. @param aBody JSON. @return The answer. */
  OperatorReply post(const std::string& aPath, const std::string& aBody) const;

private:
  state::Endpoint endpoint_; ///< Operator listener.
  std::string key_;          ///< Bearer key.
};

/**
 * Makes the client that the options describe.
 * @param aOptions Options of the command.
 * @return The client, or state::InputErrors for a wrong address or key file.
 */
state::leaf::result<OperatorClient>
makeOperatorClient(const OperatorOptions& aOptions);

} // namespace auburnhaven::app
