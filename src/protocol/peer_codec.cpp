// Encoding of the messages between daemons by protobuf.

#include "protocol/peer_codec.h"

#include "coordination/fleet/entry_kind_table.h"
#include "peer.pb.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburnhaven::protocol {

namespace {

using namespace coordination;

constexpr int kLoadColumns = 5; ///< Numbers of each load.

/** @return Age in milliseconds, rounded up. */
std::uint64_t
ageMs(state::TimePoint aThen, state::TimePoint aNow)
{
  const state::Duration age = std::max(aNow - aThen, state::Duration::zero());
  return static_cast<std::uint64_t>(
    std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

/** @return Local time of something of an age. */
state::TimePoint
timeOf(std::uint64_t aAgeMs, state::TimePoint aNow)
{
  constexpr std::uint64_t kMaxAgeMs =
    1000ULL * 86400 * 365; ///< Greater ages are cut to this.
  const auto age = static_cast<std::int64_t>(std::min(aAgeMs, kMaxAgeMs));
  return aNow - std::chrono::milliseconds(age);
}

void
writeLoads(const Heartbeat& aBeat, std::uint32_t aIndex, wire::Beats& aOut)
{
  if (aBeat.skipped_.empty() && aBeat.loads_.empty()) {
    return;
  }
  wire::BeatLoads& out = *aOut.add_loads();
  out.set_beat(aIndex);
  out.mutable_skipped()->Add(aBeat.skipped_.begin(), aBeat.skipped_.end());
  for (const HeartbeatLoad& load : aBeat.loads_) {
    out.add_loads(load.index_);
    out.add_loads(load.load_.running_);
    out.add_loads(load.load_.queued_);
    out.add_loads(load.load_.slots_);
    out.add_loads(load.load_.tokensPerSecond_);
  }
}

void
writeBeats(const std::vector<Heartbeat>& aBeats,
           state::TimePoint aNow,
           wire::Beats& aOut)
{
  std::uint64_t greatest = 0;
  for (const Heartbeat& beat : aBeats) {
    greatest = std::max(greatest, beat.generation_.value());
  }
  aOut.set_generation(greatest);
  std::uint32_t index = 0;
  for (const Heartbeat& beat : aBeats) {
    aOut.add_sessions(beat.session_.value());
    aOut.add_counts(beat.count_);
    aOut.add_ages(static_cast<std::uint32_t>(
      std::min<std::uint64_t>(ageMs(beat.observedAt_, aNow), UINT32_MAX)));
    aOut.add_generations(greatest - beat.generation_.value());
    aOut.add_evidence(beat.evidence_);
    writeLoads(beat, index++, aOut);
  }
}

void
writeEntry(const WireEntry& aEntry, state::TimePoint aNow, wire::Entry& aOut)
{
  const SharedEntry& entry = aEntry.entry_;
  aOut.set_kind(static_cast<std::uint32_t>(entry.key_.kind_));
  aOut.set_name(entry.key_.name_);
  aOut.set_major(entry.version_.major_);
  aOut.set_minor(entry.version_.minor_);
  aOut.set_payload(entry.payload_);
  aOut.set_age(ageMs(entry.observedAt_, aNow));
  aOut.set_foreign(aEntry.foreign_);
  aOut.set_repaired(aEntry.repaired_);
}

void
writeAddress(const PeerAddress& aAddress, wire::Address& aOut)
{
  aOut.set_id(aAddress.id_.value());
  aOut.set_zone(aAddress.zone_.value());
  aOut.set_address(aAddress.endpoint_.address_);
  aOut.set_port(aAddress.endpoint_.port_);
  aOut.set_incarnation(aAddress.incarnation_.value());
}

/** Writes each kind of content into its field. */
struct BodyWriter
{
  wire::Peer& out_;      ///< Message to write.
  state::TimePoint now_; ///< Present local time.

  void operator()(const GossipMessage& aBody) const
  {
    wire::Gossip& gossip = *out_.mutable_gossip();
    if (!aBody.beats_.empty()) {
      writeBeats(aBody.beats_, now_, *gossip.mutable_beats());
    }
    gossip.set_chosen(aBody.chosen_);
    for (const WireEntry& entry : aBody.entries_) {
      writeEntry(entry, now_, *gossip.add_entries());
    }
  }
  void operator()(const DigestMessage& aBody) const
  {
    out_.mutable_digest()->mutable_buckets()->Add(aBody.buckets_.begin(),
                                                  aBody.buckets_.end());
  }
  void operator()(const BucketMessage& aBody) const
  {
    wire::Buckets& out = *out_.mutable_buckets();
    out.mutable_buckets()->Add(aBody.buckets_.begin(), aBody.buckets_.end());
    for (const EntrySummary& summary : aBody.summaries_) {
      out.add_keys(summary.key_);
      out.add_majors(summary.version_.major_);
      out.add_minors(summary.version_.minor_);
      out.add_payloads(summary.payload_);
    }
  }
  void operator()(const EntryRequestMessage& aBody) const
  {
    out_.mutable_want()->mutable_keys()->Add(aBody.keys_.begin(),
                                             aBody.keys_.end());
  }
  void operator()(const JoinMessage& aBody) const
  {
    writeAddress(aBody.from_, *out_.mutable_join());
  }
  void operator()(const WelcomeMessage& aBody) const
  {
    wire::Welcome& out = *out_.mutable_welcome();
    for (const PeerAddress& address : aBody.members_) {
      writeAddress(address, *out.add_members());
    }
  }
  void operator()(const ZoneMessage& aBody) const
  {
    wire::Zone& out = *out_.mutable_zone_message();
    out.set_zone(aBody.summary_.zone_.value());
    for (const PeerAddress& address : aBody.summary_.daemons_) {
      writeAddress(address, *out.add_daemons());
    }
    out.set_live(aBody.summary_.live_);
    out.set_generation(aBody.summary_.generation_.value());
    for (const state::DaemonId& id : aBody.summary_.behind_) {
      out.add_behind(id.value());
    }
    out.set_wants_answer(aBody.wantsAnswer_);
  }
};

/** @return Whether the columns of the loads agree with the heartbeats. */
bool
readLoads(const wire::Beats& aIn, std::vector<Heartbeat>& aBeats)
{
  for (const wire::BeatLoads& in : aIn.loads()) {
    if (in.beat() >= aBeats.size() || in.loads_size() % kLoadColumns != 0) {
      return false;
    }
    Heartbeat& beat = aBeats[in.beat()];
    beat.skipped_.assign(in.skipped().begin(), in.skipped().end());
    for (int at = 0; at < in.loads_size(); at += kLoadColumns) {
      beat.loads_.push_back({ in.loads(at),
                              { in.loads(at + 1),
                                in.loads(at + 2),
                                in.loads(at + 3),
                                in.loads(at + 4) } });
    }
  }
  return true;
}

std::optional<std::vector<Heartbeat>>
readBeats(const wire::Beats& aIn, state::TimePoint aNow)
{
  const int size = aIn.sessions_size();
  if (aIn.counts_size() != size || aIn.ages_size() != size ||
      aIn.generations_size() != size || aIn.evidence_size() != size) {
    return std::nullopt;
  }
  std::vector<Heartbeat> beats(static_cast<std::size_t>(size));
  for (int at = 0; at < size; ++at) {
    Heartbeat& beat = beats[static_cast<std::size_t>(at)];
    beat.session_ = SessionId(aIn.sessions(at));
    beat.count_ = aIn.counts(at);
    beat.observedAt_ = timeOf(aIn.ages(at), aNow);
    const std::uint64_t below =
      std::min<std::uint64_t>(aIn.generations(at), aIn.generation());
    beat.generation_ = state::Generation(aIn.generation() - below);
    beat.evidence_ = aIn.evidence(at);
  }
  if (!readLoads(aIn, beats)) {
    return std::nullopt;
  }
  return beats;
}

PeerAddress
readAddress(const wire::Address& aIn)
{
  return { state::DaemonId(aIn.id()),
           state::ZoneId(aIn.zone()),
           { aIn.address(), static_cast<std::uint16_t>(aIn.port()) },
           state::Incarnation(aIn.incarnation()) };
}

std::optional<PeerBody>
readGossip(const wire::Gossip& aIn, state::TimePoint aNow)
{
  GossipMessage body;
  std::optional<std::vector<Heartbeat>> beats = readBeats(aIn.beats(), aNow);
  if (!beats) {
    return std::nullopt;
  }
  body.beats_ = std::move(*beats);
  body.chosen_ = aIn.chosen();
  for (const wire::Entry& in : aIn.entries()) {
    if (in.kind() >= kEntryKindRules.size()) {
      // A kind of a newer version of the protocol.
      continue;
    }
    WireEntry entry;
    entry.entry_.key_ = { static_cast<EntryKind>(in.kind()), in.name() };
    entry.entry_.version_ = { in.major(), in.minor() };
    entry.entry_.payload_ = in.payload();
    entry.entry_.observedAt_ = timeOf(in.age(), aNow);
    entry.foreign_ = in.foreign();
    entry.repaired_ = in.repaired();
    body.entries_.push_back(std::move(entry));
  }
  return body;
}

std::optional<PeerBody>
readBuckets(const wire::Buckets& aIn)
{
  const int size = aIn.keys_size();
  if (aIn.majors_size() != size || aIn.minors_size() != size ||
      aIn.payloads_size() != size) {
    return std::nullopt;
  }
  BucketMessage body;
  body.buckets_.assign(aIn.buckets().begin(), aIn.buckets().end());
  for (int at = 0; at < size; ++at) {
    body.summaries_.push_back(
      { aIn.keys(at), { aIn.majors(at), aIn.minors(at) }, aIn.payloads(at) });
  }
  return body;
}

PeerBody
readZone(const wire::Zone& aIn)
{
  ZoneMessage body;
  body.summary_.zone_ = state::ZoneId(aIn.zone());
  for (const wire::Address& in : aIn.daemons()) {
    body.summary_.daemons_.push_back(readAddress(in));
  }
  body.summary_.live_ = aIn.live();
  body.summary_.generation_ = state::Generation(aIn.generation());
  for (const std::string& id : aIn.behind()) {
    body.summary_.behind_.emplace_back(id);
  }
  body.wantsAnswer_ = aIn.wants_answer();
  return body;
}

std::optional<PeerBody>
readBody(const wire::Peer& aIn, state::TimePoint aNow)
{
  switch (aIn.body_case()) {
    case wire::Peer::kGossip:
      return readGossip(aIn.gossip(), aNow);
    case wire::Peer::kDigest:
      return DigestMessage{ { aIn.digest().buckets().begin(),
                              aIn.digest().buckets().end() } };
    case wire::Peer::kBuckets:
      return readBuckets(aIn.buckets());
    case wire::Peer::kWant:
      return EntryRequestMessage{ { aIn.want().keys().begin(),
                                    aIn.want().keys().end() } };
    case wire::Peer::kJoin:
      return JoinMessage{ readAddress(aIn.join()) };
    case wire::Peer::kWelcome: {
      WelcomeMessage body;
      for (const wire::Address& in : aIn.welcome().members()) {
        body.members_.push_back(readAddress(in));
      }
      return body;
    }
    case wire::Peer::kZoneMessage:
      return readZone(aIn.zone_message());
    case wire::Peer::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

} // namespace

std::string
encodePeerMessage(const PeerMessage& aMessage, state::TimePoint aNow)
{
  wire::Peer out;
  out.set_zone(aMessage.zone_.value());
  out.set_sent(aMessage.stamp_.sentMs_);
  if (aMessage.stamp_.echoMs_) {
    out.set_echo(*aMessage.stamp_.echoMs_);
  }
  out.set_held(aMessage.stamp_.echoDelayMs_);
  std::visit(BodyWriter{ out, aNow }, aMessage.body_);
  return out.SerializeAsString();
}

std::optional<PeerMessage>
decodePeerMessage(const std::string& aBytes, state::TimePoint aNow)
{
  wire::Peer in;
  if (!in.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  std::optional<PeerBody> body = readBody(in, aNow);
  if (!body) {
    return std::nullopt;
  }
  PeerMessage message;
  message.zone_ = state::ZoneId(in.zone());
  message.stamp_.sentMs_ = in.sent();
  if (in.has_echo()) {
    message.stamp_.echoMs_ = in.echo();
  }
  message.stamp_.echoDelayMs_ = in.held();
  message.body_ = std::move(*body);
  return message;
}

} // namespace auburnhaven::protocol
