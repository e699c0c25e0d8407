// Messages that daemons exchange.
#pragma once

#include "coordination/peer_port.h"
#include "coordination/shared_table_port.h"
#include "state/id_type.h"
#include "state/time_type.h"
#include "state/vm_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnhaven::coordination {

/** Names one start of one daemon: a hash of its address and incarnation. */
using SessionId = state::NumberId<struct SessionTag>;

/** Stamp by which the receiver bounds how long a message was under way. */
struct LinkStamp
{
  std::uint32_t sentMs_ = 0; ///< Sender's own clock, in milliseconds.
  std::optional<std::uint32_t>
    echoMs_; ///< Newest stamp that the sender had from the receiver.
  std::uint32_t echoDelayMs_ = 0; ///< Time since that stamp arrived.
  bool operator==(const LinkStamp&) const = default;
};

/** Load of one VM of an observed set. */
struct HeartbeatLoad
{
  std::uint32_t index_ = 0; ///< Place of the VM in the observed set.
  state::EngineLoad load_;  ///< Its load.
  bool operator==(const HeartbeatLoad&) const = default;
};

/** Heartbeat of a daemon with what it attests. */
struct Heartbeat
{
  SessionId session_;                  ///< Who beats.
  std::uint64_t count_ = 0;            ///< Grows with each heartbeat.
  state::Generation generation_;       ///< Configuration in force there.
  std::uint64_t evidence_ = 0;         ///< Digest of the observed set.
  std::vector<std::uint32_t> skipped_; ///< Places of the set not attested.
  std::vector<HeartbeatLoad> loads_;   ///< Loads that changed.
  state::TimePoint
    observedAt_{}; ///< Local time, not later than the oldest attested report.
  bool operator==(const Heartbeat&) const = default;
};

/** A shared entry under way. */
struct WireEntry
{
  SharedEntry entry_;     ///< The entry.
  bool foreign_ = false;  ///< Whether it has come from another zone.
  bool repaired_ = false; ///< Whether it fills an empty table.
  bool operator==(const WireEntry&) const = default;
};

/** Heartbeats and entries that the receiver may not have yet. */
struct GossipMessage
{
  std::vector<Heartbeat> beats_;   ///< Heartbeats.
  std::vector<WireEntry> entries_; ///< Entries.
  bool chosen_ = false;            ///< Whether the sender has chosen this link.
  bool operator==(const GossipMessage&) const = default;
};

/** Digests of all buckets of a table. */
struct DigestMessage
{
  std::vector<std::uint32_t> buckets_; ///< Digest of each bucket.
  bool operator==(const DigestMessage&) const = default;
};

/** What a table holds of one entry. */
struct EntrySummary
{
  std::uint64_t key_ = 0;     ///< Hash of the key.
  EntryVersion version_;      ///< Version held.
  std::uint32_t payload_ = 0; ///< Hash of the payload.
  bool operator==(const EntrySummary&) const = default;
};

/** Summaries of the buckets whose digests differed. */
struct BucketMessage
{
  std::vector<std::uint32_t> buckets_;  ///< Numbers of the buckets.
  std::vector<EntrySummary> summaries_; ///< All entries of those buckets.
  bool operator==(const BucketMessage&) const = default;
};

/** Asks for entries. */
struct EntryRequestMessage
{
  std::vector<std::uint64_t> keys_; ///< Hashes of the keys.
  bool operator==(const EntryRequestMessage&) const = default;
};

/** Introduces the sender; the answer is a WelcomeMessage. */
struct JoinMessage
{
  PeerAddress from_; ///< The sender.
  bool operator==(const JoinMessage&) const = default;
};

/** Introduces some members of the zone to a daemon. */
struct WelcomeMessage
{
  std::vector<PeerAddress> members_; ///< The sender, then some others.
  bool operator==(const WelcomeMessage&) const = default;
};

/** State of a zone as told to another one. */
struct ZoneSummary
{
  state::ZoneId zone_;               ///< The zone.
  std::vector<PeerAddress> daemons_; ///< Live daemons, gateways first; bounded.
  std::uint32_t live_ = 0;           ///< Number of live daemons.
  state::Generation generation_;     ///< Least generation in force.
  std::vector<state::DaemonId>
    behind_; ///< Daemons that have only that generation; bounded.
  bool operator==(const ZoneSummary&) const = default;
};

/** Tells another zone how the sender's zone is. */
struct ZoneMessage
{
  ZoneSummary summary_;      ///< The sender's zone.
  bool wantsAnswer_ = false; ///< Whether the receiver shall answer.
  bool operator==(const ZoneMessage&) const = default;
};

/** Content of a message. */
using PeerBody = std::variant<GossipMessage,
                              DigestMessage,
                              BucketMessage,
                              EntryRequestMessage,
                              JoinMessage,
                              WelcomeMessage,
                              ZoneMessage>;

/** A message between two daemons. Times in it are local to their holder and
 * travel as ages. */
struct PeerMessage
{
  state::ZoneId zone_; ///< Zone of the sender.
  LinkStamp stamp_;    ///< Times of the link.
  PeerBody body_;      ///< Content.
  bool operator==(const PeerMessage&) const = default;
};

} // namespace auburnhaven::coordination
