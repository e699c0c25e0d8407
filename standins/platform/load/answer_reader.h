// Reads the answer to one request of the load client and judges it.
#pragma once

#include "platform/load/load_type.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace auburnhaven::standins {

/** Reads one answer from the bytes of a connection. One thread. */
class AnswerReader
{
public:
  /** @param aRequest The request; outlives this object. */
  explicit AnswerReader(const LoadRequest& aRequest);
  /**
   * Takes bytes of the answer.
   * @param aBuffer Received bytes; those of later answers stay.
   * @return Whether the answer is over, whole or malformed.
   */
  bool take(boost::beast::flat_buffer& aBuffer);
  /** @return Whether the header is there and says that the connection closes.
   */
  bool saysClose() const;
  /** @return How a whole or malformed answer is to be judged. Call after take()
   * returned true. */
  LoadOutcome judge() const;
  /** @param aEnd How the connection ended. @return The outcome without a whole
   * answer. */
  LoadOutcome cutShort(LoadEnd aEnd) const;

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  LoadOutcome outcome() const;
  std::string faultOfSuccess() const;
  std::string faultOfStream() const;

  const LoadRequest& request_; ///< The request.
  Parser parser_;              ///< Parses the answer.
  std::size_t bytes_ = 0;      ///< Bytes taken.
  std::string malformed_;      ///< Why the bytes are no answer.
};

} // namespace auburnhaven::standins
