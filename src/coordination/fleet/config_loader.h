// Loads the documents that a head of the configuration refers to.
#pragma once

#include "coordination/fleet/config_head_type.h"
#include "coordination/store_port.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnhaven::coordination {

/** Loads documents from the store and caches those of the head last loaded.
 * Control thread only. */
class ConfigLoader
{
public:
  using LoadHandler = std::function<void(
    const std::optional<state::DocumentTexts>&)>; ///< Receives the texts by
                                                  ///< document name, or nothing
                                                  ///< on failure.

  /** Finds a text that this daemon holds, by document name and digest. */
  using LocalTexts =
    std::function<std::optional<std::string>(const std::string&,
                                             const std::string&)>;

  /**
   * @param aStore Store to read from; must outlive this object.
   * @param aLocal Finds texts that need not be read from the store.
   */
  ConfigLoader(Store& aStore, LocalTexts aLocal);

  /**
   * Loads all documents of a head; reads from the store only those that are
   * neither cached nor held by this daemon.
   * @param aHead The head.
   * @param aHandler Called once with the texts; may be called before this
   * function returns.
   */
  void load(const ConfigHead& aHead, LoadHandler aHandler);

private:
  struct Job;

  void readMissing(const std::shared_ptr<Job>& aJob);
  void finish(const std::shared_ptr<Job>& aJob);

  Store& store_;          ///< Store to read from.
  LocalTexts localTexts_; ///< Finds texts held by this daemon.
  std::map<std::string, std::string>
    cache_; ///< Texts of the head last loaded, by digest.
};

} // namespace auburnhaven::coordination
