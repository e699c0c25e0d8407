// Stand-in for one worker of a plain service on the users' platform.
#pragma once

#include "fault_controls.h"
#include "platform/model_worker.h"
#include "platform/run_book.h"

#include <atomic>
#include <cstdint>

namespace auburnhaven::standins {

/** One worker of a plain service. One thread. */
class PlainWorker
{
public:
  /**
   * @param aPlace Where it is.
   * @param aSlots Requests at once.
   * @param aBook Runs and breaches; outlives this object.
   */
  PlainWorker(WorkerPlace aPlace, std::uint32_t aSlots, RunBook& aBook);
  /** @param aExchange The call to answer. */
  void handle(Exchange& aExchange);
  /** @return Its entry in the store. */
  std::string entry() const;

private:
  void serve(Exchange& aExchange);
  void answer(Exchange& aExchange, const std::string& aAttempt);

  const WorkerPlace place_;                ///< Where it is.
  const std::uint32_t slots_;              ///< Requests at once.
  RunBook& book_;                          ///< Runs and breaches.
  FaultControls faults_;                   ///< Faults.
  std::uint32_t garble_ = 0;               ///< Next answers that are none.
  std::uint32_t oddHeads_ = 0;             ///< Next answers with odd heads.
  std::uint32_t floods_ = 0;               ///< Next answers without end.
  bool leaving_ = false;                   ///< Whether its answers say so.
  std::uint32_t restSeconds_ = 0;          ///< Rest that it wants with each
                                           ///< refusal; 0 to refuse nothing.
  std::atomic<std::uint32_t> running_ = 0; ///< Requests that run.
};

} // namespace auburnhaven::standins
