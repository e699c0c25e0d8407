// Reference of settings as a table in Markdown.
#pragma once

#include "app/toml_reader.h"

#include <string>

namespace auburnhaven::app {

inline constexpr std::string_view kTableType =
  "table"; ///< Type of fields that are records of their own.

/** @return Head of the table. */
inline std::string
referenceHead()
{
  return "| Key | Type | Range | Default | Meaning |\n"
         "| --- | --- | --- | --- | --- |\n";
}

/**
 * Appends the rows of one record's fields to the reference.
 * @param aPrefix Dotted path of the record with a dot, or empty.
 * @param aText Takes the rows.
 */
template<class Record>
void
appendRows(const std::string& aPrefix, std::string& aText)
{
  const Record defaults;
  for (const FieldDescriptor<Record>& row : fieldsOf<Record>()) {
    if (row.type_ == kTableType) {
      continue;
    }
    aText += "| `" + aPrefix + std::string(row.key_) + "` | ";
    aText += std::string(row.type_) + " | ";
    const bool ranged = row.type_ == "integer" || row.type_ == "number";
    aText += ranged ? std::to_string(row.range_.least_) + " to " +
                        std::to_string(row.range_.greatest_)
                    : "";
    const bool required = row.need_ == FieldNeed::kRequired;
    aText += " | " + (required ? "required" : row.show_(defaults)) + " | ";
    aText += std::string(row.help_) + " |\n";
  }
}

} // namespace auburnhaven::app
