// Reads the documents that a head of the configuration names.
#pragma once

#include "coordination/fleet/config_head_type.h"
#include "coordination/store_port.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** Reads documents from the store and keeps those of the last head. Control
 * thread only. */
class ConfigLoader
{
public:
  using LoadHandler = std::function<void(
    const std::optional<state::DocumentTexts>&)>; ///< Takes the texts by name,
                                                  ///< or nothing on failure.

  /** Gives the text of a document by name and digest, when it is known. */
  using LocalTexts =
    std::function<std::optional<std::string>(const std::string&,
                                             const std::string&)>;

  /**
   * @param aStore The store; must outlive this object.
   * @param aLocal Texts that need not be read from the store.
   */
  ConfigLoader(Store& aStore, LocalTexts aLocal);

  /**
   * Reads what is not known of a head's documents.
   * @param aHead The head.
   * @param aHandler Takes the texts, maybe before this returns.
   */
  void load(const ConfigHead& aHead, LoadHandler aHandler);

private:
  struct Job;

  void next(const std::shared_ptr<Job>& aJob);
  void finish(const std::shared_ptr<Job>& aJob);

  Store& store_;                             ///< The store.
  LocalTexts local_;                         ///< Texts known elsewhere.
  std::map<std::string, std::string> texts_; ///< Known texts by digest.
};

} // namespace auburnhaven::coordination
