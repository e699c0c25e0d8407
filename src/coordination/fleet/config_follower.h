// Brings the newest configuration into force on this daemon.
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
  2; ///< Daemons of a zone that watch the head in the store.

/** Configuration that a daemon has in force. */
struct DaemonProgress
{
  state::DaemonId id_;           ///< The daemon.
  state::ZoneId zone_;           ///< Its zone.
  state::Generation generation_; ///< Generation in force, as last heard.
  bool reachable_ = false;       ///< Whether it is heard of now.
  bool operator==(const DaemonProgress&) const = default;
};

/**
 * Follows the configuration. A few daemons of the zone watch the head in the
 * store and publish each changed document and a notice of the head; all others
 * take both from the shared table. A generation comes into force when the
 * documents held have the digest that its notice states; it never goes back.
 * Control thread only.
 */
class ConfigFollower
{
public:
  using ActivationHandler = std::function<void(
    const state::ConfigurationPtr&)>; ///< Takes a configuration in force.

  /**
   * All arguments must outlive this object.
   * @param aSettings Settings of this daemon.
   * @param aClock Source of time.
   * @param aMembership Daemons of the zone.
   * @param aTable Shared entries.
   * @param aStore The store.
   */
  ConfigFollower(const FleetSettings& aSettings,
                 const state::Clock& aClock,
                 const Membership& aMembership,
                 GossipTable& aTable,
                 Store& aStore);

  /** Watches when it is this daemon's turn; assembles. Call at each tick. */
  void tick();
  /** @param aHandler Called for each configuration that comes into force. */
  void onActivation(ActivationHandler aHandler);
  /** @return The configuration in force; generation 0 before the first one. */
  const state::ConfigurationPtr& inForce() const { return inForce_; }
  /** @return Greatest generation of which a notice has arrived. */
  state::Generation known() const { return notice_.generation_; }
  /** @return Heads read from the store that were older than a known one. */
  std::uint64_t staleHeads() const { return staleHeads_; }
  /** @return Faults of the newest generation that could not be decoded. */
  const std::vector<state::InputError>& faults() const { return faults_; }
  /**
   * @param aName Name of a document.
   * @param aDigest Its digest.
   * @return Its text when this daemon holds it.
   */
  std::optional<std::string> findDocumentText(const std::string& aName,
                                              const std::string& aDigest) const;
  /** @return Whether this daemon watches the store now. */
  bool watches() const;

private:
  void readHead();
  void watchHead();
  void takeReply(const StoreReply& aReply);
  void takeHead(const ConfigHead& aHead);
  void publish(const ConfigHead& aHead, const state::DocumentTexts& aTexts);
  void takeNotice(const SharedEntry& aEntry);
  void takeDocument(const SharedEntry& aEntry);
  void assemble();
  void force();
  void delay();

  const FleetSettings& settings_;           ///< Settings of this daemon.
  const state::Clock& clock_;               ///< Source of time.
  const Membership& membership_;            ///< Daemons of the zone.
  GossipTable& table_;                      ///< Shared entries.
  Store& store_;                            ///< The store.
  ConfigLoader loader_;                     ///< Reads documents.
  state::ConfigurationPtr inForce_;         ///< Configuration in force.
  state::Configuration next_;               ///< Documents held, decoded.
  std::map<std::string, DocumentRef> held_; ///< Documents held by name.
  std::set<std::string> changed_; ///< Documents not yet decoded into next_.
  HeadNotice notice_;             ///< Newest notice.
  bool dirty_ = false;            ///< Whether assemble() may succeed.
  bool waiting_ = false;          ///< Whether the store owes an answer.
  bool read_ = false;             ///< Whether the head has been read.
  state::Revision revision_;      ///< Revision of the head last taken.
  state::TimePoint askAt_{};      ///< When to call the store again.
  std::uint64_t staleHeads_ = 0;  ///< Heads older than a known one.
  std::vector<state::InputError> faults_; ///< Why a generation is not in force.
  std::vector<ActivationHandler> handlers_; ///< Take configurations in force.
};

} // namespace auburnhaven::coordination
