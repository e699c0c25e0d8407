// Commits changes of the configuration and tells what became of them.
#pragma once

#include "coordination/fleet/config_loader.h"
#include "state/config_type.h"
#include "state/error_type.h"

#include <functional>
#include <memory>
#include <vector>

namespace auburnhaven::coordination {

/** How a submission ended. */
enum class SubmitStatus : std::uint8_t
{
  kCommitted,   ///< In the store, now or by an earlier attempt.
  kConflict,    ///< Another change came first; nothing of this one is in.
  kRefused,     ///< The configuration would be faulty; nothing is in.
  kUnavailable, ///< The store cannot be reached; nothing is in.
  kUnknown,     ///< May be in; repeating the submission tells.
};

/** What became of a submission. */
struct SubmitResult
{
  SubmitStatus status_ = SubmitStatus::kUnavailable; ///< How it ended.
  state::Generation generation_;          ///< Generation made, or present one.
  std::vector<state::InputError> errors_; ///< Why it was refused.
  ConfigChange ours_;                     ///< The change as submitted.
  std::vector<ConfigChange> theirs_; ///< On a conflict: changes since its base.
  bool operator==(const SubmitResult&) const = default;
};

/** Checks a whole configuration; gives all its faults. */
using ConfigCheck =
  std::function<std::vector<state::InputError>(const state::Configuration&)>;

/**
 * Commits changes by one compare-and-swap of the head. All documents are
 * written before, under their digests; the record of the change before is
 * archived before the head that held it is replaced. Control thread only.
 */
class ConfigStore
{
public:
  using SubmitHandler =
    std::function<void(const SubmitResult&)>; ///< Takes the result.
  using HistoryHandler = std::function<void(
    const std::optional<std::vector<ConfigChange>>&)>; ///< Takes changes,
                                                       ///< newest first, or
                                                       ///< nothing on failure.
  using KnownGeneration =
    std::function<state::Generation()>; ///< Gives the greatest known one.

  /**
   * @param aStore The store; must outlive this object.
   * @param aClock Source of time; must outlive this object.
   * @param aCheck Checks a configuration before it is committed.
   * @param aKnown Gives the greatest generation that any daemon has told of.
   * @param aLocal Texts of documents that this daemon holds.
   */
  ConfigStore(Store& aStore,
              const state::Clock& aClock,
              ConfigCheck aCheck,
              KnownGeneration aKnown,
              ConfigLoader::LocalTexts aLocal);

  /**
   * Submits a change. The handler runs once.
   * @param aSubmission The change.
   * @param aHandler Takes the result.
   */
  void submit(const Submission& aSubmission, SubmitHandler aHandler);
  /**
   * Reads the newest changes.
   * @param aCount How many at most.
   * @param aHandler Takes them.
   */
  void history(std::size_t aCount, HistoryHandler aHandler);
  /** Repeats calls whose answers were lost. Call at each tick. */
  void tick();

private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void readHead(const JobPtr& aJob);
  void takeHead(const JobPtr& aJob, const StoreReply& aReply);
  void check(const JobPtr& aJob);
  void takeTexts(const JobPtr& aJob, state::DocumentTexts aTexts);
  void writeDocuments(const JobPtr& aJob);
  void archive(const JobPtr& aJob);
  void takeArchived(const JobPtr& aJob, const StoreReply& aReply);
  void swapHead(const JobPtr& aJob);
  void takeSwap(const JobPtr& aJob, const StoreReply& aReply);
  void gather(const JobPtr& aJob);
  void retry(const JobPtr& aJob);
  void finish(const JobPtr& aJob, SubmitStatus aStatus);
  ConfigHead makeHead(const Job& aJob) const;
  void readChanges(state::Generation aFrom,
                   state::Generation aDownTo,
                   std::vector<ConfigChange> aRead,
                   HistoryHandler aHandler);

  Store& store_;              ///< The store.
  const state::Clock& clock_; ///< Source of time.
  ConfigLoader loader_;       ///< Reads documents.
  ConfigCheck check_;         ///< Checks a configuration.
  KnownGeneration known_;     ///< Greatest generation heard of.
  std::vector<std::pair<state::TimePoint, JobPtr>>
    delayed_; ///< Submissions that wait for another attempt.
};

} // namespace auburnhaven::coordination
