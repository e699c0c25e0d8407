// Settings and counters of the claim service.
#pragma once

#include "state/time_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace auburnhaven::coordination {

inline constexpr std::chrono::minutes kClaimMaxClockSkew{
  10
}; ///< Greatest tolerated difference between the wall clocks of clients and
   ///< daemons.

/**
 * Settings of the claim service. slots_, epochLength_ and epochCount_ determine
 * the slot of a key: they must be the same in all daemons and must not change
 * while any claim is retained.
 */
struct ClaimSettings
{
  std::uint32_t slots_ = 16; ///< Slots per epoch; keys are distributed by hash.
  std::chrono::minutes epochLength_{
    10
  }; ///< Length of an epoch; keys are grouped
     ///< by the epoch of their issue.
  std::uint32_t epochCount_ =
    1152; ///< Number of epochs after which slots are reused
          ///< (1152 epochs of 10 minutes are 8 days).
  std::chrono::hours maxRetention_{
    168
  }; ///< Longest retention; at least one hour
     ///< shorter than all epochs together.
  state::Duration commitSpacing_ = std::chrono::milliseconds(
    200); ///< Minimum interval between two commits of a slot.
  state::Duration endDelay_ =
    std::chrono::milliseconds(100); ///< How long the end of a claim may wait in
                                    ///< order to share a write with a claim.
  state::Duration dispatchWindow_ =
    std::chrono::seconds(5); ///< Time after the start of a claim within which
                             ///< its holder may begin to dispatch.
  state::Duration holderLostAfter_ =
    std::chrono::minutes(2); ///< Age above which the holder of an unfinished
                             ///< claim is considered lost.
  state::Duration storeBackoff_ =
    std::chrono::milliseconds(500); ///< Delay after a failed store call.
  state::Duration forwardTimeout_ = std::chrono::milliseconds(
    400); ///< How long to wait for another daemon to
          ///< write a claim before this daemon writes it.
  state::Duration idleSlotLifetime_ =
    std::chrono::minutes(2); ///< How long the content of an idle slot stays in
                             ///< memory.
  std::size_t maxSlotBytes_ = 524288; ///< Maximum size of a slot's value.
  std::size_t maxAnswerBytes_ = 4096; ///< Maximum size of a stored answer body.
  std::size_t maxKeyBytes_ = 256;     ///< Maximum length of an idempotency key.
  std::size_t maxQueued_ =
    2048; ///< Queue length at which a slot refuses claims.
  std::chrono::hours retention_{ 24 }; ///< How long claims are retained.
  bool requireTimestampedKeys_ =
    false; ///< Whether to refuse keys without an issue time.
  bool operator==(const ClaimSettings&) const = default;
};

/** Counters of the claim service since the start of the process. */
struct ClaimCounts
{
  std::uint64_t claims_ = 0;    ///< Claims requested.
  std::uint64_t granted_ = 0;   ///< Claims granted.
  std::uint64_t reads_ = 0;     ///< Store reads.
  std::uint64_t writes_ = 0;    ///< Store writes.
  std::uint64_t conflicts_ = 0; ///< Writes that failed on a revision conflict.
  std::uint64_t forwarded_ = 0; ///< Operations forwarded to another daemon.
  std::uint64_t unknown_ = 0;   ///< Writes whose reply was lost.
  bool operator==(const ClaimCounts&) const = default;
};

} // namespace auburnhaven::coordination
