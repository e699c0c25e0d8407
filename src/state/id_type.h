// Strong identifier types, one per kind of object.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace auburnhaven::state {

/**
 * Identifier that is a name. Thread safety: as for std::string.
 * @tparam Tag Empty type that makes identifiers of different kinds
 * incompatible.
 */
template<class Tag>
class NameId
{
public:
  /** Makes an empty identifier that names nothing. */
  NameId() = default;
  /** @param aValue The name; empty means none. */
  explicit NameId(std::string aValue)
    : value_(std::move(aValue))
  {
  }
  /** @return The name. */
  const std::string& value() const { return value_; }
  /** @return Whether this identifier names nothing. */
  bool empty() const { return value_.empty(); }
  auto operator<=>(const NameId&) const = default;

private:
  std::string value_; ///< The name itself.
};

/**
 * Identifier or counter that is a number. Thread safety: as for an integer.
 * @tparam Tag Empty type that makes numbers of different kinds incompatible.
 */
template<class Tag>
class NumberId
{
public:
  /** Makes the number zero, which stands for none. */
  constexpr NumberId() = default;
  /** @param aValue The number. */
  constexpr explicit NumberId(std::uint64_t aValue)
    : value_(aValue)
  {
  }
  /** @return The number. */
  constexpr std::uint64_t value() const { return value_; }
  /** @return The number that follows this one. */
  constexpr NumberId next() const { return NumberId(value_ + 1); }
  constexpr auto operator<=>(const NumberId&) const = default;

private:
  std::uint64_t value_ = 0; ///< The number itself.
};

/** Writes the name of an identifier. */
template<class Tag>
std::ostream&
operator<<(std::ostream& aOut, const NameId<Tag>& aId)
{
  return aOut << aId.value();
}

/** Writes the number of an identifier. */
template<class Tag>
std::ostream&
operator<<(std::ostream& aOut, const NumberId<Tag>& aId)
{
  return aOut << aId.value();
}

using ZoneId = NameId<struct ZoneTag>; ///< An availability zone.
using RegionId =
  NameId<struct RegionTag>; ///< A region of several availability zones.
using DomainId = NameId<struct DomainTag>; ///< A fabric domain.
using VmId = NameId<struct VmTag>;         ///< A VM of the platform.
using DaemonId =
  NameId<struct DaemonTag>; ///< One incarnation-independent daemon name.
using GroupId = NameId<struct GroupTag>;     ///< A serving group.
using AccountId = NameId<struct AccountTag>; ///< A client account.
using ServiceId = NameId<struct ServiceTag>; ///< A plain service.
using WorkKindId =
  NameId<struct WorkTag>; ///< A kind of work of a serving group.
using RequestId = NameId<struct RequestTag>; ///< One request of a caller.
using TargetId = NameId<struct TargetTag>;   ///< A target that takes requests.

using Generation =
  NumberId<struct GenerationTag>; ///< Configuration generation.
using StoreEra =
  NumberId<struct StoreEraTag>; ///< Grows whenever the store has returned to an
                                ///< older state; zero when it is unknown.
using FencingNumber =
  NumberId<struct FencingTag>; ///< Number that orders carry.
using Incarnation =
  NumberId<struct IncarnationTag>; ///< Start count or start time of a process.
using AttemptId = NumberId<struct AttemptTag>; ///< One attempt of a request.
using PromptPartId =
  NumberId<struct PromptPartTag>; ///< Content of one part of a prompt.

/** A copy of a serving group: the group and the index of the copy in it. */
struct CopyId
{
  GroupId group_;           ///< The serving group.
  std::uint32_t index_ = 0; ///< Index of the copy, from 0.
  auto operator<=>(const CopyId&) const = default;
};

/** Writes a copy as "group/index". */
inline std::ostream&
operator<<(std::ostream& aOut, const CopyId& aCopy)
{
  return aOut << aCopy.group_ << '/' << aCopy.index_;
}

} // namespace auburnhaven::state

/** Hash of a name identifier, for unordered containers. */
template<class Tag>
struct std::hash<auburnhaven::state::NameId<Tag>>
{
  std::size_t operator()(const auburnhaven::state::NameId<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.value());
  }
};
