// Gives the configuration to daemons that the store does not answer.

#include "protocol/config_exchange.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace auburnhaven::protocol {

namespace {

constexpr std::chrono::milliseconds kAskPeriod{ 400 }; ///< Between questions.
constexpr char kQuestion = 'q'; ///< First byte: the version known follows.
constexpr char kAnswer = 'a';   ///< First byte: the configuration follows.

} // namespace

ConfigExchange::ConfigExchange(const state::Clock& aClock,
                               ByteLinks& aLinks,
                               coordination::StoreFollower& aFollower,
                               state::Endpoint aSelf,
                               std::uint64_t aSeed)
  : clock_(aClock)
  , links_(aLinks)
  , follower_(aFollower)
  , self_(std::move(aSelf))
  , random_(aSeed)
{
  links_.onMessage(
    [this](const state::Endpoint& aFrom, const std::string& aMessage) {
      receive(aFrom, aMessage);
    });
}

void
ConfigExchange::setPeers(std::vector<state::Endpoint> aPeers)
{
  std::erase(aPeers, self_);
  std::sort(aPeers.begin(), aPeers.end());
  aPeers.erase(std::unique(aPeers.begin(), aPeers.end()), aPeers.end());
  peers_ = std::move(aPeers);
}

void
ConfigExchange::tick()
{
  const bool due = follower_.hasOutage() && clock_.now() >= askAt_;
  if (!due || peers_.empty()) {
    return;
  }
  askAt_ = clock_.now() + kAskPeriod;
  links_.send(peers_[random_() % peers_.size()],
              kQuestion + std::to_string(version()));
}

std::uint64_t
ConfigExchange::version() const
{
  return follower_.config() ? follower_.config()->version_.value() : 0;
}

void
ConfigExchange::receive(const state::Endpoint& aFrom,
                        const std::string& aMessage)
{
  if (aMessage.empty()) {
    return;
  }
  const std::string content = aMessage.substr(1);
  if (aMessage.front() == kAnswer) {
    follower_.offerConfig(content);
    return;
  }
  const bool newer = version() > std::strtoull(content.c_str(), nullptr, 10);
  const bool fits = follower_.configText().size() < kMaxPeerMessageBytes;
  if (aMessage.front() == kQuestion && newer && fits) {
    links_.send(aFrom, kAnswer + follower_.configText());
  }
}

} // namespace auburnhaven::protocol
