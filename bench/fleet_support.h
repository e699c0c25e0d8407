// Helpers that the fleet's benchmarks share.
#pragma once

#include "fakes/fake_byte_links.h"
#include "fakes/fake_fleet.h"
#include "protocol/coded_peer_network.h"
#include "state/digest_func.h"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace auburnhaven::bench {

inline constexpr std::uint64_t kFrameBytes =
  49; ///< HTTP/2 frame header, TCP and IP headers of a message.

/** A daemon's network with the real codec. */
class CodedLinks : public coordination::PeerNetwork
{
public:
  /**
   * @param aSwitch The switch; must outlive this object.
   * @param aClock Clock; must outlive this object.
   * @param aOwn Endpoint of the daemon.
   */
  CodedLinks(fakes::ByteSwitch& aSwitch,
             const state::Clock& aClock,
             const state::Endpoint& aOwn)
    : links_(aSwitch, aOwn)
    , network_(links_, aClock)
  {
  }
  void send(const state::Endpoint& aTo,
            const coordination::PeerMessage& aMessage) override
  {
    network_.send(aTo, aMessage);
  }
  void onMessage(MessageHandler aHandler) override
  {
    network_.onMessage(std::move(aHandler));
  }

private:
  fakes::FakeByteLinks links_;         ///< Links of bytes.
  protocol::CodedPeerNetwork network_; ///< Codec over them.
};

/** @return Processor seconds that this process has used. */
inline double
processorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/** @return Most memory that this process has used, in megabytes. */
inline double
peakMegabytes()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

/** @return A quantile of some values; 0 when there are none. */
inline double
quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto place = static_cast<std::size_t>(
    std::lround(aPart * static_cast<double>(aValues.size() - 1)));
  return aValues[place];
}

/** @return A serving group of a usual size. */
inline state::ServingGroup
makeGroup(std::size_t aIndex, std::uint64_t aVersion)
{
  state::ServingGroup group;
  group.id_ = state::GroupId("group-" + std::to_string(aIndex));
  group.model_ = "assistant-large";
  group.version_ = "2026-11-" + std::to_string(aVersion);
  for (int account = 0; account < 30; ++account) {
    group.accounts_.emplace_back("client-account-" + std::to_string(account));
  }
  for (const char* kind : { "listing-draft", "buyer-answer", "summary" }) {
    state::WorkKind work;
    work.id_ = state::WorkKindId(kind);
    work.windows_ = { { 31, 360, 720, 60, 5 }, { 31, 720, 1080, 60, 3 } };
    group.kinds_.push_back(work);
  }
  group.vmsPerCopy_ = 32;
  return group;
}

/** Puts a configuration of generation 1 into the store. */
inline void
fillStore(fakes::FakeStoreData& aData, std::size_t aGroups)
{
  coordination::ConfigHead head;
  head.generation_ = state::Generation(1);
  head.change_.generation_ = head.generation_;
  for (std::size_t index = 0; index < aGroups; ++index) {
    const state::ServingGroup group = makeGroup(index, 0);
    const std::string text = state::encodeDocument(group);
    const std::string digest = state::sha256Hex(text);
    head.documents_[state::documentName(group.id_)] = { digest,
                                                        head.generation_ };
    aData.items_[coordination::documentKey(digest)] = {
      text, state::Revision(aData.nextRevision_++)
    };
  }
  aData.items_[coordination::kHeadKey] = {
    coordination::encodeHead(head), state::Revision(aData.nextRevision_++)
  };
}

/** Restarts a VM: it reports a new incarnation without a role, then again with
 * its role. */
inline void
restartVm(fakes::FakeVms::Vm& aVm)
{
  state::VmReport& report = aVm.report_;
  report.incarnation_ = report.incarnation_.next();
  report.count_ = 0;
  report.phase_ = report.phase_ == state::EnginePhase::kReady
                    ? state::EnginePhase::kLoading
                    : state::EnginePhase::kReady;
}

} // namespace auburnhaven::bench
