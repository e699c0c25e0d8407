// Responses whose heads nobody can interpret.
#pragma once

#include <array>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::fakes {

inline constexpr char kOk[] = "HTTP/1.1 200 OK\r\n"; ///< Sound first line.
inline constexpr char kOddBody[] = "odd"; ///< Body of these responses.
inline constexpr char kOddLength[] =
  "Content-Length: 3\r\n"; ///< Its length as a line of a head.
inline constexpr char kOddChunks[] =
  "3\r\nodd\r\n0\r\n\r\n"; ///< It in chunks, with the end.

/** @return Texts as one. */
inline std::string
joined(std::initializer_list<std::string_view> aTexts)
{
  std::string text;
  for (const std::string_view part : aTexts) {
    text += part;
  }
  return text;
}

/** @return A response with a status, a reason and a sound rest. */
inline std::string
responseWith(std::string_view aStatusAndReason, std::string_view aFields)
{
  return joined({ "HTTP/1.1 ",
                  aStatusAndReason,
                  "\r\n",
                  aFields,
                  kOddLength,
                  "\r\n",
                  kOddBody });
}

/**
 * @param aFields Further lines of the heads.
 * @return Responses with status codes that HTTP does not define, or that no
 * request asked for.
 */
inline std::vector<std::string>
undefinedStatuses(const std::string& aFields)
{
  const std::string sound = responseWith("200 OK", aFields);
  std::vector<std::string> responses;
  for (const std::string_view status : { "000", "001", "099", "600", "999" }) {
    const std::string odd = joined({ status, " Odd" });
    const std::string start = joined({ "HTTP/1.1 ", odd, "\r\n" });
    const std::string head = start + aFields;
    for (const std::string& response :
         { responseWith(odd, aFields),
           responseWith(joined({ status, " " }), aFields),
           joined({ head, "Content-Length: 0\r\n\r\n" }),
           joined({ head, "Transfer-Encoding: chunked\r\n\r\n", kOddChunks }),
           joined({ head, "\r\n", kOddBody }),
           joined({ start, "Content-Length: 0\r\n\r\n", sound }),
           joined(
             { "HTTP/1.1 103 Hints\r\n\r\n", responseWith(odd, aFields) }) }) {
      responses.push_back(response);
    }
  }
  responses.push_back(
    joined({ "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n"
             "Connection: upgrade\r\n\r\n",
             sound }));
  return responses;
}

/** A line of a head and what it frames. */
struct NamedLine
{
  std::string_view name_;  ///< Name of the field.
  std::string_view value_; ///< Its value.
  std::string_view body_;  ///< The body as the line frames it.
};

/** @return A name with each byte in turn replaced by another or preceded by it.
 */
inline std::vector<std::string>
spoiled(std::string_view aName, char aByte)
{
  std::vector<std::string> names;
  for (std::size_t at = 0; at <= aName.size(); ++at) {
    std::string name(aName);
    names.push_back(name.insert(at, 1, aByte));
    if (at < aName.size()) {
      name = aName;
      name[at] = aByte;
      names.push_back(name);
    }
  }
  return names;
}

/**
 * @param aFields Further lines of the heads, at least one.
 * @return Responses in which one byte of the name of a field is a blank or a
 * control byte, at each place.
 */
inline std::vector<std::string>
spoiledNames(const std::string& aFields)
{
  constexpr std::string_view kBytes(" \t\0\x01\n\v\f\r\x1f\x7f", 10);
  constexpr std::array<NamedLine, 3> kLines = {
    NamedLine{ "X-Note", "a", "" },
    NamedLine{ "Content-Length", "3", kOddBody },
    NamedLine{ "Transfer-Encoding", "chunked", kOddChunks }
  };
  std::vector<std::string> responses;
  for (const NamedLine& line : kLines) {
    const bool frames = !line.body_.empty();
    const std::string rest = joined({ aFields, frames ? "" : kOddLength });
    const std::string end = joined({ "\r\n", frames ? line.body_ : kOddBody });
    for (const char byte : kBytes) {
      for (const std::string& name : spoiled(line.name_, byte)) {
        const std::string text = joined({ name, ": ", line.value_, "\r\n" });
        responses.push_back(joined({ kOk, text, rest, end }));
        responses.push_back(joined({ kOk, rest, text, end }));
      }
    }
  }
  return responses;
}

/**
 * @param aFields Further lines of the heads.
 * @return Responses with transfer codings that nobody knows, or that no request
 * allows.
 */
inline std::vector<std::string>
unknownCodings(const std::string& aFields)
{
  std::vector<std::string> responses;
  for (const std::string_view coding :
       { "chunkec",
         "xhunked",
         "chunkedd",
         "chun ked",
         "chunked chunked",
         "gzip",
         "gzip, chunked",
         "chunked, gzip",
         "identity",
         "",
         "gzip\r\nTransfer-Encoding: chunked" }) {
    responses.push_back(joined(
      { kOk, aFields, "Transfer-Encoding: ", coding, "\r\n\r\n", kOddChunks }));
  }
  return responses;
}

/** @return The responses of the functions above. */
inline std::vector<std::string>
oddResponses(const std::string& aFields)
{
  std::vector<std::string> responses;
  for (const auto& part : { undefinedStatuses(aFields),
                            spoiledNames(aFields),
                            unknownCodings(aFields) }) {
    responses.insert(responses.end(), part.begin(), part.end());
  }
  return responses;
}

} // namespace auburnhaven::fakes
