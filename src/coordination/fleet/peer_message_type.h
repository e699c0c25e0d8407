// Messages between daemons.
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

/** Identifies one start of a daemon: a hash of its address and incarnation. */
using SessionId = state::NumberId<struct SessionTag>;

/** Timestamps from which the receiver bounds the transit time of a message. */
struct LinkStamp
{
  std::uint32_t sentMs_ = 0; ///< Sender's own clock, in milliseconds.
  std::optional<std::uint32_t>
    echoMs_; ///< Newest timestamp that the sender received from the receiver.
  std::uint32_t echoDelayMs_ =
    0; ///< Time since that timestamp arrived, in milliseconds.
  bool operator==(const LinkStamp&) const = default;
};

/** Load of one VM of an observed set. */
struct HeartbeatLoad
{
  std::uint32_t index_ = 0; ///< Index of the VM in the observed set.
  state::EngineLoad load_;  ///< Its load.
  bool operator==(const HeartbeatLoad&) const = default;
};

/** Heartbeat of a daemon, which also attests the VM states it has polled. */
struct Heartbeat
{
  SessionId session_;       ///< Daemon that sent it, and which start of it.
  std::uint64_t count_ = 0; ///< Grows with each heartbeat.
  state::Generation generation_; ///< Generation in force at that daemon.
  std::uint64_t evidence_ =
    0; ///< Digest of the observed set and the state of its VMs.
  std::vector<std::uint32_t>
    skipped_; ///< Indexes in the set that are not attested; ascending.
  std::vector<HeartbeatLoad> loads_; ///< Loads that changed.
  state::TimePoint
    observedAt_{}; ///< Local time, not later than the oldest attested report.
  bool operator==(const Heartbeat&) const = default;
};

/** A shared entry as sent between daemons. */
struct WireEntry
{
  SharedEntry entry_;    ///< The entry.
  bool foreign_ = false; ///< Whether another zone published it.
  bool repaired_ =
    false; ///< Whether it fills an empty bucket; it is not forwarded then.
  bool operator==(const WireEntry&) const = default;
};

/** Heartbeats and entries that the receiver may not have yet. */
struct GossipMessage
{
  std::vector<Heartbeat> beats_;   ///< Heartbeats.
  std::vector<WireEntry> entries_; ///< Entries.
  bool chosen_ = false; ///< Whether the sender chose this link; the receiver
                        ///< then adds an inbound link.
  bool operator==(const GossipMessage&) const = default;
};

/** Digests of all buckets of a table. */
struct DigestMessage
{
  std::vector<std::uint32_t> buckets_; ///< Digest of each bucket.
  bool operator==(const DigestMessage&) const = default;
};

/** Version of an entry in a table, without its payload. */
struct EntrySummary
{
  std::uint64_t key_ = 0;     ///< Hash of the key.
  EntryVersion version_;      ///< Version in the table.
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

/** Requests entries. */
struct EntryRequestMessage
{
  std::vector<std::uint64_t> keys_; ///< Hashes of the keys.
  bool operator==(const EntryRequestMessage&) const = default;
};

/** Announces the sender to a daemon, which replies with a WelcomeMessage. */
struct JoinMessage
{
  PeerAddress from_; ///< The sender.
  bool operator==(const JoinMessage&) const = default;
};

/** Reply to a JoinMessage with some members of the zone. */
struct WelcomeMessage
{
  std::vector<PeerAddress> members_; ///< The sender, followed by some others.
  bool operator==(const WelcomeMessage&) const = default;
};

/** State of a zone as sent to other zones. */
struct ZoneSummary
{
  state::ZoneId zone_;               ///< The zone.
  std::vector<PeerAddress> daemons_; ///< Live daemons, gateways first; bounded.
  std::uint32_t live_ = 0;           ///< Number of live daemons.
  state::Generation
    generation_; ///< Least generation in force at any live daemon.
  std::vector<state::DaemonId>
    behind_; ///< Daemons behind the greatest generation; bounded: empty
             ///< when there are more than a few.
  bool operator==(const ZoneSummary&) const = default;
};

/** Sends the state of the sender's zone to another zone. */
struct ZoneMessage
{
  ZoneSummary summary_;      ///< The sender's zone.
  bool wantsAnswer_ = false; ///< Whether the receiver must reply with its own.
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

/** A message between two daemons. Times in it are of the local clock; on the
 * wire they are sent as ages. */
struct PeerMessage
{
  state::ZoneId zone_; ///< Zone of the sender.
  LinkStamp stamp_;    ///< Timestamps of the link.
  PeerBody body_;      ///< Content.
  bool operator==(const PeerMessage&) const = default;
};

} // namespace auburnhaven::coordination
