// Steps that the operators' commands share.
#pragma once

#include "app/command_client.h"
#include "app/command_line.h"
#include "app/command_output.h"
#include "protocol/admin_codec.h"

#include <iostream>
#include <utility>

namespace auburnhaven::app {

/** Why a command ended early; printed by runCommand(). */
struct CommandFailure
{
  int status_ = kExitFailed; ///< Exit status.
  std::string message_;      ///< What is wrong, as a short sentence.
};

/**
 * Checks that a daemon answered with one of the wanted statuses.
 * @param aReply The answer.
 * @param aAlso Statuses beside 200 whose answers carry a message.
 * @return The body, or CommandFailure.
 */
state::leaf::result<std::string>
expectReply(OperatorReply aReply, const std::vector<unsigned>& aAlso = {});

/**
 * Runs a command and prints what made it fail.
 * @param aCommand Gives a leaf result with an exit status.
 * @return Exit status.
 */
template<class Command>
int
runCommand(Command&& aCommand)
{
  return state::leaf::try_handle_all(
    std::forward<Command>(aCommand),
    [](const state::InputErrors& aErrors) -> int {
      printInputErrors(std::cerr, aErrors);
      return kExitBadInput;
    },
    [](const CommandFailure& aFailure) -> int {
      std::cerr << aFailure.message_ << '\n';
      return aFailure.status_;
    },
    []() -> int { return kExitFailed; });
}

/**
 * Fetches a message from a daemon.
 * @param aClient The daemon.
 * @param aPath Path with query.
 * @return The message, or CommandFailure or state::InputErrors.
 */
template<class Message>
state::leaf::result<Message>
fetchMessage(const OperatorClient& aClient, const std::string& aPath)
{
  BOOST_LEAF_AUTO(body, expectReply(aClient.get(aPath)));
  return protocol::decodeAdmin<Message>(body);
}

/**
 * Fetches a message and prints it as text or JSON.
 * @param aOptions Options of the command.
 * @param aPath Path with query.
 * @param aPrint Prints the message as text.
 * @return Exit status.
 */
template<class Message, class Print>
int
runShow(const OperatorOptions& aOptions, const std::string& aPath, Print aPrint)
{
  return runCommand([&]() -> state::leaf::result<int> {
    BOOST_LEAF_AUTO(client, makeOperatorClient(aOptions));
    BOOST_LEAF_AUTO(message, fetchMessage<Message>(client, aPath));
    if (aOptions.json_) {
      std::cout << protocol::encodeAdmin(message) << '\n';
    } else {
      aPrint(std::cout, message);
    }
    return static_cast<int>(kExitOk);
  });
}

} // namespace auburnhaven::app
