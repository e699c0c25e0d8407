// Tests the platform's store client with large responses over a slow link.

#include "fakes/fake_event_log.h"
#include "platform/kv_store.h"
#include "transport/loopback.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::StoreStatus;
using fakes::RawServer;
using Socket = boost::asio::ip::tcp::socket;

namespace {

constexpr auto kTimeout = 300ms; ///< Timeout of calls other than watches.
constexpr auto kChunkInterval =
  50ms;                             ///< Pause before each chunk of a response.
constexpr std::size_t kChunks = 16; ///< Chunks of a list response.
constexpr std::size_t kEvents = 10; ///< Events of a watch response.
constexpr std::size_t kEventBytes =
  800UL * 1024; ///< Size of each event's value in Base64.

/** @return Body of a list of one key with a value of 4096 Base64 characters. */
std::string
listBody()
{
  return R"({"entries":[{"key":"a","data":")" + std::string(4096, 'A') +
         R"(","mod_revision":3,"created_revision":3,"lease_id":0}],)" +
         R"("has_more":false,"at":9})";
}

/** Writes the head of a response and the first aChunks of the kChunks chunks of
 * its body, with a pause before each. */
void
trickle(Socket& aSocket, const std::string& aBody, std::size_t aChunks)
{
  RawServer::write(aSocket,
                   "HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(aBody.size()) + "\r\n\r\n");
  const std::size_t size = aBody.size() / kChunks + 1;
  for (std::size_t chunk = 0; chunk < aChunks; ++chunk) {
    std::this_thread::sleep_for(kChunkInterval);
    RawServer::write(aSocket, aBody.substr(chunk * size, size));
  }
}

/** A store client connected to a server that runs a script. */
struct Client
{
  explicit Client(RawServer::Script aScript)
    : server_(std::move(aScript))
    , client_(context_)
    , caller_(context_, client_)
    , store_(caller_, log_, { server_.endpoint(), kTimeout, 200ms })
  {
  }

  RawServer server_;                ///< Stands in for the store.
  boost::asio::io_context context_; ///< Event loop.
  transport::HttpClient client_;    ///< HTTP client.
  transport::ServiceCaller caller_; ///< Makes the HTTP calls.
  fakes::FakeEventLog log_;         ///< Receives log records.
  platform::KvStore store_;         ///< Client under test.
};

} // namespace

class KvStoreTransferTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KvStoreTransferTest);
  CPPUNIT_TEST(slowListIsReadToItsEnd);
  CPPUNIT_TEST(stalledListTimesOut);
  CPPUNIT_TEST(oversizedWatchRequiresNewList);
  CPPUNIT_TEST_SUITE_END();

public:
  // The response takes longer than kTimeout, but no pause in it does.
  void slowListIsReadToItsEnd()
  {
    CPPUNIT_ASSERT(listStatus(kChunks) == StoreStatus::kOk);
  }

  // A pause longer than kTimeout ends the call before the longer default of
  // KvStoreSettings::transferTimeout_.
  void stalledListTimesOut()
  {
    const auto startedAt = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(listStatus(kChunks / 2) == StoreStatus::kUnavailable);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt <
                   kChunks * kChunkInterval + 3 * kTimeout);
  }

  // A watch from the same revision would exceed the size limit again, so the
  // client reports the history as compacted and the caller lists the keys.
  void oversizedWatchRequiresNewList()
  {
    Client client([](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      std::string events;
      for (std::size_t revision = 1; revision <= kEvents; ++revision) {
        events += (revision == 1 ? "" : ",") +
                  (R"({"key":"a","mod_revision":)" + std::to_string(revision)) +
                  R"(,"created_revision":1,"lease_id":0,"data":")" +
                  std::string(kEventBytes, 'A') + R"("})";
      }
      const std::string body = R"({"events":[)" + events + R"(],"at":10})";
      RawServer::write(aSocket,
                       "HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    std::optional<coordination::WatchStatus> status;
    client.store_.watchPrefix(
      "",
      state::Revision(),
      100ms,
      [&](const coordination::WatchReply& aReply) { status = aReply.status_; });
    fakes::runUntil(client.context_, [&] { return status.has_value(); });
    CPPUNIT_ASSERT(status == coordination::WatchStatus::kCompacted);
  }

private:
  /** @return Status of a list whose response stalls after aChunks of its
   * kChunks chunks. */
  static StoreStatus listStatus(std::size_t aChunks)
  {
    Client client([aChunks](Socket& aSocket, int) {
      RawServer::readRequest(aSocket);
      trickle(aSocket, listBody(), aChunks);
      RawServer::readUntil(aSocket, "never");
    });
    std::optional<StoreStatus> status;
    client.store_.list(
      "",
      coordination::ListConsistency::kLinearizable,
      [&](const coordination::ListReply& aReply) { status = aReply.status_; });
    fakes::runUntil(client.context_, [&] { return status.has_value(); });
    return *status;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KvStoreTransferTest);
