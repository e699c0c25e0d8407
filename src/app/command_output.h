// Text that commands print for people.
#pragma once

#include "protocol/admin_type.h"
#include "state/error_type.h"

#include <map>
#include <ostream>
#include <string>

namespace auburnhaven::app {

/**
 * Prints faults as "file:line: key: message", one a line.
 * @param aOut Where to print.
 * @param aErrors The faults.
 */
void
printInputErrors(std::ostream& aOut, const state::InputErrors& aErrors);

/** @param aTime A time. @return It as "2026-01-31T12:00:00.000Z". */
std::string
timeText(state::WallTime aTime);

/** Prints changes, three columns and the summary a line. */
void
printHistory(std::ostream& aOut,
             const std::vector<protocol::HistoryEntry>& aEntries);

/** Prints how far a generation has come. */
void
printProgress(std::ostream& aOut, const protocol::ProgressReply& aProgress);

/** Prints the state of the system. */
void
printStatus(std::ostream& aOut, const protocol::StatusReport& aReport);

/** Prints lines of the audit trail. */
void
printAudit(std::ostream& aOut, const protocol::AuditReply& aReply);

/**
 * Prints how documents differ, one line for each value that changes.
 * @param aOut Where to print.
 * @param aBefore Canonical texts by name.
 * @param aAfter Canonical texts by name.
 * @return Whether they differ.
 */
bool
printDifference(std::ostream& aOut,
                const std::map<std::string, std::string>& aBefore,
                const std::map<std::string, std::string>& aAfter);

} // namespace auburnhaven::app
