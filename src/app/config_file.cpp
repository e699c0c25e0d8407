// Reads a configuration from the TOML file that operators keep.

#include "app/config_file.h"

#include "app/config_file_fields.h"
#include "app/file_func.h"
#include "state/config_check.h"

#include <algorithm>
#include <map>
#include <set>

namespace auburnhaven::app {

namespace {

using LineByKey = std::map<std::string, int>; ///< Line of each key path.

/** Notes the lines of a table's keys below a path. */
void
noteLines(const toml::table& aTable,
          const std::string& aPath,
          LineByKey& aLines)
{
  aLines[aPath] = static_cast<int>(aTable.source().begin.line);
  for (const auto& [key, node] : aTable) {
    const std::string path = aPath + '.' + std::string(key.str());
    aLines[path] = static_cast<int>(node.source().begin.line);
    if (const toml::table* table = node.as_table()) {
      noteLines(*table, path, aLines);
    }
  }
}

/** @return Lines of all objects of a file by the key paths of the check. */
LineByKey
linesOf(const toml::table& aFile)
{
  LineByKey lines;
  for (const auto& [key, node] : aFile) {
    const std::string path(key.str());
    if (const toml::table* table = node.as_table()) {
      noteLines(*table, path, lines);
    }
    const toml::array* items = node.as_array();
    for (std::size_t index = 0; items != nullptr && index < items->size();
         ++index) {
      const toml::table* item = items->get(index)->as_table();
      if (item != nullptr) {
        std::string itemPath = path;
        itemPath += '.';
        itemPath += (*item)["id"].value_or(std::string());
        noteLines(*item, itemPath, lines);
      }
    }
  }
  return lines;
}

/** @return Line of the nearest key path above or at the given one. */
int
lineOf(const LineByKey& aLines, std::string aKey)
{
  while (!aKey.empty()) {
    const auto found = aLines.find(aKey);
    if (found != aLines.end()) {
      return found->second;
    }
    const std::size_t dot = aKey.rfind('.');
    aKey.resize(dot == std::string::npos ? 0 : dot);
  }
  return 0;
}

/** Moves objects into a map by identifier; a second one of a name is a fault.
 */
template<class Object, class Id>
void
takeObjects(std::vector<Object>& aObjects,
            const toml::table& aFile,
            const std::string& aKey,
            std::map<Id, Object>& aMap,
            FaultList& aFaults)
{
  const toml::array* items = aFile[aKey].as_array();
  for (std::size_t index = 0; index < aObjects.size(); ++index) {
    const Id id = aObjects[index].id_;
    const bool isNew = aMap.emplace(id, std::move(aObjects[index])).second;
    if (!isNew && !id.empty()) {
      aFaults.add(
        *items->get(index), aKey, "'" + id.value() + "' occurs twice");
    }
  }
}

/** Sorts the lists whose order means nothing. */
void
sortLists(state::Configuration& aConfiguration)
{
  for (auto& [id, group] : aConfiguration.groups_) {
    std::sort(group.adapters_.begin(), group.adapters_.end());
    std::sort(group.accounts_.begin(), group.accounts_.end());
  }
  for (auto& [id, service] : aConfiguration.services_) {
    std::sort(service.accounts_.begin(), service.accounts_.end());
  }
}

/** Reads all tables of a file. */
state::Configuration
readFileTables(const toml::table& aTable, FaultList& aFaults)
{
  ConfigurationFile file;
  readTable(aTable, file, aFaults);
  state::Configuration configuration;
  configuration.policy_ = file.policy_;
  takeObjects(
    file.accounts_, aTable, "accounts", configuration.accounts_, aFaults);
  takeObjects(file.groups_, aTable, "groups", configuration.groups_, aFaults);
  takeObjects(
    file.services_, aTable, "services", configuration.services_, aFaults);
  sortLists(configuration);
  return configuration;
}

/** Adds the faults of the meaning on lines that have no fault of the form. */
void
addCheckFaults(const LineByKey& aLines,
               const state::Configuration& aConfiguration,
               FaultList& aFaults)
{
  std::set<int> taken;
  for (const state::InputError& error : aFaults.sorted()) {
    taken.insert(error.line_);
  }
  for (const auto& error : state::checkConfiguration(aConfiguration)) {
    const int line = lineOf(aLines, error.key_);
    if (taken.count(line) == 0) {
      aFaults.addAt(line, error.key_, error.message_);
    }
  }
}

} // namespace

state::leaf::result<state::Configuration>
parseConfiguration(const std::string& aText, const std::string& aSource)
{
  FaultList faults(aSource);
  state::Configuration configuration;
  const std::optional<toml::table> table = parseToml(aText, faults);
  if (table) {
    configuration = readFileTables(*table, faults);
  }
  if (table) {
    addCheckFaults(linesOf(*table), configuration, faults);
  }
  if (!faults.empty()) {
    return state::leaf::new_error(state::InputErrors{ faults.sorted() });
  }
  return configuration;
}

state::leaf::result<state::Configuration>
readConfigurationFile(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, readFile(aPath));
  return parseConfiguration(text, aPath);
}

} // namespace auburnhaven::app
