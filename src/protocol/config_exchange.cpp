// Gives news of the store to daemons that do not read them there.

#include "protocol/config_exchange.h"

#include "protocol/datagram_func.h"
#include "state/endpoint_func.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace auburnhaven::protocol {

namespace {

constexpr std::string_view kPart = "news"; ///< Part of the program in logs.
constexpr std::chrono::milliseconds kAskPeriod{ 400 }; ///< Between questions.
constexpr char kQuestion = 'q'; ///< First byte: the version known follows.
constexpr char kAnswer = 'a';   ///< First byte: the configuration follows.
constexpr std::chrono::milliseconds kAskNewsPeriod{ 200 }; ///< The same for
                                                           ///< news.
constexpr std::chrono::milliseconds kTellerSilence{
  1000
}; ///< Silence after which a coordinator is not asked for news.
constexpr std::chrono::milliseconds kTellAgain{
  1000
}; ///< Pause before a peer is told the same news again.
constexpr char kNewsQuestion = 'n'; ///< First byte: the version known follows.
constexpr char kNews = 'm';         ///< First byte: news follow.
constexpr std::size_t kNewsFrame =
  16UL * 1024; ///< Bound of what news have beside their texts.

/** @return Message with news; empty when it would be too large. */
std::string
encodeNews(const coordination::StoreNews& aNews)
{
  std::size_t bytes = aNews.config_.size() + kNewsFrame;
  nlohmann::json plains = nlohmann::json::array();
  for (const auto& [vm, text] : aNews.plains_) {
    bytes += vm.value().size() + text.size();
    plains.push_back({ vm.value(), text });
  }
  return bytes >= kMaxPeerMessageBytes
           ? std::string()
           : kNews + encodeDatagram(
                       { aNews.at_.value(), aNews.config_, std::move(plains) });
}

/** @return The news of a message, or nothing when it has none. */
std::optional<coordination::StoreNews>
decodeNews(const std::string& aContent)
{
  return decodeDatagram(aContent, [](const nlohmann::json& aMessage) {
    coordination::StoreNews news;
    news.at_ = state::Revision(aMessage.at(0).get<std::uint64_t>());
    news.config_ = aMessage.at(1).get<std::string>();
    for (const nlohmann::json& plain : aMessage.at(2)) {
      news.plains_[state::VmId(plain.at(0).get<std::string>())] =
        plain.at(1).get<std::string>();
    }
    return news;
  });
}

} // namespace

ConfigExchange::ConfigExchange(const state::Clock& aClock,
                               ByteLinks& aLinks,
                               coordination::StoreFollower& aFollower,
                               state::EventLog& aLog,
                               state::Endpoint aSelf,
                               std::uint64_t aSeed)
  : clock_(aClock)
  , links_(aLinks)
  , follower_(aFollower)
  , log_(aLog)
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
  askForNews();
  const bool due = follower_.hasOutage() && clock_.now() >= askAt_;
  if (!due || peers_.empty()) {
    return;
  }
  askAt_ = clock_.now() + kAskPeriod;
  links_.send(peers_[random_() % peers_.size()],
              kQuestion + std::to_string(version()));
}

void
ConfigExchange::askForNews()
{
  if (!follower_.lacksNews() || clock_.now() < askNewsAt_) {
    return;
  }
  askNewsAt_ = clock_.now() + kAskNewsPeriod;
  if (const auto teller = chooseTeller()) {
    noteMessage("news asked", *teller, 0);
    links_.send(*teller, kNewsQuestion + std::to_string(version()));
  }
}

void
ConfigExchange::noteMessage(std::string_view aEvent,
                            const state::Endpoint& aPeer,
                            std::size_t aBytes)
{
  const std::string peer = state::textOf(aPeer);
  log_.write(
    state::LogWeight::kRoutine,
    kPart,
    aEvent,
    { state::logField("peer", std::string_view(peer)),
      state::logField("bytes", aBytes),
      state::logField("version", version()),
      state::logField("announced", follower_.othersNewsAt().value()) });
}

void
ConfigExchange::noteCoordinator(const state::Endpoint& aPeer,
                                state::Revision aNewsAt,
                                bool aIsOwn)
{
  if (aPeer != self_) {
    tellers_[aPeer] = { aNewsAt, aIsOwn, clock_.now() };
  }
}

std::optional<state::Endpoint>
ConfigExchange::chooseTeller()
{
  const state::TimePoint now = clock_.now();
  std::erase_if(tellers_, [&](const auto& aEntry) {
    return now - aEntry.second.heardAt_ > kTellerSilence;
  });
  std::vector<state::Endpoint> able;
  for (const auto& [peer, teller] : tellers_) {
    // One that the store turns away announces nothing new.
    if (teller.newsAt_ < follower_.othersNewsAt()) {
      continue;
    }
    if (teller.isOwn_) {
      return peer;
    }
    able.push_back(peer);
  }
  return able.empty() ? std::nullopt
                      : std::optional(able[random_() % able.size()]);
}

std::uint64_t
ConfigExchange::version() const
{
  return follower_.config() ? follower_.config()->version_.value() : 0;
}

void
ConfigExchange::answerNews(const state::Endpoint& aFrom, std::uint64_t aKnown)
{
  const state::TimePoint now = clock_.now();
  std::erase_if(told_, [&](const auto& aEntry) {
    return now - aEntry.second.toldAt_ > kTellAgain;
  });
  // The answer may still be on its way; many copies of a large configuration
  // would fill the memory.
  const auto told = told_.find(aFrom);
  if (told != told_.end() && told->second.newsAt_ == follower_.newsAt()) {
    return;
  }
  const auto news = follower_.news(state::Generation(aKnown));
  std::string message = news ? encodeNews(*news) : std::string();
  if (!message.empty()) {
    told_[aFrom] = { follower_.newsAt(), now };
    noteMessage("news told", aFrom, message.size());
    links_.send(aFrom, std::move(message));
  }
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
  if (aMessage.front() == kNews) {
    noteMessage("news taken", aFrom, aMessage.size());
    if (const auto news = decodeNews(content)) {
      follower_.offerNews(*news);
    }
    return;
  }
  const std::uint64_t known = std::strtoull(content.c_str(), nullptr, 10);
  if (aMessage.front() == kNewsQuestion) {
    answerNews(aFrom, known);
    return;
  }
  const bool newer = version() > known;
  const bool fits = follower_.configText().size() < kMaxPeerMessageBytes;
  if (aMessage.front() == kQuestion && newer && fits) {
    links_.send(aFrom, kAnswer + follower_.configText());
  }
}

} // namespace auburnhaven::protocol
