// Journal of the claims of one slot, as it is kept in the store.
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
  kHeld,     ///< The holder may dispatch or has dispatched.
  kUnknown,  ///< The holder told that the call may have run.
  kFinished, ///< The holder has the whole answer.
};

/** One claimed key. */
struct ClaimEntry
{
  ClaimToken token_;     ///< Token of the holder.
  std::string body_;     ///< Short digest of the body.
  state::WallTime at_{}; ///< When it was claimed, by the holder's clock.
  ClaimState state_ = ClaimState::kHeld; ///< State.
  std::shared_ptr<const StoredAnswer>
    answer_; ///< Answer, when finished and small enough.
  bool operator==(const ClaimEntry&) const = default;
};

/**
 * Claims of one slot as lines of text that are only appended, and the index
 * that follows from them. Not thread-safe.
 */
class ClaimJournal
{
public:
  /**
   * Takes the stored text; only the part after the present text is parsed when
   * the stored text begins with it. Ends a batch.
   * @param aText Text read from the store.
   * @return Whether all lines were understood; when not, the journal is empty.
   */
  [[nodiscard]] bool load(std::string aText);
  /** Starts a batch that rollBack() can undo. */
  void beginBatch();
  /** Undoes all changes since beginBatch(). */
  void rollBack();
  /**
   * Claims a key, when no entry stands against it.
   * @param aKey Short digest of account, scope and key.
   * @param aEntry The new entry.
   * @return The entry in place after the call; its token tells whose it is.
   */
  const ClaimEntry& claim(const std::string& aKey, const ClaimEntry& aEntry);
  /**
   * Ends the claim of a token. Does nothing to an entry of another token, but
   * adds a line in any case, so that the value in the store changes.
   * @param aKey Short digest of the key.
   * @param aToken Token of the holder.
   * @param aEnd How it ended.
   * @param aAnswer Answer to keep, or none.
   */
  void end(const std::string& aKey,
           ClaimToken aToken,
           ClaimEnd aEnd,
           std::shared_ptr<const StoredAnswer> aAnswer);
  /**
   * Makes the shortest text that says the same, without old entries. Call
   * outside of a batch; the result becomes the present text.
   * @param aOldest Entries claimed before this are dropped.
   * @param aKeepAnswers Whether stored answers stay.
   */
  void compact(state::WallTime aOldest, bool aKeepAnswers);
  /** Forgets everything. */
  void clear();
  /** @return Text for the store. */
  const std::string& text() const { return text_; }
  /**
   * @param aToken A token.
   * @return Whether its holder told that it never dispatches. Forgotten by
   * compact().
   */
  bool isAbandoned(ClaimToken aToken) const { return dead_.contains(aToken); }
  /** @return Number of claimed keys. */
  std::size_t size() const { return entries_.size(); }

private:
  bool parseLine(std::string_view aLine);
  void remember(const std::string& aKey);

  std::string text_;                          ///< All lines.
  std::map<std::string, ClaimEntry> entries_; ///< Index by key digest.
  std::set<ClaimToken> dead_;  ///< Tokens that were called not run.
  std::size_t batchStart_ = 0; ///< Length before the batch.
  std::vector<std::pair<std::string, std::optional<ClaimEntry>>>
    undo_; ///< Entries before the changes of the batch.
};

} // namespace auburnhaven::coordination
