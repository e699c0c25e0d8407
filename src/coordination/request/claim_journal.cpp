// Journal of the claims of one slot, as it is kept in the store.

#include "coordination/request/claim_journal.h"

#include <nlohmann/json.hpp>

namespace auburnhaven::coordination {

namespace {

using Json = nlohmann::json;

constexpr char kClaimLine = 'c';    ///< Key, body, time, token.
constexpr char kNotRunLine = 'n';   ///< Key, token.
constexpr char kUnknownLine = 'u';  ///< Key, token.
constexpr char kFinishedLine = 'f'; ///< Key, token and perhaps the answer.

constexpr std::size_t kEndFields = 3;    ///< Fields of a line without answer.
constexpr std::size_t kAnswerFields = 6; ///< Fields of a line with answer.

/** @return One line of JSON; bytes that are not UTF-8 are replaced. */
std::string
line(const Json& aFields)
{
  return aFields.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

/** @return Line that claims a key. */
std::string
claimLine(const std::string& aKey, const ClaimEntry& aEntry)
{
  return line(Json::array({ std::string(1, kClaimLine),
                            aKey,
                            aEntry.body_,
                            aEntry.at_.time_since_epoch().count(),
                            aEntry.token_.value() }));
}

/** @return Line that ends a claim. */
std::string
endLine(char aKind,
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
  return line(fields);
}

/** @return Kind of line for an end. */
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

/** @return The answer in a line, or none. */
std::shared_ptr<const StoredAnswer>
answerOf(const Json& aFields)
{
  if (aFields.size() < kAnswerFields) {
    return nullptr;
  }
  return std::make_shared<const StoredAnswer>(
    StoredAnswer{ aFields[3].get<std::uint16_t>(),
                  aFields[4].get<std::string>(),
                  aFields[5].get<std::string>() });
}

/** Applies an end to the index. */
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

/** @return Entry of a line that claims a key. */
ClaimEntry
entryOf(const Json& aFields)
{
  ClaimEntry entry;
  entry.body_ = aFields.at(2).get<std::string>();
  entry.at_ = state::WallTime(
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
  remember(aKey);
  text_ += claimLine(aKey, aEntry);
  return entries_.emplace(aKey, aEntry).first->second;
}

void
ClaimJournal::end(const std::string& aKey,
                  ClaimToken aToken,
                  ClaimEnd aEnd,
                  std::shared_ptr<const StoredAnswer> aAnswer)
{
  remember(aKey);
  const char kind = lineKind(aEnd);
  text_ += endLine(kind, aKey, aToken, aAnswer.get());
  if (aEnd == ClaimEnd::kNotRun) {
    // Stays so after rollBack(), since an end is always written again.
    dead_.insert(aToken);
  }
  applyEnd(entries_, aKey, aToken, kind, std::move(aAnswer));
}

void
ClaimJournal::compact(state::WallTime aOldest, bool aKeepAnswers)
{
  std::erase_if(entries_,
                [&](const auto& aItem) { return aItem.second.at_ < aOldest; });
  text_.clear();
  dead_.clear();
  for (auto& [key, entry] : entries_) {
    if (!aKeepAnswers) {
      entry.answer_.reset();
    }
    text_ += claimLine(key, entry);
    if (entry.state_ == ClaimState::kFinished) {
      text_ += endLine(kFinishedLine, key, entry.token_, entry.answer_.get());
    } else if (entry.state_ == ClaimState::kUnknown) {
      text_ += endLine(kUnknownLine, key, entry.token_, nullptr);
    }
  }
  beginBatch();
}

void
ClaimJournal::clear()
{
  text_.clear();
  dead_.clear();
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
      entries_.emplace(key, entryOf(fields));
      return true;
    }
    const ClaimToken token(fields[2].get<std::uint64_t>());
    if (kind == kNotRunLine) {
      dead_.insert(token);
    }
    applyEnd(entries_, key, token, kind, answerOf(fields));
    return kind == kNotRunLine || kind == kUnknownLine || kind == kFinishedLine;
  } catch (const std::exception&) {
    return false;
  }
}

void
ClaimJournal::remember(const std::string& aKey)
{
  const auto found = entries_.find(aKey);
  undo_.emplace_back(aKey,
                     found == entries_.end()
                       ? std::nullopt
                       : std::optional<ClaimEntry>(found->second));
}

} // namespace auburnhaven::coordination
