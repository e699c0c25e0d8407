// Datagrams on targets that ended under requests and on the parts in
// quarantine.

#include "protocol/quarantine_codec.h"

#include "protocol/datagram_func.h"

#include <algorithm>
#include <chrono>
#include <span>
#include <utility>

namespace auburnhaven::protocol {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCrashMark = 8;      ///< First field of a crash notice.
constexpr int kQuarantineMark = 9; ///< First field of a quarantine notice.
constexpr std::size_t kMaxRequestParts =
  state::kMaxPromptParts + 1; ///< Parts of a request: those of its prompt, and
                              ///< one for the request as a whole.
constexpr std::size_t kSoundPerPiece = 64; ///< Sound parts of a datagram.
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
    if (parts.size() < kMaxRequestParts) {
      parts.emplace_back(state::readCount<std::uint64_t>(part));
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

/** @return A datagram of some sound parts. */
std::string
soundDatagram(std::span<const coordination::SoundPart> aSound)
{
  Json parts = Json::array();
  Json ages = Json::array();
  for (const coordination::SoundPart& sound : aSound) {
    parts.push_back(sound.part_.value());
    ages.push_back(state::countMs(sound.age_));
  }
  return encodeDatagram(
    { kCrashMark, Json::array(), std::move(parts), std::move(ages) });
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
  return encodeDatagram(
    { kCrashMark, Json::array({ std::move(row) }), Json::array() });
}

/** @return A time of a message; never negative, and bounded so that it can be
 * added to the present time. */
template<class Unit>
state::Duration
decodeTime(const Json& aCount)
{
  constexpr std::chrono::hours kMaxTime(1);
  const auto count = static_cast<std::int64_t>(std::min<std::uint64_t>(
    state::readCount<std::uint64_t>(aCount), Unit(kMaxTime).count()));
  return Unit(count);
}

/** @return Sound parts of a crash notice. */
std::vector<coordination::SoundPart>
decodeSound(const Json& aMessage)
{
  const Json& parts = aMessage.at(2);
  // Daemons of earlier versions tell no ages.
  const Json ages = aMessage.size() > 3 ? aMessage.at(3) : Json::array();
  std::vector<coordination::SoundPart> sound;
  for (std::size_t index = 0; index < std::min(parts.size(), kSoundPerPiece);
       ++index) {
    const state::Duration age = index < ages.size()
                                  ? decodeTime<milliseconds>(ages.at(index))
                                  : state::Duration{};
    sound.push_back(
      { state::PromptPartId(state::readCount<std::uint64_t>(parts.at(index))),
        age });
  }
  return sound;
}

/** Lists of a quarantine notice, by their places in a datagram. */
enum class QuarantineField : std::uint8_t
{
  kSets = 1,
  kLifted = 2,
  kSuspects = 3,
};

/** Fills datagrams with the entries of a quarantine notice. */
class QuarantinePieces
{
public:
  QuarantinePieces() { begin(); }
  /** Adds an entry to the present datagram, or to the next one if it has no
   * room. */
  void add(QuarantineField aField, const Json& aEntry)
  {
    const auto field = static_cast<std::size_t>(aField);
    if (!addIfFits(piece_.at(field), aEntry, bytesLeft_)) {
      end();
      begin();
      addIfFits(piece_.at(field), aEntry, bytesLeft_);
    }
  }
  /** @return All datagrams. */
  std::vector<std::string> finish()
  {
    end();
    return std::move(datagrams_);
  }

private:
  void begin()
  {
    bytesLeft_ = kMaxBytes;
    piece_ = { kQuarantineMark,
               Json::array(),
               Json::array(),
               Json::array(),
               !datagrams_.empty() };
  }
  void end() { datagrams_.push_back(encodeDatagram(piece_)); }

  std::vector<std::string> datagrams_; ///< Datagrams that are full.
  Json piece_;                         ///< The present one.
  std::size_t bytesLeft_ = 0;          ///< Room in it.
};

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
  std::span<const coordination::SoundPart> sound(aNotice.sound_);
  while (!sound.empty()) {
    const std::size_t count = std::min(sound.size(), kSoundPerPiece);
    pieces.push_back(soundDatagram(sound.first(count)));
    sound = sound.subspan(count);
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
    notice.sound_ = decodeSound(aMessage);
    return notice;
  });
}

std::vector<std::string>
encodeQuarantineNotice(const QuarantineNotice& aNotice)
{
  QuarantinePieces pieces;
  for (const coordination::SuspectPart& suspect : aNotice.suspects_) {
    pieces.add(QuarantineField::kSuspects,
               { suspect.part_.value(), state::countMs(suspect.age_) });
  }
  for (const coordination::QuarantinedParts& set : aNotice.sets_) {
    // Rounded down, so that a quarantine passed around never grows longer.
    const auto remaining =
      std::chrono::duration_cast<seconds>(set.remaining_).count();
    if (remaining > 0) {
      pieces.add(QuarantineField::kSets,
                 { encodeParts(set.parts_), remaining });
    }
  }
  for (const state::PromptParts& parts : aNotice.lifted_) {
    pieces.add(QuarantineField::kLifted, encodeParts(parts));
  }
  return pieces.finish();
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
        { state::PromptPartId(state::readCount<std::uint64_t>(row.at(0))),
          decodeTime<milliseconds>(row.at(1)) });
    }
    // Daemons of earlier versions send one piece only.
    notice.continues_ = aMessage.size() > 4 && aMessage.at(4).get<bool>();
    return notice;
  });
}

} // namespace auburnhaven::protocol
