// Text that commands print for people.

#include "app/command_output.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>
#include <iomanip>
#include <set>

namespace auburnhaven::app {

namespace {

constexpr int kNameWidth = 24;                        ///< Column of names.
constexpr int kNumberWidth = 8;                       ///< Column of numbers.
constexpr std::int64_t kMillisecondsPerSecond = 1000; ///< In a second.

/** @return "serving" or the reason why not. */
std::string
stateText(bool aServing, const std::string& aWhyNot)
{
  return aServing ? "serving" : "not serving: " + aWhyNot;
}

} // namespace

void
printInputErrors(std::ostream& aOut, const state::InputErrors& aErrors)
{
  for (const state::InputError& error : aErrors.errors_) {
    aOut << error.source_;
    if (error.line_ > 0) {
      aOut << ':' << error.line_;
    }
    aOut << (error.source_.empty() ? "" : ": ") << error.key_
         << (error.key_.empty() ? "" : ": ") << error.message_ << '\n';
  }
}

std::string
timeText(state::WallTime aTime)
{
  const std::int64_t count = aTime.time_since_epoch().count();
  const std::time_t seconds = count / kMillisecondsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3)
       << std::setfill('0') << count % kMillisecondsPerSecond << 'Z';
  return text.str();
}

void
printHistory(std::ostream& aOut,
             const std::vector<protocol::HistoryEntry>& aEntries)
{
  for (const protocol::HistoryEntry& entry : aEntries) {
    aOut << std::left << std::setw(kNumberWidth) << entry.generation_.value()
         << timeText(entry.at_) << "  " << entry.author_ << ": "
         << entry.summary_ << '\n';
    for (const protocol::DocumentEntry& document : entry.documents_) {
      const bool added = document.before_.empty();
      const bool removed = document.after_.empty();
      aOut << "        "
           << (added     ? '+'
               : removed ? '-'
                         : '~')
           << ' ' << document.name_ << '\n';
    }
  }
}

void
printProgress(std::ostream& aOut, const protocol::ProgressReply& aProgress)
{
  aOut << "generation " << aProgress.generation_ << ": in force on "
       << aProgress.inForce_.size() << " daemons, " << aProgress.lagging_.size()
       << " lagging, " << aProgress.unreachable_.size() << " unreachable\n";
  for (const protocol::DaemonGeneration& daemon : aProgress.lagging_) {
    aOut << "  lagging " << daemon.id_ << " in zone " << daemon.zone_
         << " at generation " << daemon.generation_ << '\n';
  }
  for (const protocol::DaemonGeneration& daemon : aProgress.unreachable_) {
    aOut << "  unreachable " << daemon.id_ << " in zone " << daemon.zone_
         << ", last at generation " << daemon.generation_ << '\n';
  }
}

namespace {

/** Prints one copy of a group. */
void
printCopy(std::ostream& aOut, const protocol::CopyStatus& aCopy)
{
  aOut << "    copy " << aCopy.index_ << " in " << aCopy.zone_ << '/'
       << aCopy.domain_ << ", fencing " << aCopy.fencing_ << ": "
       << stateText(aCopy.serving_, aCopy.whyNot_) << " since "
       << timeText(aCopy.since_) << '\n';
  for (const protocol::MemberStatus& member : aCopy.members_) {
    aOut << "      rank " << member.rank_ << ' '
         << (member.vm_.empty() ? "(missing)" : member.vm_.value()) << ' '
         << member.phase_ << '\n';
  }
}

/** @return The worst minute so far in words. */
std::string
worstMinuteText(const protocol::WorstMinute& aMinute)
{
  if (aMinute.requests_ == 0) {
    return "no minute with requests is over yet";
  }
  return "worst minute " + std::to_string(aMinute.keptPermille_) + "/1000 of " +
         std::to_string(aMinute.requests_) + " requests at " +
         timeText(aMinute.minute_);
}

/** Prints one group. */
void
printGroup(std::ostream& aOut, const protocol::GroupStatus& aGroup)
{
  std::size_t serving = 0;
  for (const protocol::CopyStatus& copy : aGroup.copies_) {
    serving += copy.serving_ ? 1 : 0;
  }
  aOut << "  " << std::left << std::setw(kNameWidth) << aGroup.id_.value()
       << stateText(aGroup.serving_, aGroup.whyNot_) << " since "
       << timeText(aGroup.since_) << '\n'
       << "    copies " << serving << " of " << aGroup.copiesWanted_
       << ", downtime " << aGroup.downtime_.count() << " ms, "
       << worstMinuteText(aGroup.worstMinute_) << '\n';
  for (const protocol::CopyStatus& copy : aGroup.copies_) {
    printCopy(aOut, copy);
  }
}

} // namespace

void
printStatus(std::ostream& aOut, const protocol::StatusReport& aReport)
{
  aOut << "daemon " << aReport.daemon_ << " in zone " << aReport.zone_ << " at "
       << timeText(aReport.at_) << '\n'
       << "configuration generation " << aReport.generation_ << '\n'
       << "store " << aReport.store_ << " since "
       << timeText(aReport.storeSince_) << '\n'
       << "groups\n";
  for (const protocol::GroupStatus& group : aReport.groups_) {
    printGroup(aOut, group);
  }
  aOut << "spare VMs\n";
  for (const protocol::SpareStatus& spare : aReport.spares_) {
    aOut << "  " << spare.zone_ << '/' << spare.domain_ << ' ' << spare.spares_
         << '\n';
  }
  aOut << "stranded accelerators\n";
  for (const protocol::StrandedStatus& stranded : aReport.stranded_) {
    aOut << "  " << stranded.accelerators_ << ' ' << stranded.cause_ << '\n';
  }
  aOut << "daemons\n";
  for (const protocol::DaemonStatus& daemon : aReport.daemons_) {
    aOut << "  " << std::left << std::setw(kNameWidth) << daemon.id_.value()
         << daemon.zone_ << (daemon.reachable_ ? " reachable" : " unreachable")
         << ", generation " << daemon.generation_ << '\n';
  }
}

void
printAudit(std::ostream& aOut, const protocol::AuditReply& aReply)
{
  for (const protocol::AuditEntry& entry : aReply.entries_) {
    aOut << timeText(entry.at_) << ' ' << entry.daemon_ << ' ' << entry.kind_
         << ' ' << entry.subject_ << ": " << entry.text_ << '\n';
  }
}

namespace {

/** @return Values of a document by path; an unreadable text is one value. */
std::map<std::string, std::string>
valuesOf(const std::string& aText)
{
  std::map<std::string, std::string> values;
  const auto parsed = nlohmann::json::parse(aText, nullptr, false);
  if (parsed.is_discarded()) {
    values[""] = aText;
    return values;
  }
  const nlohmann::json flat = parsed.flatten();
  for (const auto& [path, value] : flat.items()) {
    values[path] = value.dump();
  }
  return values;
}

/** @return All keys of two maps. */
std::set<std::string>
keysOf(const std::map<std::string, std::string>& aLeft,
       const std::map<std::string, std::string>& aRight)
{
  std::set<std::string> keys;
  for (const auto* side : { &aLeft, &aRight }) {
    for (const auto& [key, value] : *side) {
      keys.insert(key);
    }
  }
  return keys;
}

/** @return The value of a key, or an empty text. */
std::string
valueOr(const std::map<std::string, std::string>& aValues,
        const std::string& aKey)
{
  const auto found = aValues.find(aKey);
  return found == aValues.end() ? "" : found->second;
}

/** Prints the values in which one document differs. */
void
printDocument(std::ostream& aOut,
              const std::string& aBefore,
              const std::string& aAfter)
{
  const auto before = valuesOf(aBefore);
  const auto after = valuesOf(aAfter);
  for (const std::string& path : keysOf(before, after)) {
    const std::string old = valueOr(before, path);
    const std::string now = valueOr(after, path);
    if (old != now) {
      aOut << "    " << path << ": " << (old.empty() ? "(none)" : old) << " -> "
           << (now.empty() ? "(none)" : now) << '\n';
    }
  }
}

} // namespace

bool
printDifference(std::ostream& aOut,
                const std::map<std::string, std::string>& aBefore,
                const std::map<std::string, std::string>& aAfter)
{
  bool differs = false;
  for (const std::string& name : keysOf(aBefore, aAfter)) {
    const std::string before = valueOr(aBefore, name);
    const std::string after = valueOr(aAfter, name);
    if (before == after) {
      continue;
    }
    differs = true;
    const bool changed = !before.empty() && !after.empty();
    aOut << (changed ? '~' : after.empty() ? '-' : '+') << ' ' << name << '\n';
    if (changed) {
      printDocument(aOut, before, after);
    }
  }
  return differs;
}

} // namespace auburnhaven::app
