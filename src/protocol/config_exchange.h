// Gives news of the store to daemons that do not read them there.
#pragma once

#include "coordination/routing/store_follower.h"
#include "protocol/byte_links_port.h"
#include "protocol/news_codec.h"
#include "state/rate_limiter.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** Settings of the exchange. */
struct ConfigExchangeSettings
{
  state::Endpoint self_;   ///< Where this daemon listens for peers.
  std::uint64_t seed_ = 0; ///< Seed of the random numbers.
  double linkBytesPerSecond_ =
    25e6; ///< What the link of this VM carries; a part of it is used to tell.
  bool operator==(const ConfigExchangeSettings&) const = default;
};

/**
 * Asks the coordinator of the zone for news that it has announced, so that the
 * store need not tell each daemon all changes of all engines, and any daemon
 * while the store is silent. Has one question under way at a time. Answers such
 * questions with what has changed since the asker's version; when that would
 * fill the own link, names another daemon that has been told. Control thread
 * only.
 */
class ConfigExchange
{
public:
  /**
   * @param aClock Clock; outlives this object.
   * @param aLinks Links to other daemons; outlive this object.
   * @param aFollower Has the configuration; outlives this object.
   * @param aLog Log; outlives this object.
   * @param aSettings Settings.
   */
  ConfigExchange(const state::Clock& aClock,
                 ByteLinks& aLinks,
                 coordination::StoreFollower& aFollower,
                 state::EventLog& aLog,
                 ConfigExchangeSettings aSettings);
  ConfigExchange(const ConfigExchange&) = delete;
  ConfigExchange& operator=(const ConfigExchange&) = delete;

  /** @param aPeers Daemons that may be asked. */
  void setPeers(std::vector<state::Endpoint> aPeers);
  /**
   * Notes a coordinator, who may be asked for news.
   * @param aPeer Where it listens for peers.
   * @param aNewsAt Newest news that it announced.
   * @param aIsOwn Whether it coordinates the own zone; such a one is preferred.
   */
  void noteCoordinator(const state::Endpoint& aPeer,
                       state::Revision aNewsAt,
                       bool aIsOwn);
  /** Asks a peer when that is due. Call each 50 ms or so. */
  void tick();

private:
  void receive(const state::Endpoint& aFrom, const std::string& aMessage);
  /** A coordinator that may be asked for news. */
  struct Teller
  {
    state::Revision sharedRevision_; ///< Newest news that it announced.
    bool isOwn_ = false;             ///< Whether it coordinates the own zone.
    state::TimePoint heardAt_{};     ///< When it was last heard.
  };

  /** News that a peer was told. */
  struct Told
  {
    state::Revision
      sharedRevision_;          ///< Revision of the newest change among them.
    state::TimePoint toldAt_{}; ///< When.
  };

  void ask(const state::Endpoint& aPeer);
  std::optional<state::Endpoint> choosePeer();
  void takeNews(const NewsAnswer& aAnswer);
  std::optional<std::string> follow(const NewsAnswer& aAnswer);
  void noteMessage(std::string_view aEvent,
                   const state::Endpoint& aPeer,
                   std::size_t aBytes);
  void answer(const state::Endpoint& aFrom, const NewsQuestion& aQuestion);
  void refer(const state::Endpoint& aFrom);
  void takeReferral(const state::Endpoint& aFrom,
                    const NewsReferral& aReferral);
  std::optional<state::Endpoint> chooseTeller();
  state::Generation version() const;

  const state::Clock& clock_;                 ///< Clock.
  ByteLinks& links_;                          ///< Links to other daemons.
  coordination::StoreFollower& follower_;     ///< Has the configuration.
  state::EventLog& log_;                      ///< Log.
  ConfigExchangeSettings settings_;           ///< Settings.
  std::mt19937_64 random_;                    ///< Choice of peers.
  std::vector<state::Endpoint> peers_;        ///< Daemons that may be asked.
  state::TimePoint askAt_{};                  ///< When to ask next.
  std::map<state::Endpoint, Teller> tellers_; ///< Coordinators heard of late.
  std::optional<state::Endpoint> asked_;  ///< Who was asked and is to answer.
  state::TimePoint askedAt_{};            ///< When.
  std::optional<state::Endpoint> silent_; ///< Who did not answer, of late.
  bool isReferred_ = false; ///< Whether another daemon named who was asked.
  bool wantsWhole_ = false; ///< Whether the last patches did not fit.
  std::map<state::Endpoint, Told> told_; ///< News told of late, by peer.
  ConfigPatches patches_;                ///< What changed of late.
  state::RateLimiter tellLimit_;         ///< Bytes of large answers.
};

} // namespace auburnhaven::protocol
