// Connects the nghttp2 library's callbacks with a session.
#pragma once

#include "transport/h2_session.h"

#include <nghttp2/nghttp2.h>

namespace auburnhaven::transport {

/** The callbacks of the library, by the library's names. */
class H2Callbacks
{
public:
  /**
   * Makes the library's session.
   * @param aSession Takes the callbacks.
   * @return The library's session.
   */
  static nghttp2_session* makeSession(H2Session& aSession);
  /** @return Source of the data of a stream. */
  static nghttp2_data_provider dataSource();
  /** @return Header lines in the library's form; valid as long as aFields. */
  static std::vector<nghttp2_nv> toNv(const H2Fields& aFields);

private:
  static int onHeader(nghttp2_session* aLibrary,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t aFlags,
                      void* aUser);
  static int onFrame(nghttp2_session* aLibrary,
                     const nghttp2_frame* aFrame,
                     void* aUser);
  static int onData(nghttp2_session* aLibrary,
                    std::uint8_t aFlags,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aSize,
                    void* aUser);
  static int onClose(nghttp2_session* aLibrary,
                     std::int32_t aStream,
                     std::uint32_t aError,
                     void* aUser);
  static int onSent(nghttp2_session* aLibrary,
                    const nghttp2_frame* aFrame,
                    void* aUser);
  static ssize_t readData(nghttp2_session* aLibrary,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aSize,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* aSource,
                          void* aUser);
};

} // namespace auburnhaven::transport
