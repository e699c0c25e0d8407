// What targets have told this daemon of themselves in their answers.
#pragma once

#include "state/id_type.h"
#include "state/time_type.h"

#include <cstdint>
#include <map>

namespace auburnhaven::coordination {

/**
 * Remembers which targets said in an answer that they leave, or that they want
 * no requests for some time. Outlives what is known of a target otherwise, so
 * that a target that is listed again is not used again; ends with the life that
 * the notice was of. One thread at a time.
 */
class TargetNotices
{
public:
  /** @param aClock Clock; outlives this object. */
  explicit TargetNotices(const state::Clock& aClock);

  /**
   * Notes that a target leaves.
   * @param aVm The target.
   * @param aBornAtMs Start of its life as registered; 0 when it is not known.
   */
  void noteLeaving(const state::VmId& aVm, std::uint64_t aBornAtMs);
  /**
   * Notes that a target wants no requests for some time.
   * @param aVm The target.
   * @param aBornAtMs As for noteLeaving().
   * @param aRest How long.
   */
  void notePause(const state::VmId& aVm,
                 std::uint64_t aBornAtMs,
                 state::Duration aRest);
  /**
   * Notes the life that a target is registered with. Another life ends what an
   * earlier one has told.
   * @param aVm The target.
   * @param aBornAtMs Start of its life; 0 when it is not known.
   */
  void noteIncarnation(const state::VmId& aVm, std::uint64_t aBornAtMs);
  /** @return Whether a target has said that it leaves. @param aVm The target.
   */
  bool isLeaving(const state::VmId& aVm) const;
  /**
   * @param aVm A target.
   * @return The time before which it wants no requests; long ago for none.
   */
  state::TimePoint pausedUntil(const state::VmId& aVm) const;

private:
  /** What a target has told. */
  struct Notice
  {
    std::uint64_t bornAtMs_ = 0;    ///< Its life; 0 when not known.
    bool leaving_ = false;          ///< Whether it leaves.
    state::TimePoint restsUntil_{}; ///< Wants no requests before.
    state::TimePoint notedAt_{};    ///< Newest notice.
  };

  Notice& noticeOf(const state::VmId& aVm, std::uint64_t aBornAtMs);
  void forgetOld();

  const state::Clock& clock_;             ///< Clock.
  std::map<state::VmId, Notice> notices_; ///< By target.
};

} // namespace auburnhaven::coordination
