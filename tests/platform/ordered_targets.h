// Targets that answer a relay's sends in a common order.
#pragma once

#include "platform/relay_world.h"

#include <atomic>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

/** Three targets that take the connections of a relay by one common order,
 * whichever of them is chosen. */
class OrderedTargets
{
public:
  /** @param aScripts What each connection does, in the order of the
   * connections; the last one stands for all further ones. */
  explicit OrderedTargets(std::vector<RawServer::Script> aScripts)
    : scripts_(std::move(aScripts))
    , one_(follow())
    , two_(follow())
    , three_(follow())
  {
  }
  /** @return Endpoints of the targets. */
  std::vector<state::Endpoint> endpoints() const
  {
    return { one_.endpoint(), two_.endpoint(), three_.endpoint() };
  }
  /** @return Connections so far. */
  std::size_t connections() const { return count_; }

private:
  RawServer::Script follow()
  {
    return [this](boost::asio::ip::tcp::socket& aSocket, int aIndex) {
      const std::size_t number = std::min(count_++, scripts_.size() - 1);
      scripts_[number](aSocket, aIndex);
    };
  }

  std::vector<RawServer::Script> scripts_; ///< What each connection does.
  std::atomic<std::size_t> count_{ 0 };    ///< Connections so far.
  RawServer one_;                          ///< A target.
  RawServer two_;                          ///< Another one.
  RawServer three_;                        ///< A third one.
};

} // namespace auburnhaven::fakes
