// Fills settings templates as the users' platform does.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhaven::fakes {

/**
 * Fills a template: placeholders `{{a.b}}`, sections `{{#a}} .. {{/a}}` for
 * each entry of a value and `{{^a}} .. {{/a}}` where there is none. Nothing is
 * escaped. One thread at a time.
 */
class SettingsTemplate
{
public:
  /** @param aText The template; its sections are closed. */
  explicit SettingsTemplate(std::string aText)
    : text_(std::move(aText))
  {
  }

  /** @param aFields The fields of the platform. @return The settings. */
  std::string fill(const nlohmann::json& aFields) const
  {
    return fillText(text_, { { aFields, "", true } });
  }

private:
  using Json = nlohmann::json;

  /** What names are looked up in. */
  struct Scope
  {
    Json value_;      ///< The entry, `{{.}}`.
    std::string key_; ///< Its key or index, `{{@}}`.
    bool isLast_;     ///< Whether `{{,}}` is empty.
  };

  static std::string fillText(std::string_view aText,
                              const std::vector<Scope>& aScopes)
  {
    std::string filled;
    for (;;) {
      const std::size_t open = aText.find("{{");
      filled += aText.substr(0, open);
      if (open == std::string_view::npos) {
        return filled;
      }
      const std::size_t close = aText.find("}}", open);
      const std::string_view name = aText.substr(open + 2, close - open - 2);
      aText.remove_prefix(close + 2);
      if (name.front() != '#' && name.front() != '^') {
        filled += textOf(name, aScopes);
        continue;
      }
      const std::string end = "{{/" + std::string(name.substr(1)) + "}}";
      const std::size_t length = aText.find(end);
      const std::string_view body = aText.substr(0, length);
      aText.remove_prefix(length + end.size());
      filled += fillSection(name, body, aScopes);
    }
  }

  static std::string fillSection(std::string_view aName,
                                 std::string_view aBody,
                                 const std::vector<Scope>& aScopes)
  {
    const Json value = lookUp(aName.substr(1), aScopes);
    const bool isAbsent = value.is_null() || value == false;
    if (aName.front() == '^') {
      return isAbsent ? fillText(aBody, aScopes) : "";
    }
    if (isAbsent) {
      return "";
    }
    if (!value.is_structured()) {
      return fillText(aBody, aScopes);
    }
    std::string filled;
    std::size_t left = value.size();
    for (const auto& [key, entry] : value.items()) {
      std::vector<Scope> scopes = aScopes;
      scopes.push_back({ entry, key, --left == 0 });
      filled += fillText(aBody, scopes);
    }
    return filled;
  }

  /** @return Value of a name in the innermost scope that has it, or null. */
  static Json lookUp(std::string_view aName, const std::vector<Scope>& aScopes)
  {
    std::string path = '/' + std::string(aName);
    for (char& letter : path) {
      letter = letter == '.' ? '/' : letter;
    }
    const Json::json_pointer pointer(path);
    for (auto scope = aScopes.rbegin(); scope != aScopes.rend(); ++scope) {
      if (scope->value_.is_structured() && scope->value_.contains(pointer)) {
        return scope->value_.at(pointer);
      }
    }
    return nullptr;
  }

  static std::string textOf(std::string_view aName,
                            const std::vector<Scope>& aScopes)
  {
    if (aName == "@") {
      return aScopes.back().key_;
    }
    if (aName == ",") {
      return aScopes.back().isLast_ ? "" : ",";
    }
    const Json value =
      aName == "." ? aScopes.back().value_ : lookUp(aName, aScopes);
    if (value.is_string()) {
      return value.get<std::string>();
    }
    return value.is_null() ? "" : value.dump();
  }

  std::string text_; ///< The template.
};

} // namespace auburnhaven::fakes
