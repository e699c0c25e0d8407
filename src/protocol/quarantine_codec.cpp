// Datagrams on targets that ended under requests and on the parts in
// quarantine.

#include "protocol/quarantine_codec.h"

#include "protocol/datagram_func.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCrashMark = 8;      ///< First field of a crash notice.
constexpr int kQuarantineMark = 9; ///< First field of a quarantine notice.
constexpr std::size_t kMaxBytes =
  1300; ///< Bytes of the entries of a datagram, which fits into one packet.

Json
encodeParts(const state::PromptParts& aParts)
{
  Json parts = Json::array();
  for (const state::PromptPartId part : aParts) {
    parts.push_back(part.value());
  }
  return parts;
}

state::PromptParts
decodeParts(const Json& aParts)
{
  state::PromptParts parts;
  for (const Json& part : aParts) {
    if (parts.size() < state::kMaxPromptParts) {
      parts.emplace_back(part.get<std::uint64_t>());
    }
  }
  return parts;
}

/** @return Parts of a set in ascending order. */
state::PromptParts
decodeSet(const Json& aParts)
{
  state::PromptParts parts = decodeParts(aParts);
  std::sort(parts.begin(), parts.end());
  return parts;
}

/** @return A datagram of one crash notice. */
std::string
crashDatagram(Json aReports, Json aSound)
{
  return encodeDatagram({ kCrashMark, std::move(aReports), std::move(aSound) });
}

/** @return One datagram for a lost request. */
std::string
requestDatagram(const coordination::CrashReport& aReport,
                const state::PromptParts& aRequest,
                bool aBegun)
{
  Json row = { aReport.vm_.value(),
               state::countMs(aReport.age_),
               encodeParts(aRequest),
               aBegun };
  return crashDatagram(Json::array({ std::move(row) }), Json::array());
}

/** @return A time of a message; never negative, and bounded so that it can be
 * added to the present time. */
template<class Unit>
state::Duration
decodeTime(const Json& aCount)
{
  constexpr std::chrono::hours kMaxTime(1);
  const auto count = static_cast<std::int64_t>(std::min<std::uint64_t>(
    aCount.get<std::uint64_t>(), Unit(kMaxTime).count()));
  return Unit(count);
}

} // namespace

std::vector<std::string>
encodeCrashNotice(const CrashNotice& aNotice)
{
  std::vector<std::string> pieces;
  for (const coordination::CrashReport& report : aNotice.reports_) {
    for (const state::PromptParts& request : report.requests_) {
      pieces.push_back(requestDatagram(report, request, false));
    }
    for (const state::PromptParts& request : report.begun_) {
      pieces.push_back(requestDatagram(report, request, true));
    }
  }
  if (!aNotice.sound_.empty()) {
    state::PromptParts sound = aNotice.sound_;
    sound.resize(std::min(sound.size(), state::kMaxPromptParts));
    pieces.push_back(crashDatagram(Json::array(), encodeParts(sound)));
  }
  return pieces;
}

std::optional<CrashNotice>
decodeCrashNotice(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kCrashMark, [](const Json& aMessage) {
    CrashNotice notice;
    for (const Json& row : aMessage.at(1)) {
      notice.reports_.push_back({ state::VmId(row.at(0).get<std::string>()),
                                  decodeTime<milliseconds>(row.at(1)),
                                  {},
                                  {} });
      // Daemons of earlier versions do not tell whether it had begun.
      const bool begun = row.size() > 3 && row.at(3).get<bool>();
      coordination::CrashReport& report = notice.reports_.back();
      (begun ? report.begun_ : report.requests_)
        .push_back(decodeParts(row.at(2)));
    }
    notice.sound_ = decodeParts(aMessage.at(2));
    return notice;
  });
}

std::string
encodeQuarantineNotice(const QuarantineNotice& aNotice)
{
  std::size_t bytesLeft = kMaxBytes;
  Json sets = Json::array();
  for (const coordination::QuarantinedParts& set : aNotice.sets_) {
    // Rounded down, so that a quarantine passed around never grows longer.
    const auto remaining =
      std::chrono::duration_cast<seconds>(set.remaining_).count();
    if (remaining > 0) {
      addIfFits(sets, { encodeParts(set.parts_), remaining }, bytesLeft);
    }
  }
  Json lifted = Json::array();
  for (const state::PromptParts& parts : aNotice.lifted_) {
    addIfFits(lifted, encodeParts(parts), bytesLeft);
  }
  Json suspects = Json::array();
  for (const coordination::SuspectPart& suspect : aNotice.suspects_) {
    const Json entry = { suspect.part_.value(), state::countMs(suspect.age_) };
    if (!addIfFits(suspects, entry, bytesLeft)) {
      break;
    }
  }
  return encodeDatagram({ kQuarantineMark,
                          std::move(sets),
                          std::move(lifted),
                          std::move(suspects) });
}

std::optional<QuarantineNotice>
decodeQuarantineNotice(const std::string& aDatagram)
{
  return decodeMarked(aDatagram, kQuarantineMark, [](const Json& aMessage) {
    QuarantineNotice notice;
    for (const Json& row : aMessage.at(1)) {
      const state::PromptParts parts = decodeSet(row.at(0));
      if (!parts.empty()) {
        notice.sets_.push_back({ parts, decodeTime<seconds>(row.at(1)) });
      }
    }
    for (const Json& row : aMessage.at(2)) {
      notice.lifted_.push_back(decodeSet(row));
    }
    for (const Json& row : aMessage.at(3)) {
      notice.suspects_.push_back(
        { state::PromptPartId(row.at(0).get<std::uint64_t>()),
          decodeTime<milliseconds>(row.at(1)) });
    }
    return notice;
  });
}

} // namespace auburnhaven::protocol
