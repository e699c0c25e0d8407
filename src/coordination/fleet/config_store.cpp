// Commits changes of the configuration and reports their results.

#include "coordination/fleet/config_store.h"

#include "state/digest_func.h"

#include <algorithm>
#include <utility>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kMaxRecent =
  32;                           ///< Recent submissions that a head lists.
constexpr int kMaxAttempts = 6; ///< Attempts to complete a submission.
constexpr state::Duration kRetryDelay =
  std::chrono::milliseconds(500); ///< Delay before another attempt.
constexpr std::uint64_t kMaxConflictChanges =
  64; ///< Changes reported on a conflict.
constexpr std::size_t kMaxDocumentBytes =
  512UL * 1024; ///< Largest size of a document.
constexpr std::size_t kMaxHeadBytes =
  1000UL * 1000; ///< Largest size of an encoded head.

} // namespace

/** A submission in progress. */
struct ConfigStore::Job
{
  Submission submission_;    ///< The submission.
  SubmitHandler handler_;    ///< Receives the result.
  SubmitResult result_;      ///< Result so far.
  ConfigHead head_;          ///< Head as last read.
  state::Revision revision_; ///< Revision of that head.
  state::DocumentTexts
    unwritten_;      ///< Documents still to be written, by digest.
  int attempts_ = 0; ///< Failed attempts so far.
  bool ambiguous_ =
    false; ///< Whether the reply to a compare-and-swap of the head was lost.
};

ConfigStore::ConfigStore(Store& aStore,
                         const state::Clock& aClock,
                         ConfigCheck aCheck,
                         KnownGeneration aNewestKnown,
                         ConfigLoader::LocalTexts aLocal)
  : store_(aStore)
  , clock_(aClock)
  , loader_(aStore, std::move(aLocal))
  , check_(std::move(aCheck))
  , newestKnown_(std::move(aNewestKnown))
{
}

void
ConfigStore::submit(const Submission& aSubmission, SubmitHandler aHandler)
{
  auto job = std::make_shared<Job>();
  job->submission_ = aSubmission;
  job->handler_ = std::move(aHandler);
  ConfigChange& change = job->result_.ours_;
  change.from_ = aSubmission.base_;
  change.generation_ = aSubmission.base_.next();
  change.submission_ = aSubmission.id_;
  change.author_ = aSubmission.author_;
  change.summary_ = aSubmission.summary_;
  change.at_ = clock_.wallNow();
  for (const auto& [name, text] : aSubmission.put_) {
    change.documents_.push_back({ name, {}, state::sha256Hex(text) });
    if (text.size() > kMaxDocumentBytes) {
      job->result_.errors_.push_back({ name, 0, "", "is too large" });
    }
  }
  for (const std::string& name : aSubmission.remove_) {
    change.documents_.push_back({ name, {}, {} });
  }
  if (!job->result_.errors_.empty()) {
    finish(job, SubmitStatus::kRefused);
    return;
  }
  readHead(job);
}

void
ConfigStore::tick()
{
  std::vector<std::pair<state::TimePoint, JobPtr>> delayed;
  delayed.swap(delayed_);
  for (const auto& [retryAt, job] : delayed) {
    if (retryAt <= clock_.now()) {
      readHead(job);
    } else {
      delayed_.emplace_back(retryAt, job);
    }
  }
}

void
ConfigStore::retry(const JobPtr& aJob)
{
  if (++aJob->attempts_ < kMaxAttempts) {
    delayed_.emplace_back(clock_.now() + kRetryDelay, aJob);
    return;
  }
  finish(aJob,
         aJob->ambiguous_ ? SubmitStatus::kUnknown
                          : SubmitStatus::kUnavailable);
}

void
ConfigStore::finish(const JobPtr& aJob, SubmitStatus aStatus)
{
  aJob->result_.status_ = aStatus;
  const SubmitHandler handler = std::exchange(aJob->handler_, nullptr);
  handler(aJob->result_);
}

void
ConfigStore::readHead(const JobPtr& aJob)
{
  store_.get(
    kHeadKey,
    StorePriority::kConfiguration,
    [this, aJob](const StoreReply& aReply) { handleHead(aJob, aReply); });
}

void
ConfigStore::handleHead(const JobPtr& aJob, const StoreReply& aReply)
{
  aJob->head_ = ConfigHead();
  aJob->revision_ = aReply.revision_;
  if (aReply.status_ == StoreStatus::kOk) {
    const std::optional<ConfigHead> head = decodeHead(aReply.value_);
    if (!head) {
      aJob->result_.errors_.push_back({ kHeadKey, 0, "", "cannot be decoded" });
      finish(aJob, SubmitStatus::kRefused);
      return;
    }
    aJob->head_ = *head;
  } else if (aReply.status_ != StoreStatus::kNotFound) {
    retry(aJob);
    return;
  }
  aJob->result_.generation_ = aJob->head_.generation_;
  for (const CommittedSubmission& item : aJob->head_.recent_) {
    if (item.submission_ == aJob->submission_.id_) {
      aJob->result_.generation_ = item.generation_;
      finish(aJob, SubmitStatus::kCommitted);
      return;
    }
  }
  if (aJob->head_.generation_ < newestKnown_()) {
    // The store returned an old revision, as the generation is older than the
    // newest one known to this daemon.
    retry(aJob);
  } else if (aJob->head_.generation_ != aJob->submission_.base_) {
    collectChanges(aJob);
  } else {
    loadAndCheck(aJob);
  }
}

void
ConfigStore::loadAndCheck(const JobPtr& aJob)
{
  loader_.load(aJob->head_,
               [this, aJob](const std::optional<state::DocumentTexts>& aTexts) {
                 if (aTexts) {
                   applyChange(aJob, *aTexts);
                 } else {
                   retry(aJob);
                 }
               });
}

void
ConfigStore::applyChange(const JobPtr& aJob, state::DocumentTexts aTexts)
{
  std::vector<state::InputError>& errors = aJob->result_.errors_;
  const Submission& submission = aJob->submission_;
  for (const std::string& name : submission.remove_) {
    if (aTexts.erase(name) == 0) {
      errors.push_back({ name, 0, "", "cannot be removed: does not exist" });
    }
  }
  for (const auto& [name, text] : submission.put_) {
    aTexts[name] = text;
  }
  state::leaf::try_handle_all(
    [&]() -> state::leaf::result<void> {
      BOOST_LEAF_AUTO(
        configuration,
        state::decodeConfiguration(submission.base_.next(), aTexts));
      const std::vector<state::InputError> faults = check_(configuration);
      errors.insert(errors.end(), faults.begin(), faults.end());
      return {};
    },
    [&](const state::InputErrors& aErrors) {
      errors.insert(
        errors.end(), aErrors.errors_.begin(), aErrors.errors_.end());
    },
    [&] {
      errors.push_back({ "", 0, "", "cannot be decoded" });
    });
  if (encodeHead(makeHead(*aJob)).size() > kMaxHeadBytes) {
    errors.push_back({ kHeadKey, 0, "", "has too many documents" });
  }
  if (!errors.empty()) {
    finish(aJob, SubmitStatus::kRefused);
    return;
  }
  aJob->unwritten_.clear();
  for (const auto& [name, text] : submission.put_) {
    aJob->unwritten_[state::sha256Hex(text)] = text;
  }
  writeDocuments(aJob);
}

void
ConfigStore::writeDocuments(const JobPtr& aJob)
{
  if (aJob->unwritten_.empty()) {
    archivePrevious(aJob);
    return;
  }
  const auto first = aJob->unwritten_.begin();
  const std::string digest = first->first;
  store_.compareAndSwap(documentKey(digest),
                        state::Revision(),
                        first->second,
                        StorePriority::kConfiguration,
                        [this, aJob, digest](const StoreReply& aReply) {
                          // The key is the digest of the text, so a conflict
                          // means that the same text is stored already.
                          const bool stored =
                            aReply.status_ == StoreStatus::kOk ||
                            aReply.status_ == StoreStatus::kConflict;
                          if (stored) {
                            aJob->unwritten_.erase(digest);
                            writeDocuments(aJob);
                          } else {
                            retry(aJob);
                          }
                        });
}

void
ConfigStore::archivePrevious(const JobPtr& aJob)
{
  const ConfigHead& head = aJob->head_;
  if (head.generation_ == state::Generation()) {
    swapHead(aJob);
    return;
  }
  store_.get(
    historyKey(head.generation_),
    StorePriority::kConfiguration,
    [this, aJob](const StoreReply& aReply) { handleArchived(aJob, aReply); });
}

void
ConfigStore::handleArchived(const JobPtr& aJob, const StoreReply& aReply)
{
  const bool succeeded = aReply.status_ == StoreStatus::kOk ||
                         aReply.status_ == StoreStatus::kNotFound;
  if (!succeeded) {
    retry(aJob);
    return;
  }
  const std::optional<ConfigChange> archived = decodeChange(aReply.value_);
  if (archived && archived->generation_ >= aJob->head_.generation_) {
    swapHead(aJob);
    return;
  }
  store_.compareAndSwap(historyKey(aJob->head_.generation_),
                        aReply.revision_,
                        encodeChange(aJob->head_.change_),
                        StorePriority::kConfiguration,
                        [this, aJob](const StoreReply& aWritten) {
                          // A conflict means that the record is archived
                          // already: each daemon that commits onto this head
                          // archives the same record.
                          const bool stored =
                            aWritten.status_ == StoreStatus::kOk ||
                            aWritten.status_ == StoreStatus::kConflict;
                          if (stored) {
                            swapHead(aJob);
                          } else {
                            retry(aJob);
                          }
                        });
}

ConfigHead
ConfigStore::makeHead(const Job& aJob) const
{
  ConfigHead head = aJob.head_;
  const state::Generation generation = head.generation_.next();
  const std::string previous = head.generation_ == state::Generation()
                                 ? std::string()
                                 : state::sha256Hex(encodeChange(head.change_));
  head.generation_ = generation;
  head.change_ = aJob.result_.ours_;
  head.change_.previous_ = previous;
  for (DocumentChange& change : head.change_.documents_) {
    const auto before = head.documents_.find(change.name_);
    if (before != head.documents_.end()) {
      change.before_ = before->second.digest_;
    }
    if (change.after_.empty()) {
      head.documents_.erase(change.name_);
    } else if (change.before_ != change.after_) {
      head.documents_[change.name_] = { change.after_, generation };
    }
  }
  head.recent_.push_back({ aJob.submission_.id_, generation });
  if (head.recent_.size() > kMaxRecent) {
    head.recent_.erase(head.recent_.begin());
  }
  return head;
}

void
ConfigStore::swapHead(const JobPtr& aJob)
{
  const ConfigHead head = makeHead(*aJob);
  aJob->result_.ours_ = head.change_;
  store_.compareAndSwap(
    kHeadKey,
    aJob->revision_,
    encodeHead(head),
    StorePriority::kConfiguration,
    [this, aJob](const StoreReply& aReply) { handleSwap(aJob, aReply); });
}

void
ConfigStore::handleSwap(const JobPtr& aJob, const StoreReply& aReply)
{
  switch (aReply.status_) {
    case StoreStatus::kOk:
      aJob->result_.generation_ = aJob->result_.ours_.generation_;
      finish(aJob, SubmitStatus::kCommitted);
      return;
    case StoreStatus::kConflict:
    case StoreStatus::kNotFound:
      readHead(aJob);
      return;
    case StoreStatus::kUnknown:
      aJob->ambiguous_ = true;
      retry(aJob);
      return;
    case StoreStatus::kUnavailable:
      retry(aJob);
      return;
  }
}

void
ConfigStore::collectChanges(const JobPtr& aJob)
{
  const std::uint64_t newest = aJob->head_.generation_.value();
  const std::uint64_t base = aJob->submission_.base_.value();
  const std::uint64_t oldest = std::max(
    base + 1,
    newest > kMaxConflictChanges ? newest - kMaxConflictChanges + 1 : 1);
  readChanges(
    state::Generation(newest == 0 ? 0 : newest - 1),
    state::Generation(oldest),
    { aJob->head_.change_ },
    [this, aJob](const std::optional<std::vector<ConfigChange>>& aChanges) {
      if (!aChanges) {
        retry(aJob);
        return;
      }
      for (const ConfigChange& change : *aChanges) {
        if (change.submission_ == aJob->submission_.id_) {
          aJob->result_.generation_ = change.generation_;
          finish(aJob, SubmitStatus::kCommitted);
          return;
        }
      }
      aJob->result_.theirs_ = *aChanges;
      finish(aJob, SubmitStatus::kConflict);
    });
}

void
ConfigStore::history(std::size_t aCount, HistoryHandler aHandler)
{
  store_.get(
    kHeadKey,
    StorePriority::kOther,
    [this, aCount, handler = std::move(aHandler)](const StoreReply& aReply) {
      if (aReply.status_ == StoreStatus::kNotFound) {
        handler(std::vector<ConfigChange>{});
        return;
      }
      const std::optional<ConfigHead> head = decodeHead(aReply.value_);
      if (aReply.status_ != StoreStatus::kOk || !head) {
        handler(std::nullopt);
        return;
      }
      const std::uint64_t newest = head->generation_.value();
      const std::uint64_t oldest = newest > aCount ? newest - aCount + 1 : 1;
      readChanges(state::Generation(newest - 1),
                  state::Generation(oldest),
                  { head->change_ },
                  handler);
    });
}

void
ConfigStore::readChanges(state::Generation aFrom,
                         state::Generation aDownTo,
                         std::vector<ConfigChange> aRead,
                         HistoryHandler aHandler)
{
  if (aFrom < aDownTo || aFrom == state::Generation()) {
    aHandler(aRead);
    return;
  }
  store_.get(historyKey(aFrom),
             StorePriority::kOther,
             [this,
              aFrom,
              aDownTo,
              read = std::move(aRead),
              handler = std::move(aHandler)](const StoreReply& aReply) mutable {
               if (aReply.status_ == StoreStatus::kUnavailable ||
                   aReply.status_ == StoreStatus::kUnknown) {
                 handler(std::nullopt);
                 return;
               }
               const std::optional<ConfigChange> change =
                 decodeChange(aReply.value_);
               if (!change || change->generation_ != aFrom) {
                 // The record has been overwritten, so older ones are gone too.
                 handler(read);
                 return;
               }
               read.push_back(*change);
               readChanges(state::Generation(aFrom.value() - 1),
                           aDownTo,
                           std::move(read),
                           std::move(handler));
             });
}

} // namespace auburnhaven::coordination
