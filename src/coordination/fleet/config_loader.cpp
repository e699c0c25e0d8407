// Reads the documents that a head of the configuration names.

#include "coordination/fleet/config_loader.h"

#include "state/digest_func.h"

#include <utility>
#include <vector>

namespace auburnhaven::coordination {

namespace {

constexpr std::size_t kReadsAtOnce = 8; ///< Reads under way for one head.

} // namespace

/** Documents of one head that are being read. */
struct ConfigLoader::Job
{
  ConfigHead head_;                  ///< The head.
  LoadHandler handler_;              ///< Takes the texts.
  std::vector<std::string> missing_; ///< Digests still to ask for.
  std::size_t waiting_ = 0;          ///< Answers awaited.
  bool failed_ = false;              ///< Whether a read has failed.
};

ConfigLoader::ConfigLoader(Store& aStore, LocalTexts aLocal)
  : store_(aStore)
  , local_(std::move(aLocal))
{
}

void
ConfigLoader::load(const ConfigHead& aHead, LoadHandler aHandler)
{
  auto job = std::make_shared<Job>();
  job->head_ = aHead;
  job->handler_ = std::move(aHandler);
  for (const auto& [name, ref] : aHead.documents_) {
    if (texts_.contains(ref.digest_)) {
      continue;
    }
    const std::optional<std::string> local = local_(name, ref.digest_);
    if (local) {
      texts_[ref.digest_] = *local;
    } else {
      job->missing_.push_back(ref.digest_);
    }
  }
  next(job);
}

void
ConfigLoader::next(const std::shared_ptr<Job>& aJob)
{
  while (!aJob->failed_ && !aJob->missing_.empty() &&
         aJob->waiting_ < kReadsAtOnce) {
    const std::string digest = aJob->missing_.back();
    aJob->missing_.pop_back();
    ++aJob->waiting_;
    store_.get(documentKey(digest),
               StorePriority::kConfiguration,
               [this, aJob, digest](const StoreReply& aReply) {
                 --aJob->waiting_;
                 const bool sound = aReply.status_ == StoreStatus::kOk &&
                                    state::sha256Hex(aReply.value_) == digest;
                 if (sound) {
                   texts_[digest] = aReply.value_;
                 }
                 aJob->failed_ = aJob->failed_ || !sound;
                 next(aJob);
               });
  }
  if (aJob->waiting_ == 0) {
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
    const std::string& text = texts_.at(ref.digest_);
    texts[name] = text;
    kept[ref.digest_] = text;
  }
  texts_ = std::move(kept);
  handler(texts);
}

} // namespace auburnhaven::coordination
