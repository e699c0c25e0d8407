// Datagrams that ask for a place at a copy, and their answers.
#pragma once

#include "coordination/routing/target_pool.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** Question for a place. */
struct PlacementQuestion
{
  std::uint64_t number_ = 0;      ///< Told again in the answer.
  coordination::TargetNeed need_; ///< What the request needs.
  std::vector<coordination::TargetLimit>
    limits_; ///< What the sender knows of the limits of its targets.
  bool operator==(const PlacementQuestion&) const = default;
};

/** Answer to a question for a place. */
struct PlacementAnswer
{
  std::uint64_t number_ = 0; ///< Of the question.
  coordination::RefusalReason reason_ =
    coordination::RefusalReason::kNoTarget; ///< kNone with a place.
  state::VmId vm_;                          ///< Head of the copy.
  state::Duration expected_{};   ///< Expected time until the first event.
  state::Duration retryAfter_{}; ///< For a refusal: when there will be a place.
  std::uint32_t candidates_ = 0; ///< Copies that could have been chosen.
  bool operator==(const PlacementAnswer&) const = default;
};

/** @param aQuestion A question. @return Its datagram. Thread-safe. */
std::string
encodeQuestion(const PlacementQuestion& aQuestion);

/**
 * @param aDatagram A datagram.
 * @return The question, or nothing when it is none. Thread-safe.
 */
std::optional<PlacementQuestion>
decodeQuestion(const std::string& aDatagram);

/** @param aAnswer An answer. @return Its datagram. Thread-safe. */
std::string
encodeAnswer(const PlacementAnswer& aAnswer);

/**
 * @param aDatagram A datagram.
 * @return The answer, or nothing when it is none. Thread-safe.
 */
std::optional<PlacementAnswer>
decodeAnswer(const std::string& aDatagram);

} // namespace auburnhaven::protocol
