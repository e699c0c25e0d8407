// Loads the documents that a head of the configuration refers to.

#include "coordination/fleet/config_loader.h"

#include "state/digest_func.h"

#include <utility>
#include <vector>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kMaxConcurrentReads =
  8; ///< Concurrent reads for one head.

} // namespace

/** Load of one head in progress. */
struct ConfigLoader::Job
{
  ConfigHead head_;                  ///< The head.
  LoadHandler handler_;              ///< Receives the texts.
  std::vector<std::string> missing_; ///< Digests of texts not yet requested.
  std::size_t pendingReads_ = 0;     ///< Reads without a reply yet.
  bool failed_ = false;              ///< Whether a read has failed.
};

ConfigLoader::ConfigLoader(Store& aStore, LocalTexts aLocal)
  : store_(aStore)
  , localTexts_(std::move(aLocal))
{
}

void
ConfigLoader::load(const ConfigHead& aHead, LoadHandler aHandler)
{
  auto job = std::make_shared<Job>();
  job->head_ = aHead;
  job->handler_ = std::move(aHandler);
  for (const auto& [name, ref] : aHead.documents_) {
    if (cache_.contains(ref.digest_)) {
      continue;
    }
    const std::optional<std::string> local = localTexts_(name, ref.digest_);
    if (local) {
      cache_[ref.digest_] = *local;
    } else {
      job->missing_.push_back(ref.digest_);
    }
  }
  readMissing(job);
}

void
ConfigLoader::readMissing(const std::shared_ptr<Job>& aJob)
{
  while (!aJob->failed_ && !aJob->missing_.empty() &&
         aJob->pendingReads_ < kMaxConcurrentReads) {
    const std::string digest = aJob->missing_.back();
    aJob->missing_.pop_back();
    ++aJob->pendingReads_;
    store_.get(documentKey(digest),
               StorePriority::kConfiguration,
               [this, aJob, digest](const StoreReply& aReply) {
                 --aJob->pendingReads_;
                 const bool valid = aReply.status_ == StoreStatus::kOk &&
                                    state::sha256Hex(aReply.value_) == digest;
                 if (valid) {
                   cache_[digest] = aReply.value_;
                 }
                 aJob->failed_ = aJob->failed_ || !valid;
                 readMissing(aJob);
               });
  }
  if (aJob->pendingReads_ == 0) {
    finish(aJob);
  }
}

void
ConfigLoader::finish(const std::shared_ptr<Job>& aJob)
{
  const LoadHandler handler = std::exchange(aJob->handler_, nullptr);
  if (!handler) {
    return;
  }
  if (aJob->failed_) {
    handler(std::nullopt);
    return;
  }
  state::DocumentTexts texts;
  std::map<std::string, std::string> kept;
  for (const auto& [name, ref] : aJob->head_.documents_) {
    const std::string& text = cache_.at(ref.digest_);
    texts[name] = text;
    kept[ref.digest_] = text;
  }
  cache_ = std::move(kept);
  handler(texts);
}

} // namespace auburnhaven::coordination
