// Commits changes of the configuration and reports their results.
#pragma once

#include "coordination/fleet/config_loader.h"
#include "state/config_type.h"
#include "state/error_type.h"

#include <functional>
#include <memory>
#include <vector>

namespace auburnhaven::coordination {

/** Result of a submission. */
enum class SubmitStatus : std::uint8_t
{
  kCommitted, ///< Committed, by this or an earlier attempt.
  kConflict,  ///< Another change was committed first; this one had no effect.
  kRefused,   ///< The configuration would be invalid; the change had no effect.
  kUnavailable, ///< The store cannot be reached; the change had no effect.
  kUnknown, ///< May have been committed; repeating the submission tells which.
};

/** Result of a submission with details. */
struct SubmitResult
{
  SubmitStatus status_ = SubmitStatus::kUnavailable; ///< Result.
  state::Generation
    generation_; ///< Generation that was made, or else the present one.
  std::vector<state::InputError> errors_; ///< Reasons for a refusal.
  ConfigChange ours_;                     ///< The change as submitted.
  std::vector<ConfigChange>
    theirs_; ///< On a conflict: changes committed since its base, newest first.
  bool operator==(const SubmitResult&) const = default;
};

/** Checks a whole configuration and returns all its faults. */
using ConfigCheck =
  std::function<std::vector<state::InputError>(const state::Configuration&)>;

/**
 * Commits each change by one compare-and-swap of the head. Before that, it
 * writes all new documents under their digests and archives the record of the
 * previous change, because replacing the head removes that record from it.
 * Control thread only.
 */
class ConfigStore
{
public:
  using SubmitHandler =
    std::function<void(const SubmitResult&)>; ///< Receives the result.
  using HistoryHandler = std::function<void(
    const std::optional<std::vector<ConfigChange>>&)>; ///< Receives changes,
                                                       ///< newest first, or
                                                       ///< nothing on failure.
  using KnownGeneration =
    std::function<state::Generation()>; ///< Returns the newest known
                                        ///< generation.

  /**
   * @param aStore Store of the configuration; must outlive this object.
   * @param aClock Source of time; must outlive this object.
   * @param aCheck Checks a configuration before it is committed.
   * @param aNewestKnown Returns the newest generation that any daemon has
   * announced.
   * @param aLocal Finds texts of documents that this daemon holds.
   */
  ConfigStore(Store& aStore,
              const state::Clock& aClock,
              ConfigCheck aCheck,
              KnownGeneration aNewestKnown,
              ConfigLoader::LocalTexts aLocal);

  /**
   * Submits a change. A submission whose identifier was committed recently is
   * reported as committed and not applied again.
   * @param aSubmission The change.
   * @param aHandler Called once with the result.
   */
  void submit(const Submission& aSubmission, SubmitHandler aHandler);
  /**
   * Reads the newest changes.
   * @param aCount Largest number of changes to read; at least 1.
   * @param aHandler Called once with the changes.
   */
  void history(std::size_t aCount, HistoryHandler aHandler);
  /** Retries submissions whose store calls failed or were not answered. Call at
   * each tick. */
  void tick();

private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void readHead(const JobPtr& aJob);
  void handleHead(const JobPtr& aJob, const StoreReply& aReply);
  void loadAndCheck(const JobPtr& aJob);
  void applyChange(const JobPtr& aJob, state::DocumentTexts aTexts);
  void writeDocuments(const JobPtr& aJob);
  void archivePrevious(const JobPtr& aJob);
  void handleArchived(const JobPtr& aJob, const StoreReply& aReply);
  void swapHead(const JobPtr& aJob);
  void handleSwap(const JobPtr& aJob, const StoreReply& aReply);
  void collectChanges(const JobPtr& aJob);
  void retry(const JobPtr& aJob);
  void finish(const JobPtr& aJob, SubmitStatus aStatus);
  ConfigHead makeHead(const Job& aJob) const;
  void readChanges(state::Generation aFrom,
                   state::Generation aDownTo,
                   std::vector<ConfigChange> aRead,
                   HistoryHandler aHandler);

  Store& store_;                ///< Store of the configuration.
  const state::Clock& clock_;   ///< Source of time.
  ConfigLoader loader_;         ///< Loads documents of a head.
  ConfigCheck check_;           ///< Checks a configuration before its commit.
  KnownGeneration newestKnown_; ///< Returns the newest known generation.
  std::vector<std::pair<state::TimePoint, JobPtr>>
    delayed_; ///< Submissions to retry and when.
};

} // namespace auburnhaven::coordination
