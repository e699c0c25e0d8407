// Follows the configuration and activates its newest generation on this daemon.
#pragma once

#include "coordination/fleet/config_loader.h"
#include "coordination/fleet/gossip_table.h"
#include "coordination/fleet/membership.h"
#include "state/error_type.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace auburnhaven::coordination {

inline constexpr std::size_t kConfigWatchers =
  2; ///< Daemons of each zone that watch the head in the store.

/** Generation of the configuration that a daemon has in force. */
struct DaemonProgress
{
  state::DaemonId id_;           ///< The daemon.
  state::ZoneId zone_;           ///< Its zone.
  state::Generation generation_; ///< Generation in force, as last reported.
  bool reachable_ = false;       ///< Whether the daemon is reachable now.
  bool operator==(const DaemonProgress&) const = default;
};

/**
 * Follows the configuration. A few daemons of each zone watch the head in the
 * store and publish the changed documents and a notice of the head; all other
 * daemons receive both through the shared table. A generation comes into
 * force when the digest of the documents held matches the digest in its
 * notice. The generation in force never decreases. Control thread only.
 */
class ConfigFollower
{
public:
  using ActivationHandler = std::function<void(
    const state::ConfigurationPtr&)>; ///< Receives a configuration that has
                                      ///< come into force.

  /**
   * All arguments must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   * @param aMembership Membership of the zone.
   * @param aTable Shared table.
   * @param aStore Store that holds the configuration.
   */
  ConfigFollower(const FleetSettings& aSettings,
                 const state::Clock& aClock,
                 const Membership& aMembership,
                 GossipTable& aTable,
                 Store& aStore);

  /**
   * Reads or watches the head when this daemon is one of the watchers, and
   * decodes a generation once all its documents have arrived. Call at each
   * tick.
   */
  void tick();
  /** @param aHandler Called for each configuration that comes into force,
   * after those added before it. */
  void onActivation(ActivationHandler aHandler);
  /** @return The configuration in force; generation 0 before the first one.
   */
  const state::ConfigurationPtr& inForce() const { return inForce_; }
  /** @return Newest generation of which a notice has arrived. */
  state::Generation known() const { return notice_.generation_; }
  /** @return Number of heads read from the store that were older than the
   * newest notice. */
  std::uint64_t staleHeads() const { return staleHeads_; }
  /** @return Faults of the newest generation that could not be decoded; empty
   * when it could. */
  const std::vector<state::InputError>& faults() const { return faults_; }
  /**
   * Finds the text of a document in the shared table.
   * @param aName Name of the document.
   * @param aDigest SHA-256 that the text must have.
   * @return The text, or nothing when this daemon holds no such version.
   */
  std::optional<std::string> findDocumentText(const std::string& aName,
                                              const std::string& aDigest) const;
  /** @return Whether this daemon is one of the watchers of its zone. */
  bool watches() const;

private:
  void readHead();
  void watchHead();
  void handleReply(const StoreReply& aReply);
  void loadDocuments(const ConfigHead& aHead);
  void publish(const ConfigHead& aHead, const state::DocumentTexts& aTexts);
  void handleNotice(const SharedEntry& aEntry);
  void handleDocument(const SharedEntry& aEntry);
  void decodeNewest();
  void activate();
  void scheduleRetry();

  const FleetSettings& settings_;   ///< Settings of this daemon.
  const state::Clock& clock_;       ///< Source of time.
  const Membership& membership_;    ///< Membership of the zone.
  GossipTable& table_;              ///< Shared table.
  Store& store_;                    ///< Store that holds the configuration.
  ConfigLoader loader_;             ///< Loads documents of a head.
  state::ConfigurationPtr inForce_; ///< Configuration in force.
  state::Configuration decoded_;    ///< Configuration being decoded.
  std::map<std::string, DocumentRef> documents_; ///< Documents held, by name.
  std::set<std::string>
    undecoded_;       ///< Names of documents not yet decoded into decoded_.
  HeadNotice notice_; ///< Newest notice received.
  bool decodePending_ = false; ///< Whether decodeNewest() may succeed.
  bool replyPending_ = false;  ///< Whether a reply of the store is awaited.
  bool headRead_ =
    false; ///< Whether the head has been read, so that a watch may start.
  state::Revision revision_;      ///< Revision of the head last read.
  state::TimePoint nextCallAt_{}; ///< When to call the store again.
  std::uint64_t staleHeads_ = 0;  ///< Heads read that were older than notice_.
  std::vector<state::InputError>
    faults_; ///< Faults that keep the newest generation out of force.
  std::vector<ActivationHandler> handlers_; ///< Called on each activation.
};

} // namespace auburnhaven::coordination
