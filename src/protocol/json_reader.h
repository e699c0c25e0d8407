// Reads typed fields of a JSON document and notes every fault.
#pragma once

#include "state/error_type.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::protocol {

/**
 * Reads the fields of one object of a document. A missing or ill-typed field
 * yields an empty value and is noted for the whole document. One thread at a
 * time.
 */
class JsonReader
{
public:
  /**
   * Parses a document.
   * @param aSource Where the text comes from, for error messages.
   * @param aText The text; nothing of it is kept.
   * @return Reader of the top object.
   */
  static JsonReader parse(std::string_view aSource, std::string_view aText);

  /** @param aKey Key of a string. @return Its value. */
  std::string text(const char* aKey) const;
  /**
   * @param aKey Key of a whole number that is not negative.
   * @param aMax Largest value allowed.
   * @return Its value.
   */
  std::uint64_t number(
    const char* aKey,
    std::uint64_t aMax = std::numeric_limits<std::uint64_t>::max()) const;
  /** @param aKey Key of a number of 32 bits. @return Its value. */
  std::uint32_t number32(const char* aKey) const;
  /** @param aKey Key of a truth value. @return Its value. */
  bool flag(const char* aKey) const;
  /** @param aKey Key of a list of strings. @return Its values. */
  std::vector<std::string> texts(const char* aKey) const;
  /** @param aKey Key of an object. @return Its reader. */
  JsonReader object(const char* aKey) const;
  /** @param aKey Key of a list of objects. @return Their readers. */
  std::vector<JsonReader> objects(const char* aKey) const;
  /** @param aKey A key. @return Whether it is present and not null. */
  bool has(const char* aKey) const;
  /** Notes a fault. @param aKey Key. @param aMessage What is wrong. */
  void fail(const char* aKey, const std::string& aMessage) const;
  /** @return All faults noted so far; the read is good when there are none. */
  const std::vector<state::InputError>& errors() const;
  /**
   * @tparam Value Type of the decoded value.
   * @param aValue What was read.
   * @return The value, or the faults of the document.
   */
  template<class Value>
  state::leaf::result<Value> finish(Value aValue) const
  {
    if (!errors().empty()) {
      return state::leaf::new_error(state::InputErrors{ errors() });
    }
    return aValue;
  }

private:
  struct Document;

  JsonReader(std::shared_ptr<Document> aDocument, const void* aNode);
  const void* find(const char* aKey) const;

  std::shared_ptr<Document> document_; ///< The document and its faults.
  const void* node_;                   ///< The object read, null after a fault.
};

} // namespace auburnhaven::protocol
