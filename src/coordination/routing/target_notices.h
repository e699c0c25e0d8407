// Notices about themselves that targets have sent in their responses.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <map>

namespace auburnhaven::coordination {

/**
 * Remembers which targets announced in a response that they are shutting down
 * or that they want no requests for some time. A notice is kept even when the
 * target is otherwise forgotten, so that a target that is listed again does not
 * receive requests; it ends when the target registers with a new incarnation.
 * Not thread-safe.
 */
class TargetNotices
{
public:
  /** @param aClock Clock; outlives this object. */
  explicit TargetNotices(const state::Clock& aClock);

  /**
   * Notes that a target is shutting down.
   * @param aVm The target.
   * @param aBornAtMs Start of its registered incarnation; 0 when unknown.
   */
  void noteLeaving(const state::VmId& aVm, std::uint64_t aBornAtMs);
  /**
   * Notes that a target wants no requests for some time. A shorter pause does
   * not end a longer one.
   * @param aVm The target.
   * @param aBornAtMs As for noteLeaving().
   * @param aPause Length of the pause; 10 minutes at most are kept.
   */
  void notePause(const state::VmId& aVm,
                 std::uint64_t aBornAtMs,
                 state::Duration aPause);
  /**
   * Notes the registered incarnation of a target, which drops the notices of an
   * earlier one.
   * @param aVm The target.
   * @param aBornAtMs Start of the incarnation; 0 when unknown, which drops
   * nothing.
   */
  void noteIncarnation(const state::VmId& aVm, std::uint64_t aBornAtMs);
  /** @return Whether a target has announced its shutdown. @param aVm The
   * target. */
  bool isLeaving(const state::VmId& aVm) const;
  /**
   * @param aVm A target.
   * @return End of the pause that it asked for; a time in the past for none.
   */
  state::TimePoint pausedUntil(const state::VmId& aVm) const;

private:
  /** Notices of a target. */
  struct Notice
  {
    std::uint64_t bornAtMs_ = 0;     ///< Its incarnation; 0 when unknown.
    bool leaving_ = false;           ///< Whether it is shutting down.
    state::TimePoint pausedUntil_{}; ///< End of its pause.
    state::TimePoint notedAt_{};     ///< Time of the newest notice.
  };

  Notice& noticeOf(const state::VmId& aVm, std::uint64_t aBornAtMs);
  void pruneExpired();

  const state::Clock& clock_;             ///< Clock.
  std::map<state::VmId, Notice> notices_; ///< By target.
};

} // namespace auburnhaven::coordination
