// Gives news of the store to daemons that do not read them there.

#include "protocol/config_exchange.h"

#include "protocol/text_patch.h"
#include "state/endpoint_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::protocol {

namespace {

constexpr std::string_view kPart = "news"; ///< Part of the program in logs.
constexpr std::chrono::milliseconds kAskPeriod{
  400
}; ///< Between questions to any daemon.
constexpr std::chrono::milliseconds kAskNewsPeriod{
  200
}; ///< Between questions for news that were announced.
constexpr std::chrono::milliseconds kAnswerPatience{
  500
}; ///< Wait for an answer before another daemon is asked.
constexpr std::chrono::milliseconds kTellerSilence{
  1000
}; ///< Silence after which a coordinator is not asked for news.
constexpr std::chrono::milliseconds kTellAgain{
  1000
}; ///< Pause before a peer is told the same news again.
constexpr double kTellShare =
  0.25; ///< Part of the link that large answers may fill.
constexpr double kTellBurstSeconds =
  0.2; ///< Time for which they may fill it at once.
constexpr std::size_t kSmallAnswer =
  std::size_t{ 4 } * 1024; ///< Answers up to this size are always given.
constexpr std::chrono::milliseconds kToldFor{
  150
}; ///< After which who was told can tell others.
constexpr std::size_t kMaxConfigBytes =
  std::size_t{ 4 } * 1024 * 1024; ///< Largest configuration that is taken.

} // namespace

ConfigExchange::ConfigExchange(const state::Clock& aClock,
                               ByteLinks& aLinks,
                               coordination::StoreFollower& aFollower,
                               state::EventLog& aLog,
                               ConfigExchangeSettings aSettings)
  : clock_(aClock)
  , links_(aLinks)
  , follower_(aFollower)
  , log_(aLog)
  , settings_(std::move(aSettings))
  , random_(settings_.seed_)
  , tellLimit_(aClock,
               settings_.linkBytesPerSecond_ * kTellShare,
               settings_.linkBytesPerSecond_ * kTellShare * kTellBurstSeconds)
{
  links_.onMessage(
    [this](const state::Endpoint& aFrom, const std::string& aMessage) {
      receive(aFrom, aMessage);
    });
  follower_.onReplaced([this](state::Generation aFrom,
                              const std::string& aOld,
                              state::Generation aTo,
                              const std::string& aNew) {
    patches_.replaced(aFrom, aOld, aTo, aNew);
  });
}

void
ConfigExchange::setPeers(std::vector<state::Endpoint> aPeers)
{
  std::erase(aPeers, settings_.self_);
  std::sort(aPeers.begin(), aPeers.end());
  aPeers.erase(std::unique(aPeers.begin(), aPeers.end()), aPeers.end());
  peers_ = std::move(aPeers);
}

void
ConfigExchange::tick()
{
  const state::TimePoint now = clock_.now();
  if (asked_ && now - askedAt_ < kAnswerPatience) {
    return;
  }
  if (asked_) {
    silent_ = std::exchange(asked_, std::nullopt);
  }
  if (now < askAt_) {
    return;
  }
  if (const auto peer = choosePeer()) {
    isReferred_ = false;
    ask(*peer);
  }
}

std::optional<state::Endpoint>
ConfigExchange::choosePeer()
{
  if (follower_.isBehind()) {
    if (auto teller = chooseTeller()) {
      askAt_ = clock_.now() + kAskNewsPeriod;
      return teller;
    }
  }
  if (!follower_.hasOutage() || peers_.empty()) {
    return std::nullopt;
  }
  askAt_ = clock_.now() + kAskPeriod;
  return peers_[random_() % peers_.size()];
}

void
ConfigExchange::ask(const state::Endpoint& aPeer)
{
  asked_ = aPeer;
  askedAt_ = clock_.now();
  noteMessage("news asked", aPeer, 0);
  const state::Generation known = wantsWhole_ ? state::Generation() : version();
  links_.send(aPeer, encodeNewsQuestion({ known, follower_.knownRevision() }));
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
      state::logField("version", version().value()),
      state::logField("announced", follower_.announcedRevision().value()) });
}

void
ConfigExchange::noteCoordinator(const state::Endpoint& aPeer,
                                state::Revision aNewsAt,
                                bool aIsOwn)
{
  if (aPeer != settings_.self_) {
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
    if (teller.sharedRevision_ < follower_.announcedRevision()) {
      continue;
    }
    if (teller.isOwn_ && peer != silent_) {
      return peer;
    }
    able.push_back(peer);
  }
  return able.empty() ? std::nullopt
                      : std::optional(able[random_() % able.size()]);
}

state::Generation
ConfigExchange::version() const
{
  return follower_.config() ? follower_.config()->version_
                            : state::Generation();
}

void
ConfigExchange::receive(const state::Endpoint& aFrom,
                        const std::string& aMessage)
{
  if (const auto question = decodeNewsQuestion(aMessage)) {
    answer(aFrom, *question);
  } else if (const auto referral = decodeNewsReferral(aMessage)) {
    takeReferral(aFrom, *referral);
  } else if (const auto snapshot = decodeNewsAnswer(aMessage)) {
    noteMessage("news taken", aFrom, aMessage.size());
    asked_.reset();
    silent_.reset();
    takeNews(*snapshot);
  }
}

void
ConfigExchange::answer(const state::Endpoint& aFrom,
                       const NewsQuestion& aQuestion)
{
  const state::TimePoint now = clock_.now();
  std::erase_if(told_, [&](const auto& aEntry) {
    return now - aEntry.second.toldAt_ > kTellAgain;
  });
  // The answer may still be on its way; many copies of a large configuration
  // would fill the memory.
  const auto told = told_.find(aFrom);
  if (told != told_.end() &&
      told->second.sharedRevision_ == follower_.sharedRevision()) {
    return;
  }
  const auto snapshot = follower_.snapshot();
  const bool hasNewer = version() > aQuestion.version_;
  const state::Revision askerAt = follower_.inKnownEra(aQuestion.at_);
  if (!hasNewer && !(snapshot && snapshot->at_ > askerAt)) {
    links_.send(aFrom, encodeNewsReferral({}));
    return;
  }
  NewsAnswer answer;
  answer.version_ = version();
  if (hasNewer) {
    answer.way_ =
      patches_.wayFrom(aQuestion.version_, version(), follower_.configText());
  }
  if (snapshot) {
    answer.at_ = snapshot->at_;
    answer.plainInstances_ = snapshot->plainInstances_;
  }
  std::string message = encodeNewsAnswer(answer);
  if (message.size() > kSmallAnswer &&
      !tellLimit_.takeMany(static_cast<double>(message.size()))) {
    refer(aFrom);
    return;
  }
  told_[aFrom] = { follower_.sharedRevision(), now };
  noteMessage("news told", aFrom, message.size());
  links_.send(aFrom, std::move(message));
}

void
ConfigExchange::refer(const state::Endpoint& aFrom)
{
  std::vector<state::Endpoint> able;
  for (const auto& [peer, told] : told_) {
    const bool hasNews = told.sharedRevision_ == follower_.sharedRevision() &&
                         clock_.now() - told.toldAt_ >= kToldFor;
    if (hasNews) {
      able.push_back(peer);
    }
  }
  NewsReferral referral;
  if (!able.empty()) {
    referral.peer_ = able[random_() % able.size()];
  }
  links_.send(aFrom, encodeNewsReferral(referral));
}

void
ConfigExchange::takeReferral(const state::Endpoint& aFrom,
                             const NewsReferral& aReferral)
{
  if (asked_ != aFrom) {
    return;
  }
  asked_.reset();
  silent_ = aFrom;
  // One that was named by another and names a third is not worth the chase.
  const bool follows = aReferral.peer_.port_ != 0 && !isReferred_;
  if (follows) {
    ask(aReferral.peer_);
  }
  isReferred_ = follows;
}

std::optional<std::string>
ConfigExchange::follow(const NewsAnswer& aAnswer)
{
  const bool fromNothing = aAnswer.way_.from_ == state::Generation();
  std::optional<std::string> text =
    fromNothing ? std::string() : follower_.configText();
  for (const std::string& patch : aAnswer.way_.patches_) {
    if (text) {
      text = applyPatch(*text, patch, kMaxConfigBytes);
    }
  }
  return text;
}

void
ConfigExchange::takeNews(const NewsAnswer& aAnswer)
{
  std::string text;
  if (aAnswer.version_ > version()) {
    const bool fits = aAnswer.way_.from_ == state::Generation() ||
                      aAnswer.way_.from_ == version();
    if (!fits) {
      // The own version has changed since the question.
      return;
    }
    const std::optional<std::string> newer = follow(aAnswer);
    wantsWhole_ = !newer || newer->empty();
    if (wantsWhole_) {
      log_.write(state::LogWeight::kChange,
                 kPart,
                 "patches do not fit",
                 { state::logField("from", aAnswer.way_.from_.value()),
                   state::logField("to", aAnswer.version_.value()) });
      return;
    }
    text = *newer;
  }
  if (aAnswer.at_ != state::Revision()) {
    follower_.offerSnapshot(
      { follower_.inKnownEra(aAnswer.at_), text, aAnswer.plainInstances_ });
  } else if (!text.empty()) {
    follower_.offerConfig(text);
  }
}

} // namespace auburnhaven::protocol
