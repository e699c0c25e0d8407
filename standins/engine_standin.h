// Stand-in for the model engine of one VM.
#pragma once

#include "engine_presence.h"
#include "fault_controls.h"
#include "prefix_cache.h"
#include "state/vm_type.h"
#include "weight_store.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** How the engines of a run behave. */
struct EngineOptions
{
  std::uint32_t slots_ = 64;                     ///< Requests that run at once.
  std::chrono::microseconds token_{ 5000 };      ///< Time of one token.
  std::chrono::milliseconds load_{ 1000 };       ///< Time to load a model.
  std::uint32_t cacheBlocks_ = 4096;             ///< Prefix blocks kept.
  std::chrono::microseconds prefillBlock_{ 20 }; ///< Time of an uncached block.
};

/** A request from the wire. */
struct GenerateRequest
{
  std::string request_;          ///< Identifier of the request.
  std::string prompt_;           ///< The prompt.
  std::uint32_t maxTokens_ = 16; ///< Length of the answer.
  std::int32_t priority_ = 0;    ///< Greater goes first.
  std::uint32_t resumeFrom_ = 0; ///< First token to send.
  std::string group_;            ///< Group of the copy that is asked.
  std::uint32_t index_ = 0;      ///< Index of the copy that is asked.
  std::uint64_t fencing_ = 0;    ///< Fencing number of the caller.
};

/** One model engine. Lives on one thread but for its presence. */
class EngineStandin
{
public:
  /**
   * @param aVm The VM.
   * @param aOptions How it behaves.
   * @param aBoard Presence of all engines; must outlive this.
   * @param aWeights Where models come from; must outlive this.
   * @param aContext Event loop of its thread.
   */
  EngineStandin(state::VmInfo aVm,
                const EngineOptions& aOptions,
                PresenceBoard& aBoard,
                WeightStore& aWeights,
                asio::io_context& aContext);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);

private:
  void handleControl(Exchange& aExchange); ///< Shows or sets faults.
  void restart();                          ///< Comes back after its death.
  void publish();                          ///< Tells other engines the state.
  void report(Exchange& aExchange);        ///< Tells role, phase and load.
  void order(Exchange& aExchange);         ///< Takes a role.
  void generate(Exchange& aExchange);      ///< Generates an answer.
  void cancel(Exchange& aExchange);        ///< Ends a request early.
  void cacheEvents(Exchange& aExchange);   ///< Tells changes of the cache.

  void takeRole(const state::EngineRole& aRole); ///< Takes or drops a role.
  void finishLoad(std::uint64_t aEpoch);         ///< Ends a load.
  bool serves(const GenerateRequest& aRequest) const; ///< Whether it may run.
  bool membersPresent() const; ///< Whether the whole copy is there.
  bool takeSlot(Exchange& aExchange,
                const GenerateRequest& aRequest); ///< Waits for a slot.
  void freeSlot();                                ///< Hands the slot on.
  void stream(Exchange& aExchange,
              const GenerateRequest& aRequest); ///< Sends the tokens.
  bool mayGoOn(Exchange& aExchange,
               const GenerateRequest& aRequest,
               std::uint64_t aEpoch);          ///< Whether a stream may go on.
  std::chrono::microseconds tokenTime() const; ///< Time of one token now.
  void refreshLoad(); ///< Takes the load that reports show, with a lag.

  state::VmInfo vm_;          ///< The VM.
  EngineOptions options_;     ///< How it behaves.
  PresenceBoard& board_;      ///< Presence of all engines.
  EnginePresence& presence_;  ///< Presence of this one.
  WeightStore& weights_;      ///< Where models come from.
  asio::io_context& context_; ///< Event loop of its thread.
  FaultControls faults_;      ///< Faults of this engine.
  PrefixCache cache_;         ///< Cached prefixes.

  std::uint64_t incarnation_ = 1;    ///< Start of the process.
  std::uint64_t count_ = 0;          ///< Reports made.
  std::uint64_t epoch_ = 1;          ///< Grows with each change of the role.
  std::uint64_t highestFencing_ = 0; ///< Highest fencing number seen.
  state::EngineRole role_;           ///< Role it holds.
  state::EnginePhase phase_ = state::EnginePhase::kIdle; ///< Progress.
  std::vector<std::uint16_t> members_; ///< Ports of the copy's members.

  std::uint32_t running_ = 0; ///< Requests being generated.
  std::multimap<std::int32_t, std::shared_ptr<asio::steady_timer>>
    waiting_;                         ///< Requests that wait for a slot.
  std::set<std::string> cancelled_;   ///< Requests to end early.
  std::multiset<std::string> active_; ///< Requests in hand.
  std::uint64_t tokens_ = 0;          ///< Tokens generated.
  std::uint64_t requests_ = 0;        ///< Requests that ran.
  std::uint64_t cut_ = 0;             ///< Streams that were cut.
  state::EngineLoad load_;            ///< Load that reports show.
  std::uint64_t tokensAtRefresh_ = 0; ///< Tokens at the last refresh.
  std::chrono::steady_clock::time_point
    refreshedAt_; ///< When the load was refreshed.
};

} // namespace auburnhaven::standins
