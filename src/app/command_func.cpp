// Steps that the operators' commands share.

#include "app/command_func.h"

#include <algorithm>

namespace auburnhaven::app {

namespace {

constexpr unsigned kHttpOk = 200;           ///< HTTP status.
constexpr unsigned kHttpBadRequest = 400;   ///< HTTP status.
constexpr unsigned kHttpUnauthorized = 401; ///< HTTP status.

} // namespace

state::leaf::result<std::string>
expectReply(OperatorReply aReply, const std::vector<unsigned>& aAlso)
{
  const unsigned status = aReply.status_;
  const bool expected =
    std::find(aAlso.begin(), aAlso.end(), status) != aAlso.end();
  if (status == kHttpOk || expected) {
    return std::move(aReply.body_);
  }
  CommandFailure failure;
  if (status == 0) {
    failure.message_ = "no answer from the daemon: " + aReply.body_;
  } else if (status == kHttpUnauthorized) {
    failure = { kExitBadInput, "the daemon refuses the operator key" };
  } else {
    failure.status_ = status == kHttpBadRequest ? kExitBadInput : kExitFailed;
    failure.message_ =
      "the daemon answers " + std::to_string(status) + ": " + aReply.body_;
  }
  return state::leaf::new_error(failure);
}

} // namespace auburnhaven::app
