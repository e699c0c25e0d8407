// Limits and counts of claims.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace auburnhaven::coordination {

inline constexpr std::chrono::minutes kClaimMaxClockSkew{
  10
}; ///< Greatest difference between the wall clocks of callers and daemons.

/** Limits of the claim service. */
struct ClaimSettings
{
  std::uint32_t slots_ = 16; ///< Values that share the keys of one epoch; the
                             ///< same in all daemons, and never changed while
                             ///< claims live.
  std::chrono::minutes epochLength_{ 10 }; ///< Keys issued in one epoch share
                                           ///< values; never changed as above.
  std::uint32_t epochCount_ = 1152; ///< Epochs until values are used again, 8
                                    ///< days; never changed as above.
  std::chrono::hours maxRetention_{ 168 }; ///< Longest retention; shorter than
                                           ///< the ring by an hour at least.
  state::Duration commitSpacing_ =
    std::chrono::milliseconds(200); ///< Least time between two commits of a
                                    ///< slot.
  state::Duration endDelay_ =
    std::chrono::milliseconds(100); ///< How long the end of a claim may wait
                                    ///< for a claim to be written with it.
  state::Duration dispatchWindow_ =
    std::chrono::seconds(5); ///< Time from the request of a claim in which its
                             ///< holder may begin to send.
  state::Duration holderLostAfter_ =
    std::chrono::minutes(2); ///< Age of a held claim from which its holder
                             ///< counts as lost.
  state::Duration storeBackoff_ =
    std::chrono::milliseconds(500); ///< Wait after a failed call.
  state::Duration forwardTimeout_ =
    std::chrono::milliseconds(400); ///< Wait for another daemon to write an
                                    ///< operation; then this one does.
  state::Duration idleSlotLifetime_ =
    std::chrono::minutes(2); ///< How long the content of an unused slot stays
                             ///< in memory.
  std::size_t maxSlotBytes_ = 524288;  ///< Largest value of a slot.
  std::size_t maxAnswerBytes_ = 4096;  ///< Largest answer that is kept.
  std::size_t maxKeyBytes_ = 256;      ///< Longest key.
  std::size_t maxQueued_ = 2048;       ///< Most operations that wait in a slot.
  std::chrono::hours retention_{ 24 }; ///< How long keys are remembered.
  bool requireTimestampedKeys_ =
    false; ///< Whether keys that carry no time are refused.
  bool operator==(const ClaimSettings&) const = default;
};

/** Counts of the claim service. */
struct ClaimCounts
{
  std::uint64_t claims_ = 0;    ///< Claims asked for.
  std::uint64_t granted_ = 0;   ///< Claims granted.
  std::uint64_t reads_ = 0;     ///< Reads of the store.
  std::uint64_t writes_ = 0;    ///< Writes to the store.
  std::uint64_t conflicts_ = 0; ///< Writes that lost a race.
  std::uint64_t forwarded_ = 0; ///< Operations given to another daemon.
  std::uint64_t unknown_ = 0;   ///< Writes whose answer was lost.
  bool operator==(const ClaimCounts&) const = default;
};

} // namespace auburnhaven::coordination
