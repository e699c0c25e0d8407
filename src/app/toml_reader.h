// Reads TOML tables into plain types by tables of field descriptors.
#pragma once

#include "state/endpoint_type.h"
#include "state/error_type.h"
#include "state/id_type.h"
#include "state/time_type.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace auburnhaven::app {

/** Allowed values of a number, or allowed length of a string or list. */
struct FieldRange
{
  std::int64_t least_ = 0; ///< Least value.
  std::int64_t greatest_ =
    std::numeric_limits<std::int64_t>::max(); ///< Greatest value.
};

inline constexpr FieldRange kNonEmpty{ 1, 4096 };  ///< Length of names.
inline constexpr FieldRange kAnyLength{ 0, 4096 }; ///< Length of lists.

/** Whether a field may be left out. */
enum class FieldNeed : std::uint8_t
{
  kOptional, ///< The default applies.
  kRequired, ///< Its absence is a fault.
};

/** Collects faults while a file is read, with the key path in progress. */
class FaultList
{
public:
  /** @param aSource Name of the file. */
  explicit FaultList(std::string aSource);
  /**
   * Adds a fault at a node.
   * @param aNode Where it was found.
   * @param aKey Key below the path in progress; may be empty.
   * @param aMessage What is wrong.
   */
  void add(const toml::node& aNode,
           std::string_view aKey,
           std::string aMessage);
  /**
   * Adds a fault at a line.
   * @param aLine Line from 1, 0 when unknown.
   * @param aKey Full dotted key; may be empty.
   * @param aMessage What is wrong.
   */
  void addAt(int aLine, std::string aKey, std::string aMessage);
  /**
   * Adds a note: a value that is not used as it stands, which is no fault.
   * @param aNode The value.
   * @param aMessage What is wrong, and what is used instead.
   */
  void note(const toml::node& aNode, std::string aMessage);
  /** @param aKey Key that the path goes down to. */
  void enter(const std::string& aKey);
  /** Goes back up by one key. */
  void leave();
  /** @return Dotted path in progress followed by a key. */
  std::string pathTo(std::string_view aKey) const;
  /** @return All faults, ordered by line. */
  std::vector<state::InputError> sorted() const;
  /** @return Whether there is no fault. */
  bool empty() const { return errors_.empty(); }
  /** @return All notes, in order of discovery. */
  const std::vector<state::InputError>& notes() const { return notes_; }

private:
  std::string source_;                    ///< Name of the file.
  std::vector<std::string> path_;         ///< Keys down to the current table.
  std::vector<state::InputError> errors_; ///< Faults in order of discovery.
  std::vector<state::InputError> notes_;  ///< Notes in order of discovery.
};

/**
 * Parses the text of a file.
 * @param aText Text in TOML.
 * @param aFaults Takes the syntax error, if there is one.
 * @return The table, or nothing after a syntax error.
 */
std::optional<toml::table>
parseToml(const std::string& aText, FaultList& aFaults);

/**
 * Reads "address:port" with an IP number; IPv6 numbers stand in brackets.
 * @param aText The text.
 * @return The endpoint, or nothing when malformed.
 */
std::optional<state::Endpoint>
parseEndpoint(const std::string& aText);

/** One field of a record: its key and how it is read. */
template<class Record>
struct FieldDescriptor
{
  std::string_view key_;  ///< Key in the table.
  FieldNeed need_;        ///< Whether it may be left out.
  FieldRange range_;      ///< Allowed values or lengths.
  std::string_view help_; ///< One sentence for the reference.
  void (*read_)(const toml::node&,
                const FieldRange&,
                Record&,
                FaultList&);           ///< Reads it.
  std::string (*show_)(const Record&); ///< Prints its value.
  std::string_view type_;              ///< Name of its type for people.
};

/** @return Descriptors of all fields of a record; specialised for each. */
template<class Record>
std::span<const FieldDescriptor<Record>>
fieldsOf();

/** Adds a fault when a number or length is out of its range. */
void
checkRange(const toml::node& aNode,
           std::int64_t aValue,
           const FieldRange& aRange,
           std::string_view aWhat,
           FaultList& aFaults);

/** @return Whether the node has the wanted type; adds a fault otherwise. */
bool
expectType(const toml::node& aNode,
           bool aMatches,
           std::string_view aWanted,
           FaultList& aFaults);

/** How values of one type are read, printed and named. */
template<class Value>
struct FieldCodec;

/** Strings. */
template<>
struct FieldCodec<std::string>
{
  static constexpr std::string_view kType = "string";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::string& aValue,
                   FaultList& aFaults);
  static std::string show(const std::string& aValue)
  {
    return '"' + aValue + '"';
  }
};

/** Truth values. */
template<>
struct FieldCodec<bool>
{
  static constexpr std::string_view kType = "boolean";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   bool& aValue,
                   FaultList& aFaults);
  static std::string show(bool aValue) { return aValue ? "true" : "false"; }
};

/** Endpoints. */
template<>
struct FieldCodec<state::Endpoint>
{
  static constexpr std::string_view kType = "address:port";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   state::Endpoint& aValue,
                   FaultList& aFaults);
  static std::string show(const state::Endpoint& aValue);
};

/** Integers. */
template<class Value>
requires std::is_integral_v<Value>
struct FieldCodec<Value>
{
  static constexpr std::string_view kType = "integer";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   Value& aValue,
                   FaultList& aFaults)
  {
    if (!expectType(aNode, aNode.is_integer(), kType, aFaults)) {
      return;
    }
    const std::int64_t value = *aNode.value<std::int64_t>();
    checkRange(aNode, value, aRange, "value", aFaults);
    aValue = static_cast<Value>(value);
  }
  static std::string show(Value aValue) { return std::to_string(aValue); }
};

/** Time spans, written as integers in the unit that the key names. */
template<class Rep, class Period>
struct FieldCodec<std::chrono::duration<Rep, Period>>
{
  static constexpr std::string_view kType = "integer";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::chrono::duration<Rep, Period>& aValue,
                   FaultList& aFaults)
  {
    std::int64_t count = aValue.count();
    FieldCodec<std::int64_t>::read(aNode, aRange, count, aFaults);
    aValue = std::chrono::duration<Rep, Period>(count);
  }
  static std::string show(std::chrono::duration<Rep, Period> aValue)
  {
    return std::to_string(aValue.count());
  }
};

/** Name identifiers. */
template<class Tag>
struct FieldCodec<state::NameId<Tag>>
{
  static constexpr std::string_view kType = "string";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   state::NameId<Tag>& aValue,
                   FaultList& aFaults)
  {
    std::string text;
    FieldCodec<std::string>::read(aNode, aRange, text, aFaults);
    aValue = state::NameId<Tag>(std::move(text));
  }
  static std::string show(const state::NameId<Tag>& aValue)
  {
    return FieldCodec<std::string>::show(aValue.value());
  }
};

/** Lists; the range limits the length of the list. */
template<class Item>
struct FieldCodec<std::vector<Item>>
{
  static constexpr std::string_view kType = "list";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   std::vector<Item>& aValue,
                   FaultList& aFaults)
  {
    const toml::array* items = aNode.as_array();
    if (!expectType(aNode, items != nullptr, kType, aFaults)) {
      return;
    }
    const auto size = static_cast<std::int64_t>(items->size());
    checkRange(aNode, size, aRange, "length", aFaults);
    for (const toml::node& node : *items) {
      Item item{};
      FieldCodec<Item>::read(node, kNonEmpty, item, aFaults);
      aValue.push_back(std::move(item));
    }
  }
  static std::string show(const std::vector<Item>& aValue)
  {
    std::string text;
    for (const Item& item : aValue) {
      text += (text.empty() ? "" : ", ") + FieldCodec<Item>::show(item);
    }
    return '[' + text + ']';
  }
};

/**
 * Reads a table into a record and reports unknown and missing keys.
 * @param aTable The table.
 * @param aRecord Takes the values; keeps its own where keys are absent.
 * @param aFaults Takes the faults.
 */
template<class Record>
void
readTable(const toml::table& aTable, Record& aRecord, FaultList& aFaults)
{
  const auto fields = fieldsOf<Record>();
  for (const FieldDescriptor<Record>& field : fields) {
    const toml::node* node = aTable.get(field.key_);
    if (node == nullptr) {
      if (field.need_ == FieldNeed::kRequired) {
        aFaults.add(aTable, field.key_, "is missing");
      }
      continue;
    }
    aFaults.enter(std::string(field.key_));
    field.read_(*node, field.range_, aRecord, aFaults);
    aFaults.leave();
  }
  for (const auto& [key, node] : aTable) {
    bool known = false;
    for (const FieldDescriptor<Record>& field : fields) {
      known = known || field.key_ == key.str();
    }
    if (!known) {
      aFaults.add(node, key.str(), "is not a known key");
    }
  }
}

/** Records, read as tables by their own descriptors. */
template<class Record>
requires requires
{
  fieldsOf<Record>();
} && std::is_class_v<Record>
struct FieldCodec<Record>
{
  static constexpr std::string_view kType = "table";
  static void read(const toml::node& aNode,
                   const FieldRange& aRange,
                   Record& aValue,
                   FaultList& aFaults)
  {
    static_cast<void>(aRange);
    const toml::table* table = aNode.as_table();
    if (expectType(aNode, table != nullptr, kType, aFaults)) {
      readTable(*table, aValue, aFaults);
    }
  }
  static std::string show(const Record& aValue)
  {
    static_cast<void>(aValue);
    return "";
  }
};

/** Splits the type of a member pointer. */
template<class Pointer>
struct MemberOf;

/** Splits the type of a member pointer. */
template<class RecordType, class ValueType>
struct MemberOf<ValueType RecordType::*>
{
  using Record = RecordType; ///< The record.
  using Value = ValueType;   ///< Type of the member.
};

/**
 * Makes the descriptor of one member.
 * @tparam Member Pointer to the member.
 * @tparam Codec How its value is read and printed.
 * @param aKey Key in the table.
 * @param aNeed Whether it may be left out.
 * @param aRange Allowed values or lengths.
 * @param aHelp One sentence for the reference.
 * @return The descriptor.
 */
template<auto Member,
         class Codec = FieldCodec<typename MemberOf<decltype(Member)>::Value>>
constexpr auto
field(std::string_view aKey,
      FieldNeed aNeed,
      FieldRange aRange,
      std::string_view aHelp)
{
  using Record = typename MemberOf<decltype(Member)>::Record;
  return FieldDescriptor<Record>{
    aKey,
    aNeed,
    aRange,
    aHelp,
    [](const toml::node& aNode,
       const FieldRange& aLimits,
       Record& aRecord,
       FaultList& aFaults) {
      Codec::read(aNode, aLimits, aRecord.*Member, aFaults);
    },
    [](const Record& aRecord) { return Codec::show(aRecord.*Member); },
    Codec::kType,
  };
}

} // namespace auburnhaven::app
