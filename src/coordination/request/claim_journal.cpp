// Append-only journal of the claims of one slot, as stored in the store.

#include "coordination/request/claim_journal.h"

#include "coordination/request/stored_answer_func.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

constexpr char kClaimLine = 'c';    ///< Key, body digest, time, token.
constexpr char kNotRunLine = 'n';   ///< Key, token.
constexpr char kUnknownLine = 'u';  ///< Key, token.
constexpr char kFinishedLine = 'f'; ///< Key, token and optionally the answer.

constexpr std::size_t kEndFields = 3; ///< Minimum number of fields in a line.
constexpr std::size_t kAnswerFields =
  6; ///< Number of fields in a line with answer, which comes last.

/** @return One line of JSON in which invalid UTF-8 bytes are replaced. */
std::string
toLine(const Json& aFields)
{
  return aFields.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

/** @return Journal line that claims a key. */
std::string
formatClaim(const std::string& aKey, const ClaimEntry& aEntry)
{
  return toLine(Json::array({ std::string(1, kClaimLine),
                              aKey,
                              aEntry.body_,
                              aEntry.claimedAt_.time_since_epoch().count(),
                              aEntry.token_.value() }));
}

/** @return Journal line that ends a claim. */
std::string
formatEnd(char aKind,
          const std::string& aKey,
          ClaimToken aToken,
          const StoredAnswer* aAnswer)
{
  Json fields = Json::array({ std::string(1, aKind), aKey, aToken.value() });
  if (aAnswer != nullptr) {
    fields.push_back(aAnswer->status_);
    fields.push_back(aAnswer->contentType_);
    fields.push_back(aAnswer->body_);
  }
  return toLine(fields);
}

/** @return Kind of the journal line for an end. */
char
lineKind(ClaimEnd aEnd)
{
  switch (aEnd) {
    case ClaimEnd::kNotRun:
      return kNotRunLine;
    case ClaimEnd::kFinished:
      return kFinishedLine;
    default:
      return kUnknownLine;
  }
}

/** Applies an end to the index unless another token holds the key. */
void
applyEnd(std::map<std::string, ClaimEntry>& aEntries,
         const std::string& aKey,
         ClaimToken aToken,
         char aKind,
         std::shared_ptr<const StoredAnswer> aAnswer)
{
  const auto found = aEntries.find(aKey);
  if (found == aEntries.end() || found->second.token_ != aToken) {
    return;
  }
  if (aKind == kNotRunLine) {
    aEntries.erase(found);
    return;
  }
  const bool finished = aKind == kFinishedLine;
  found->second.state_ =
    finished ? ClaimState::kFinished : ClaimState::kUnknown;
  found->second.answer_ = std::move(aAnswer);
}

/**
 * @param aFields Fields of a line that claims a key.
 * @return The claimed entry.
 */
ClaimEntry
parseClaim(const Json& aFields)
{
  ClaimEntry entry;
  entry.body_ = aFields.at(2).get<std::string>();
  entry.claimedAt_ = state::WallTime(
    std::chrono::milliseconds(aFields.at(3).get<std::int64_t>()));
  entry.token_ = ClaimToken(aFields.at(4).get<std::uint64_t>());
  return entry;
}

} // namespace

bool
ClaimJournal::load(std::string aText)
{
  undo_.clear();
  const bool extends = aText.compare(0, text_.size(), text_) == 0;
  std::size_t from = extends ? text_.size() : 0;
  if (!extends) {
    clear();
  }
  text_ = std::move(aText);
  while (from < text_.size()) {
    const std::size_t end = text_.find('\n', from);
    if (end == std::string::npos ||
        !parseLine(std::string_view(text_).substr(from, end - from))) {
      clear();
      return false;
    }
    from = end + 1;
  }
  batchStart_ = text_.size();
  return true;
}

void
ClaimJournal::beginBatch()
{
  undo_.clear();
  batchStart_ = text_.size();
}

void
ClaimJournal::rollBack()
{
  for (auto change = undo_.rbegin(); change != undo_.rend(); ++change) {
    if (change->second) {
      entries_[change->first] = *change->second;
    } else {
      entries_.erase(change->first);
    }
  }
  undo_.clear();
  text_.resize(batchStart_);
}

const ClaimEntry&
ClaimJournal::claim(const std::string& aKey, const ClaimEntry& aEntry)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end()) {
    return found->second;
  }
  recordUndo(aKey);
  text_ += formatClaim(aKey, aEntry);
  return entries_.emplace(aKey, aEntry).first->second;
}

void
ClaimJournal::end(const std::string& aKey,
                  ClaimToken aToken,
                  ClaimEnd aEnd,
                  std::shared_ptr<const StoredAnswer> aAnswer)
{
  recordUndo(aKey);
  const char kind = lineKind(aEnd);
  text_ += formatEnd(kind, aKey, aToken, aAnswer.get());
  if (aEnd == ClaimEnd::kNotRun) {
    // Not undone by rollBack(), because an end is always written again.
    abandonedTokens_.insert(aToken);
  }
  applyEnd(entries_, aKey, aToken, kind, std::move(aAnswer));
}

void
ClaimJournal::compact(state::WallTime aOldest, bool aKeepAnswers)
{
  std::erase_if(entries_, [&](const auto& aItem) {
    return aItem.second.claimedAt_ < aOldest;
  });
  text_.clear();
  abandonedTokens_.clear();
  for (auto& [key, entry] : entries_) {
    if (!aKeepAnswers) {
      entry.answer_.reset();
    }
    text_ += formatClaim(key, entry);
    if (entry.state_ == ClaimState::kFinished) {
      text_ += formatEnd(kFinishedLine, key, entry.token_, entry.answer_.get());
    } else if (entry.state_ == ClaimState::kUnknown) {
      text_ += formatEnd(kUnknownLine, key, entry.token_, nullptr);
    }
  }
  beginBatch();
}

void
ClaimJournal::clear()
{
  text_.clear();
  abandonedTokens_.clear();
  entries_.clear();
  beginBatch();
}

bool
ClaimJournal::parseLine(std::string_view aLine)
{
  const Json fields = Json::parse(aLine, nullptr, false);
  if (!fields.is_array() || fields.size() < kEndFields) {
    return false;
  }
  try {
    const char kind = fields[0].get<std::string>().at(0);
    const auto key = fields[1].get<std::string>();
    if (kind == kClaimLine) {
      entries_.emplace(key, parseClaim(fields));
      return true;
    }
    const ClaimToken token(fields[2].get<std::uint64_t>());
    if (kind == kNotRunLine) {
      abandonedTokens_.insert(token);
    }
    const bool hasAnswer = fields.size() >= kAnswerFields;
    auto answer = hasAnswer ? readStoredAnswer(fields, kEndFields) : nullptr;
    // An answer that nobody can interpret tells only that the call may have
    // run.
    const bool isReadable = !hasAnswer || answer;
    applyEnd(entries_,
             key,
             token,
             isReadable ? kind : kUnknownLine,
             std::move(answer));
    return kind == kNotRunLine || kind == kUnknownLine || kind == kFinishedLine;
  } catch (const std::exception&) {
    return false;
  }
}

void
ClaimJournal::recordUndo(const std::string& aKey)
{
  const auto found = entries_.find(aKey);
  undo_.emplace_back(aKey,
                     found == entries_.end()
                       ? std::nullopt
                       : std::optional<ClaimEntry>(found->second));
}

} // namespace auburnhaven::coordination
