// Datagrams on targets that ended under requests and on the parts in
// quarantine.
#pragma once

#include "coordination/quarantine/crash_report_type.h"
#include "coordination/quarantine/prompt_quarantine.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** What a daemon has seen, for the coordinators. */
struct CrashNotice
{
  std::vector<coordination::CrashReport> reports_; ///< Targets that ended.
  std::vector<coordination::SoundPart> sound_;     ///< Suspect parts with sound
                                                   ///< answers.
  bool operator==(const CrashNotice&) const = default;
};

/** What a coordinator knows, for all daemons. */
struct QuarantineNotice
{
  std::vector<coordination::QuarantinedParts> sets_; ///< Sets in quarantine.
  std::vector<state::PromptParts> lifted_;           ///< Sets lifted of late.
  std::vector<coordination::SuspectPart> suspects_;  ///< Parts of which sound
                                                     ///< answers are wanted.
  bool continues_ = false; ///< Whether the suspects are further ones, beside
                           ///< those of the piece before.
  bool operator==(const QuarantineNotice&) const = default;
};

/**
 * Splits a notice, so that each piece fits into one datagram. Thread-safe.
 * @param aNotice A notice.
 * @return The pieces; none for an empty notice.
 */
std::vector<std::string>
encodeCrashNotice(const CrashNotice& aNotice);

/** @param aDatagram A datagram. @return The notice, or nothing when it is none.
 * Thread-safe. */
std::optional<CrashNotice>
decodeCrashNotice(const std::string& aDatagram);

/**
 * Splits a notice, so that each piece fits into one datagram. Thread-safe.
 * @param aNotice A notice.
 * @return The pieces, at least one.
 */
std::vector<std::string>
encodeQuarantineNotice(const QuarantineNotice& aNotice);

/** @param aDatagram A datagram. @return The notice, or nothing when it is none.
 * Thread-safe. */
std::optional<QuarantineNotice>
decodeQuarantineNotice(const std::string& aDatagram);

} // namespace auburnhaven::protocol
