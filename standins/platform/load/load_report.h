// Collects how the requests of the load client ended, and judges them.
#pragma once

#include "platform/load/daemon_board.h"
#include "platform/load/load_type.h"

#include <array>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace auburnhaven::standins {

/** What the workers tell of an attempt. */
struct AttemptRuns
{
  std::uint32_t runs_ = 0; ///< How often it began to run.
  LoadTime begunAt_;       ///< Begin of the latest run.
  LoadTime endedAt_;       ///< Latest end of a run; zero for none.
  LoadTime brokeOffAt_;    ///< Latest end by a worker itself; zero for none.
  LoadTime orderedAwayAt_; ///< Latest end by an order to a worker to leave the
                           ///< whole copy that it served; zero for none.
};

/** How the requests ended. One thread. */
class LoadReport
{
public:
  /** @param aBoard What the schedule did; outlives this object. */
  explicit LoadReport(const DaemonBoard& aBoard);

  /** Notes the end of an attempt. */
  void note(LoadOutcome aOutcome);
  /** @return Attempts whose runs matter for the judgement. */
  std::vector<std::string> attemptsToAskFor() const;
  /**
   * Judges all odd ends and prints counts, faults and findings.
   * @param aOut Takes the text.
   * @param aRuns What the workers tell of attemptsToAskFor().
   * @return Number of faults.
   */
  std::size_t judge(std::ostream& aOut,
                    const std::map<std::string, AttemptRuns>& aRuns) const;

private:
  /** The rule that an outcome breaks, or why it breaks none. */
  struct Verdict
  {
    bool fault_ = false;    ///< Whether a rule is broken.
    std::string_view name_; ///< Rule, or what was found.
  };

  Verdict verdictOf(const LoadOutcome& aOutcome,
                    const AttemptRuns& aRuns) const;
  Verdict verdictOfLoss(const LoadOutcome& aOutcome,
                        const AttemptRuns& aRuns) const;
  void print(std::ostream& aOut,
             const LoadOutcome& aOutcome,
             const AttemptRuns& aRuns,
             const Verdict& aVerdict) const;

  const DaemonBoard& board_;                    ///< What the schedule did.
  std::array<std::uint64_t, kLoadEnds> ends_{}; ///< Attempts by end.
  std::uint64_t retried_ = 0; ///< Refused requests that a later attempt served.
  std::uint64_t slowest_ = 0; ///< Longest whole answer, in milliseconds.
  std::vector<LoadOutcome> odd_; ///< Attempts that are judged one by one.
};

} // namespace auburnhaven::standins
