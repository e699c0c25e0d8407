// Runs a relay with callers and targets over loopback.
#pragma once

#include "platform/request_dialect.h"
#include "transport/event_log_writer.h"
#include "transport/loopback.h"
#include "transport/relay/relay_handler.h"
#include "transport/system_clock.h"

#include "fakes/fake_event_log.h"

#include <boost/asio.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace auburnhaven::fakes {

inline constexpr char kStreamHead[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
                                      "X-Origin-Signature: s1\r\n"
                                      "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n";

inline constexpr char kLivePath[] =
  "/live/"; ///< Route of streams that cannot be resumed.

/** @return Data as one chunk of a chunked body. */
inline std::string
chunk(const std::string& aData)
{
  std::ostringstream text;
  text << std::hex << aData.size() << "\r\n" << aData << "\r\n";
  return text.str();
}

/** @return Status code of a response. */
inline std::string
statusOf(const std::string& aResponse)
{
  return aResponse.substr(0, aResponse.find("\r\n")).substr(9, 3);
}

/** @return Whether a response contains a text. */
inline bool
contains(const std::string& aResponse, const std::string& aText)
{
  return aResponse.find(aText) != std::string::npos;
}

/** @return A target's script: reads one request and sends a response. */
inline auto
respondWith(std::string aResponse)
{
  return [response =
            std::move(aResponse)](boost::asio::ip::tcp::socket& aSocket, int) {
    RawServer::readRequest(aSocket);
    RawServer::write(aSocket, response);
  };
}

/** @return An endpoint that refuses connections. */
inline state::Endpoint
closedEndpoint()
{
  const RawServer gone([](boost::asio::ip::tcp::socket&, int) {});
  return gone.endpoint();
}

/** A FakeEventLog whose write() is thread-safe. */
class LockedEventLog : public FakeEventLog
{
public:
  void write(state::LogWeight aWeight,
             std::string_view aPart,
             std::string_view aEvent,
             std::initializer_list<state::LogField> aFields) override
  {
    const std::lock_guard lock(mutex_);
    FakeEventLog::write(aWeight, aPart, aEvent, aFields);
  }

private:
  std::mutex mutex_; ///< Serializes write().
};

/** What a relay knows of prompt parts that end targets; null for nothing. */
struct RelayGuards
{
  const coordination::PromptQuarantine* quarantine_ = nullptr; ///< Sets.
  coordination::CrashObserver* crashes_ = nullptr; ///< Takes lost requests.
};

/** A relay with callers and targets over loopback. */
class RelayWorld
{
public:
  static constexpr std::size_t kMaxResponsesBytes =
    std::size_t{ 24 } * 1024 * 1024; ///< Bound of the responses that arrive.

  explicit RelayWorld(transport::RelaySettings aSettings = {},
                      RelayGuards aGuards = {})
    : pool_(1)
    , targets_(clock_,
               {},
               [random = std::mt19937_64(1)]() mutable { return random(); })
    , budget_({ 200, 100, 100 })
    , relay_({ clock_,
               targets_,
               budget_,
               dialect_,
               routes_,
               clients_,
               log_,
               metrics_,
               nullptr,
               nullptr,
               aGuards.quarantine_,
               aGuards.crashes_,
               &responses_ },
             aSettings)
    , server_(pool_, { "127.0.0.1", 0 }, {}, relay_)
  {
    clients_.push_back(
      std::make_unique<transport::HttpClient>(pool_.context(0)));
    CPPUNIT_ASSERT_EQUAL(std::string(), server_.start());
    pool_.start();
  }
  ~RelayWorld() { pool_.stop(); }
  RelayWorld(const RelayWorld&) = delete;
  RelayWorld& operator=(const RelayWorld&) = delete;

  /** Adds a target of the service "app"; start() makes it known. */
  void addTarget(const std::string& aVm, const state::Endpoint& aEndpoint)
  {
    state::Instance instance;
    instance.id_ = state::VmId(aVm);
    instance.service_ = state::ServiceId("app");
    instance.endpoint_ = aEndpoint;
    instance.slots_ = 6;
    instances_[instance.id_] = instance;
  }

  /** Applies a configuration with one route per kind, two for streams, and the
   * added targets. */
  void start(std::chrono::milliseconds aTimeout = std::chrono::seconds(3),
             bool aStreamsResume = true)
  {
    auto config = std::make_shared<state::RoutingConfig>();
    using state::RouteKind;
    for (const auto& [prefix, kind] :
         { std::pair("/safe/", RouteKind::kIdempotent),
           std::pair("/unsafe/", RouteKind::kNonIdempotent),
           std::pair("/stream/", RouteKind::kStreaming),
           std::pair(kLivePath, RouteKind::kStreaming) }) {
      state::Route route;
      route.id_ = state::RouteId(prefix);
      route.host_ = "shop.example";
      route.prefix_ = prefix;
      route.kind_ = kind;
      route.resumable_ = aStreamsResume && kind == RouteKind::kStreaming &&
                         route.prefix_ != kLivePath;
      route.timeout_ = aTimeout;
      route.latencyTarget_ = std::chrono::seconds(1);
      route.maxAttempts_ = kind == RouteKind::kNonIdempotent ? 1 : 2;
      route.services_ = { { state::ServiceId("app"), 1 } };
      config->routes_.push_back(route);
    }
    config->services_ = { { state::ServiceId("app"), 100, engine_ } };
    config->accounts_ = { { state::AccountId("one"), { "key-1" }, {} } };
    targets_.setView(config, std::make_shared<state::InstanceMap>(instances_));
    routes_.set(std::make_shared<const coordination::RouteTable>(config));
  }

  /** Adds targets i-1, i-2 and so on, and applies the configuration. */
  void startWith(const std::vector<state::Endpoint>& aTargets,
                 std::chrono::milliseconds aTimeout = std::chrono::seconds(3),
                 bool aStreamsResume = true)
  {
    for (const state::Endpoint& target : aTargets) {
      addTarget("i-" + std::to_string(instances_.size() + 1), target);
    }
    start(aTimeout, aStreamsResume);
  }

  /** Sends a request and reads until the relay closes the connection.
   * @return The bytes read. */
  std::string ask(const std::string& aRequest)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::address_v4::loopback(), server_.port() });
    boost::asio::write(socket, boost::asio::buffer(aRequest));
    std::string response;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
    return response;
  }

  /** @return A caller's request with a forged account header. */
  static std::string request(const std::string& aMethod,
                             const std::string& aPath,
                             const std::string& aBody = "",
                             const std::string& aId = "a1")
  {
    return aMethod + ' ' + aPath +
           " HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
           "X-Attempt-Id: " +
           aId +
           "\r\nX-Deadline-Ms: 2500\r\n"
           "X-Custom: kept\r\nX-Tenant-Id: forged\r\n"
           "Authorization: Bearer key-1\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  /** @return A target's response to request a1. */
  static std::string response(const std::string& aStatus,
                              const std::string& aBody,
                              const std::string& aHeaders = "")
  {
    return "HTTP/1.1 " + aStatus + "\r\nX-Attempt-Id: a1\r\n" +
           "X-Origin-Signature: s1\r\nContent-Type: text/plain\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  transport::SystemClock clock_;     ///< Clock.
  transport::TrafficPool pool_;      ///< Thread of the relay.
  LockedEventLog log_;               ///< Event log.
  transport::Metrics metrics_;       ///< Metrics.
  coordination::TargetPool targets_; ///< Chooses targets.
  coordination::RetryBudget budget_; ///< Limits retries.
  coordination::ResponseMemory responses_{ kMaxResponsesBytes }; ///< Responses.
  platform::RequestDialect dialect_; ///< Reads and writes headers.
  transport::SnapshotHolder<coordination::RouteTable>
    routes_; ///< Routes in force.
  std::vector<std::unique_ptr<transport::HttpClient>>
    clients_;                     ///< Clients of the relay's thread.
  transport::RelayHandler relay_; ///< The relay.
  transport::HttpServer server_;  ///< Listener of the relay.
  state::InstanceMap instances_;  ///< Targets by VM.
  std::optional<state::EngineSpec>
    engine_; ///< Engine of the service "app"; none for a plain service.
};

} // namespace auburnhaven::fakes
