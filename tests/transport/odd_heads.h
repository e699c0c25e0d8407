// Responses whose heads nobody can interpret.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace auburnhaven::fakes {

inline constexpr char kOddBody[] = "odd"; ///< Body of these responses.
inline constexpr char kOddLength[] =
  "Content-Length: 3\r\n"; ///< Its length as a line of a head.
inline constexpr char kOddChunks[] =
  "3\r\nodd\r\n0\r\n\r\n"; ///< It in chunks, with the end.

/**
 * @param aFields Further lines of the heads.
 * @return Responses with status codes that HTTP does not define, or that no
 * request asked for.
 */
inline std::vector<std::string>
undefinedStatuses(const std::string& aFields)
{
  const std::string sound =
    "HTTP/1.1 200 OK\r\n" + aFields + kOddLength + "\r\n" + kOddBody;
  std::vector<std::string> responses;
  for (const std::string_view status : { "000", "001", "099", "600", "999" }) {
    const std::string start = "HTTP/1.1 " + std::string(status) + " ";
    const std::string head = start + "Odd\r\n" + aFields;
    for (const std::string& response :
         { head + kOddLength + "\r\n" + kOddBody,
           head + "Content-Length: 0\r\n\r\n",
           head + "Transfer-Encoding: chunked\r\n\r\n" + kOddChunks,
           head + "\r\n" + kOddBody,
           start + "\r\n" + aFields + kOddLength + "\r\n" + kOddBody,
           start + "Odd\r\nContent-Length: 0\r\n\r\n" + sound,
           "HTTP/1.1 103 Hints\r\n\r\n" + head + kOddLength + "\r\n" +
             kOddBody }) {
      responses.push_back(response);
    }
  }
  responses.push_back("HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n"
                      "Connection: upgrade\r\n\r\n" +
                      sound);
  return responses;
}

} // namespace auburnhaven::fakes
