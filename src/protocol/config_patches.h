// Patches that lead from earlier versions of the configuration to the newest.
#pragma once

#include "state/id_type.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace auburnhaven::protocol {

/** How a reader of one version gets to the newest. */
struct PatchWay
{
  state::Generation from_;           ///< Version that the first patch needs;
                                     ///< none when it needs no text.
  std::vector<std::string> patches_; ///< Patches to apply in order.
  bool operator==(const PatchWay&) const = default;
};

/**
 * Keeps what changed between the newest versions, so that what many readers are
 * told costs as much as the change and is worked out once. Keeps nothing while
 * nobody asks. Control thread only.
 */
class ConfigPatches
{
public:
  /**
   * Notes that a version has been replaced.
   * @param aFrom The version replaced.
   * @param aOld Its text.
   * @param aTo The newer version.
   * @param aNew Its text.
   */
  void replaced(state::Generation aFrom,
                const std::string& aOld,
                state::Generation aTo,
                const std::string& aNew);
  /**
   * @param aKnown Version that the reader has; none for no version.
   * @param aNewest The newest version.
   * @param aText Its text.
   * @return Patches from the version known where these are kept, else one that
   * needs no text; the shorter of both where they are long.
   */
  PatchWay wayFrom(state::Generation aKnown,
                   state::Generation aNewest,
                   const std::string& aText);

private:
  /** A change between two versions that followed each other. */
  struct Step
  {
    state::Generation from_; ///< The earlier version.
    state::Generation to_;   ///< The later one.
    std::string patch_;      ///< The change.
  };
  /** A version without a base. */
  struct Whole
  {
    state::Generation version_; ///< The version.
    std::string patch_;         ///< The whole text, compressed.
  };

  PatchWay stepsFrom(state::Generation aKnown, state::Generation aNewest) const;
  const std::string& wholePatch(state::Generation aNewest,
                                const std::string& aText);

  std::deque<Step> steps_;     ///< Newest changes, without a gap.
  std::optional<Whole> whole_; ///< The newest version that was asked for whole.
  std::size_t unasked_ = kUnaskedSteps; ///< Changes since somebody asked.

  static constexpr std::size_t kUnaskedSteps =
    16; ///< Changes after which nothing is kept for those who may ask.
};

} // namespace auburnhaven::protocol
