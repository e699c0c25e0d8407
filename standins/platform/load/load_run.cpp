// A run of the load client.

#include "platform/load/load_run.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <unistd.h>

namespace auburnhaven::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kProbePeriod(1000); ///< Between two questions.
constexpr milliseconds kTick(20);          ///< Between two looks at the clock.
constexpr milliseconds kLateTick(50); ///< A tick that much too late is noted.
constexpr milliseconds kProbeTimeout(1000); ///< For each of them.

/**
 * Sends one request on a connection of its own.
 * @return Whether a whole answer came.
 */
bool
call(const asio::ip::tcp::endpoint& aEndpoint,
     const http::request<http::string_body>& aRequest,
     milliseconds aTimeout,
     http::response<http::string_body>& aAnswer,
     const asio::yield_context& aYield)
{
  boost::beast::tcp_stream stream(aYield.get_executor());
  stream.expires_after(aTimeout);
  error_code error;
  stream.async_connect(aEndpoint, aYield[error]);
  if (!error) {
    http::async_write(stream, aRequest, aYield[error]);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  boost::beast::flat_buffer buffer;
  if (!error) {
    http::async_read(stream, buffer, parser, aYield[error]);
  }
  aAnswer = parser.release();
  return !error;
}

/** @return The operator's answer to one attempt. */
AttemptRuns
runsFrom(const nlohmann::json& aEntry)
{
  const auto timeOf = [&](const char* aName) {
    return LoadTime(milliseconds(aEntry.value(aName, std::int64_t{ 0 })));
  };
  AttemptRuns runs;
  runs.runs_ = aEntry.value("runs", 0U);
  runs.begunAt_ = timeOf("begun_ms");
  runs.endedAt_ = timeOf("ended_ms");
  runs.brokeOffAt_ = timeOf("broke_off_ms");
  runs.orderedAwayAt_ = timeOf("ordered_away_ms");
  return runs;
}

} // namespace

LoadRun::LoadRun(const LoadOptions& aOptions)
  : options_(aOptions)
  , board_(aOptions.daemons_)
  , report_(board_)
  , shared_{ aOptions, board_, report_ }
  , input_(context_, ::dup(STDIN_FILENO))
{
}

std::size_t
LoadRun::run()
{
  asio::spawn(
    context_,
    [this](const asio::yield_context& aYield) { readSchedule(aYield); },
    asio::detached);
  asio::spawn(
    context_,
    [this](const asio::yield_context& aYield) { watchOwnDelay(aYield); },
    asio::detached);
  startProbes();
  startClients();
  context_.run();
  return report_.judge(std::cout, askForRuns());
}

void
LoadRun::startClients()
{
  std::mt19937_64 seeds(options_.seed_);
  for (std::uint32_t index = 0; index < options_.connections_; ++index) {
    auto client = std::make_shared<LoadConnection>(shared_, seeds());
    asio::spawn(
      context_,
      [client](const asio::yield_context& aYield) { client->run(aYield); },
      asio::detached);
  }
}

void
LoadRun::startProbes()
{
  for (std::size_t daemon = 0; daemon < board_.size(); ++daemon) {
    asio::spawn(
      context_,
      [this, daemon](const asio::yield_context& aYield) {
        probe(daemon, aYield);
      },
      asio::detached);
  }
}

void
LoadRun::probe(std::size_t aDaemon, const asio::yield_context& aYield)
{
  http::request<http::string_body> question(
    http::verb::get, options_.readyPath_, 11);
  question.set(http::field::host, "balancer");
  while (!shared_.ending_) {
    http::response<http::string_body> answer;
    const bool answered =
      call(board_.status(aDaemon), question, kProbeTimeout, answer, aYield);
    board_.noteProbe(aDaemon, answered && answer.result_int() == 200);
    asio::steady_timer timer(context_, kProbePeriod);
    error_code ignored;
    timer.async_wait(aYield[ignored]);
  }
}

void
LoadRun::watchOwnDelay(const asio::yield_context& aYield)
{
  while (!shared_.ending_) {
    const LoadTime begin = std::chrono::system_clock::now();
    asio::steady_timer timer(context_, kTick);
    error_code ignored;
    timer.async_wait(aYield[ignored]);
    const LoadTime end = std::chrono::system_clock::now();
    if (end - begin > kTick + kLateTick) {
      board_.noteOwnDelay(begin, end);
    }
  }
}

void
LoadRun::readSchedule(const asio::yield_context& aYield)
{
  std::string text;
  error_code error;
  while (!error && !shared_.ending_) {
    const std::size_t size = asio::async_read_until(
      input_, asio::dynamic_buffer(text), '\n', aYield[error]);
    const std::string line = text.substr(0, size);
    text.erase(0, size);
    shared_.ending_ = error || line == "end\n";
    board_.noteLine(line);
  }
}

std::map<std::string, AttemptRuns>
LoadRun::askForRuns()
{
  std::map<std::string, AttemptRuns> runs;
  const std::vector<std::string> attempts = report_.attemptsToAskFor();
  http::request<http::string_body> question(http::verb::post, "/runs", 11);
  question.set(http::field::host, "operator");
  question.body() = nlohmann::json(attempts).dump();
  question.prepare_payload();
  const std::size_t colon = options_.operator_.find(':');
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(options_.operator_.substr(0, colon)),
    static_cast<std::uint16_t>(
      std::stoul(options_.operator_.substr(colon + 1))));
  http::response<http::string_body> answer;
  bool answered = false;
  context_.restart();
  asio::spawn(
    context_,
    [&](const asio::yield_context& aYield) {
      answered = call(endpoint, question, kLoadDeadline, answer, aYield);
    },
    asio::detached);
  context_.run();
  const nlohmann::json entries =
    answered ? nlohmann::json::parse(answer.body()) : nlohmann::json::object();
  if (!answered) {
    std::cout << "FAULT the operator did not tell what ran" << std::endl;
  }
  for (const auto& [attempt, entry] : entries.items()) {
    runs[attempt] = runsFrom(entry);
  }
  return runs;
}

} // namespace auburnhaven::standins
