// Keys and members of the messages of admin_type.h, for their codec.
#pragma once

#include "protocol/admin_type.h"

#include <array>
#include <string_view>
#include <tuple>

namespace auburnhaven::protocol {

/** Key of a member. */
template<class Pointer>
struct JsonField
{
  const char* key_; ///< Key in JSON.
  Pointer member_;  ///< The member.
};

template<class Pointer>
JsonField(const char*, Pointer) -> JsonField<Pointer>;

inline constexpr std::array<std::string_view, 5> kOutcomeNames = {
  "committed",
  "conflict",
  "refused",
  "unavailable",
  "unknown"
}; ///< Names of SubmitOutcome.

/** Fields of a message; specialised for each. */
template<class Message>
struct JsonFields;

template<>
struct JsonFields<state::InputError>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "source", &state::InputError::source_ },
                JsonField{ "line", &state::InputError::line_ },
                JsonField{ "key", &state::InputError::key_ },
                JsonField{ "message", &state::InputError::message_ } };
};

template<>
struct JsonFields<SubmitRequest>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "submission", &SubmitRequest::submission_ },
                JsonField{ "author", &SubmitRequest::author_ },
                JsonField{ "summary", &SubmitRequest::summary_ },
                JsonField{ "base", &SubmitRequest::base_ },
                JsonField{ "put", &SubmitRequest::put_ },
                JsonField{ "remove", &SubmitRequest::remove_ } };
};

template<>
struct JsonFields<DocumentEntry>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "name", &DocumentEntry::name_ },
                JsonField{ "before", &DocumentEntry::before_ },
                JsonField{ "after", &DocumentEntry::after_ } };
};

template<>
struct JsonFields<HistoryEntry>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "generation", &HistoryEntry::generation_ },
                JsonField{ "from", &HistoryEntry::from_ },
                JsonField{ "submission", &HistoryEntry::submission_ },
                JsonField{ "author", &HistoryEntry::author_ },
                JsonField{ "summary", &HistoryEntry::summary_ },
                JsonField{ "at", &HistoryEntry::at_ },
                JsonField{ "documents", &HistoryEntry::documents_ } };
};

template<>
struct JsonFields<SubmitReply>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "outcome", &SubmitReply::outcome_ },
                JsonField{ "generation", &SubmitReply::generation_ },
                JsonField{ "errors", &SubmitReply::errors_ },
                JsonField{ "ours", &SubmitReply::ours_ },
                JsonField{ "theirs", &SubmitReply::theirs_ } };
};

template<>
struct JsonFields<ConfigReply>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "generation", &ConfigReply::generation_ },
                JsonField{ "documents", &ConfigReply::documents_ } };
};

template<>
struct JsonFields<HistoryReply>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "entries", &HistoryReply::entries_ } };
};

template<>
struct JsonFields<DaemonGeneration>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "id", &DaemonGeneration::id_ },
                JsonField{ "zone", &DaemonGeneration::zone_ },
                JsonField{ "generation", &DaemonGeneration::generation_ } };
};

template<>
struct JsonFields<ProgressReply>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "generation", &ProgressReply::generation_ },
                JsonField{ "in_force", &ProgressReply::inForce_ },
                JsonField{ "lagging", &ProgressReply::lagging_ },
                JsonField{ "unreachable", &ProgressReply::unreachable_ } };
};

template<>
struct JsonFields<MemberStatus>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "vm", &MemberStatus::vm_ },
                JsonField{ "rank", &MemberStatus::rank_ },
                JsonField{ "phase", &MemberStatus::phase_ } };
};

template<>
struct JsonFields<CopyStatus>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "index", &CopyStatus::index_ },
                JsonField{ "zone", &CopyStatus::zone_ },
                JsonField{ "domain", &CopyStatus::domain_ },
                JsonField{ "fencing", &CopyStatus::fencing_ },
                JsonField{ "serving", &CopyStatus::serving_ },
                JsonField{ "why_not", &CopyStatus::whyNot_ },
                JsonField{ "since", &CopyStatus::since_ },
                JsonField{ "members", &CopyStatus::members_ } };
};

template<>
struct JsonFields<WorstMinute>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "minute", &WorstMinute::minute_ },
                JsonField{ "requests", &WorstMinute::requests_ },
                JsonField{ "kept_permille", &WorstMinute::keptPermille_ } };
};

template<>
struct JsonFields<GroupStatus>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "id", &GroupStatus::id_ },
                JsonField{ "serving", &GroupStatus::serving_ },
                JsonField{ "why_not", &GroupStatus::whyNot_ },
                JsonField{ "since", &GroupStatus::since_ },
                JsonField{ "copies_wanted", &GroupStatus::copiesWanted_ },
                JsonField{ "downtime_ms", &GroupStatus::downtime_ },
                JsonField{ "worst_minute", &GroupStatus::worstMinute_ },
                JsonField{ "copies", &GroupStatus::copies_ } };
};

template<>
struct JsonFields<SpareStatus>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "zone", &SpareStatus::zone_ },
                JsonField{ "domain", &SpareStatus::domain_ },
                JsonField{ "spares", &SpareStatus::spares_ } };
};

template<>
struct JsonFields<StrandedStatus>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "cause", &StrandedStatus::cause_ },
                JsonField{ "accelerators", &StrandedStatus::accelerators_ } };
};

template<>
struct JsonFields<DaemonStatus>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "id", &DaemonStatus::id_ },
                JsonField{ "zone", &DaemonStatus::zone_ },
                JsonField{ "reachable", &DaemonStatus::reachable_ },
                JsonField{ "generation", &DaemonStatus::generation_ } };
};

template<>
struct JsonFields<StatusReport>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "daemon", &StatusReport::daemon_ },
                JsonField{ "zone", &StatusReport::zone_ },
                JsonField{ "at", &StatusReport::at_ },
                JsonField{ "generation", &StatusReport::generation_ },
                JsonField{ "store", &StatusReport::store_ },
                JsonField{ "store_since", &StatusReport::storeSince_ },
                JsonField{ "groups", &StatusReport::groups_ },
                JsonField{ "spares", &StatusReport::spares_ },
                JsonField{ "stranded", &StatusReport::stranded_ },
                JsonField{ "daemons", &StatusReport::daemons_ } };
};

template<>
struct JsonFields<AuditEntry>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "at", &AuditEntry::at_ },
                JsonField{ "daemon", &AuditEntry::daemon_ },
                JsonField{ "kind", &AuditEntry::kind_ },
                JsonField{ "subject", &AuditEntry::subject_ },
                JsonField{ "text", &AuditEntry::text_ } };
};

template<>
struct JsonFields<AuditReply>
{
  static constexpr auto kFields =
    std::tuple{ JsonField{ "entries", &AuditReply::entries_ } };
};

} // namespace auburnhaven::protocol
