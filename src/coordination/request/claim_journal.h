// Append-only journal of the claims of one slot, as stored in the store.
#pragma once

#include "coordination/request/claim_type.h"
#include "state/time_type.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhaven::coordination {

/** State of a claimed key. */
enum class ClaimState : std::uint8_t
{
  kHeld,     ///< Not ended; the holder may dispatch or has dispatched.
  kUnknown,  ///< The holder reported that the call may have run.
  kFinished, ///< The holder received the complete answer.
};

/** One claimed key. */
struct ClaimEntry
{
  ClaimToken token_;            ///< Token of the holder.
  std::string body_;            ///< Truncated SHA-256 of the request body.
  state::WallTime claimedAt_{}; ///< When it was claimed, by the wall clock of
                                ///< the daemon that wrote it.
  ClaimState state_ = ClaimState::kHeld; ///< State.
  std::shared_ptr<const StoredAnswer>
    answer_; ///< Answer, if finished and small enough to be stored.
  bool operator==(const ClaimEntry&) const = default;
};

/**
 * Claims of one slot: an append-only text with one JSON array per line, and an
 * index of it by key. compact() rewrites the text. Not thread-safe.
 */
class ClaimJournal
{
public:
  /**
   * Replaces the content by the stored text. If the stored text begins with the
   * current text, only the rest is parsed. Ends the current batch.
   * @param aText Text read from the store.
   * @return Whether all lines are valid; if not, the journal is empty.
   */
  [[nodiscard]] bool load(std::string aText);
  /** Starts a batch that rollBack() can undo. */
  void beginBatch();
  /** Undoes all changes since beginBatch(). */
  void rollBack();
  /**
   * Claims a key unless it already has an entry.
   * @param aKey Truncated digest of account, scope and key.
   * @param aEntry Entry to add.
   * @return The entry of the key after the call; its token identifies the
   * holder. Valid until the next change.
   */
  const ClaimEntry& claim(const std::string& aKey, const ClaimEntry& aEntry);
  /**
   * Ends the claim of a token. An entry of another token stays as it is, but a
   * line is added in any case so that the value in the store changes.
   * @param aKey Truncated digest of account, scope and key.
   * @param aToken Token of the holder.
   * @param aEnd How the claim ended.
   * @param aAnswer Answer to store, or null.
   */
  void end(const std::string& aKey,
           ClaimToken aToken,
           ClaimEnd aEnd,
           std::shared_ptr<const StoredAnswer> aAnswer);
  /**
   * Removes old entries and rewrites the text to the minimum that describes the
   * remaining ones. Also forgets abandoned tokens. Precondition: no batch with
   * changes is open.
   * @param aOldest Entries claimed before this time are removed.
   * @param aKeepAnswers Whether stored answers are kept.
   */
  void compact(state::WallTime aOldest, bool aKeepAnswers);
  /** Removes all content. */
  void clear();
  /** @return Text to write to the store. */
  const std::string& text() const { return text_; }
  /**
   * @return Whether the holder of the token reported that it never dispatches.
   * compact() forgets this.
   */
  bool isAbandoned(ClaimToken aToken) const
  {
    return abandonedTokens_.contains(aToken);
  }
  /** @return Number of claimed keys. */
  std::size_t size() const { return entries_.size(); }

private:
  bool parseLine(std::string_view aLine);
  void recordUndo(const std::string& aKey);

  std::string text_;                          ///< Text of all lines.
  std::map<std::string, ClaimEntry> entries_; ///< Index by key digest.
  std::set<ClaimToken> abandonedTokens_;      ///< Tokens that ended as not run.
  std::size_t batchStart_ = 0; ///< Text length at the start of the batch.
  std::vector<std::pair<std::string, std::optional<ClaimEntry>>>
    undo_; ///< Entries as they were before each change of the batch.
};

} // namespace auburnhaven::coordination
