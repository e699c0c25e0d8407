// Open-loop load of callers with distinct prompts that checks every answer.

#include "load_report.h"
#include "state/digest_func.h"
#include "transport/http_client.h"
#include "transport/peer_auth.h"

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>

namespace {

using namespace auburnhaven;
using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Yield = boost::asio::yield_context;
using transport::HttpReadStatus;

constexpr std::chrono::seconds kDrainLimit{ 60 }; ///< For the last answers.
constexpr std::uint64_t kTokenModulus = 0xffff;   ///< Of the engine's rule.

/** Options of the command line. */
struct Options
{
  std::string target_;               ///< Endpoint of a daemon or engine.
  std::string key_;                  ///< Bearer key.
  std::string model_ = "assistant";  ///< Model to ask for.
  double rate_ = 42;                 ///< Requests begun a second.
  double seconds_ = 10;              ///< How long requests begin.
  std::uint32_t tokens_ = 219;       ///< Tokens of an answer.
  std::uint32_t concurrency_ = 1000; ///< Most requests open at once.
  std::uint32_t threads_ = 1;        ///< Threads.
  std::uint64_t seed_ = 1;           ///< Makes the prompts of a run distinct.
  std::vector<int> pids_;            ///< Processes whose CPU time is counted.
  bool direct_ = false;              ///< Speak to an engine.
  bool json_ = false;                ///< Print JSON.
};

/** What all threads share. */
struct Shared
{
  Options options_;                     ///< Options.
  state::Endpoint endpoint_;            ///< The target.
  Json role_;                           ///< Role of the engine when direct.
  Clock::time_point start_;             ///< When the first request is due.
  std::atomic<std::uint32_t> open_ = 0; ///< Requests open now.
};

/** @return Milliseconds between two instants. */
double
milliseconds(Clock::time_point aFrom, Clock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

/** @return Token of an answer by the stand-in engine's rule. */
std::string
expectedToken(const std::string& aPrompt, std::uint64_t aIndex)
{
  char text[8];
  std::snprintf(text,
                sizeof text,
                "%04x ",
                static_cast<unsigned int>(state::stableHash(aPrompt, aIndex) %
                                          kTokenModulus));
  return text;
}

/** One caller: sends one request and checks its answer. */
class Caller
{
public:
  /**
   * @param aShared What all share.
   * @param aNumber Number of the request.
   * @param aSamples Takes the figures.
   */
  Caller(Shared& aShared, std::uint64_t aNumber, bench::LoadSamples& aSamples)
    : shared_(aShared)
    , samples_(aSamples)
    , question_("question " + std::to_string(aShared.options_.seed_) + "-" +
                std::to_string(aNumber))
    , prompt_("user: " + question_ + "\n")
  {
  }

  /** Runs the request. @return Its outcome. */
  std::string run(transport::HttpClient& aClient,
                  Clock::time_point aDue,
                  const Yield& aYield)
  {
    last_ = aDue;
    transport::HttpCall call =
      aClient.open(shared_.endpoint_,
                   shared_.options_.direct_ ? directRequest() : chatRequest(),
                   { std::chrono::seconds(5),
                     std::chrono::seconds(60),
                     std::chrono::seconds(60) },
                   aYield);
    if (!call.hasResponse()) {
      return call.failure().bytesMayHaveArrived_ ? "lost" : "no connection";
    }
    if (call.status() != 200) {
      call.readAll(65536, aYield);
      return "status " + std::to_string(call.status());
    }
    return readAnswer(call, aYield);
  }

private:
  transport::HttpClientRequest chatRequest() const
  {
    const Json body{ { "model", shared_.options_.model_ },
                     { "stream", true },
                     { "max_tokens", shared_.options_.tokens_ },
                     { "messages",
                       { { { "role", "user" }, { "content", question_ } } } } };
    return { "POST",
             "/v1/chat/completions",
             { { "Content-Type", "application/json" },
               { "Authorization", "Bearer " + shared_.options_.key_ } },
             body.dump() };
  }

  transport::HttpClientRequest directRequest() const
  {
    const Json body{ { "request", question_ },
                     { "prompt", prompt_ },
                     { "max_tokens", shared_.options_.tokens_ },
                     { "priority", 0 },
                     { "resume_from", 0 },
                     { "stream", true },
                     { "copy",
                       { { "group", shared_.role_.value("group", "") },
                         { "index", shared_.role_.value("copy", 0) } } },
                     { "fencing", shared_.role_.value("fencing", 0) } };
    return { "POST",
             "/v1/generate",
             { { "Content-Type", "application/json" } },
             body.dump() };
  }

  std::string readAnswer(transport::HttpCall& aCall, const Yield& aYield)
  {
    for (;;) {
      const transport::HttpPiece line = aCall.readLine(aYield);
      if (line.status_ != HttpReadStatus::kData) {
        if (line.status_ == HttpReadStatus::kTimeout) {
          return "timeout";
        }
        const bool whole = line.status_ == HttpReadStatus::kEnd && done_ &&
                           tokens_ == shared_.options_.tokens_;
        return whole ? "whole" : "cut short";
      }
      std::string fault = shared_.options_.direct_ ? takeDirect(line.data_)
                                                   : takeEvent(line.data_);
      if (!fault.empty()) {
        aCall.abort();
        return fault;
      }
    }
  }

  std::string takeEvent(std::string_view aLine)
  {
    constexpr std::string_view kMark = "data: ";
    if (!aLine.starts_with(kMark)) {
      return {};
    }
    aLine.remove_prefix(kMark.size());
    if (aLine == "[DONE]") {
      done_ = true;
      return {};
    }
    const Json event = Json::parse(aLine, nullptr, false);
    if (event.is_discarded() || event.contains("error")) {
      return "error event";
    }
    const Json delta =
      event.value(Json::json_pointer("/choices/0/delta"), Json::object());
    if (!delta.is_object() || !delta.contains("content")) {
      return {};
    }
    const Json& content = delta["content"];
    return content.is_string() ? takeText(content.get<std::string>())
                               : std::string();
  }

  std::string takeDirect(std::string_view aLine)
  {
    const Json line = Json::parse(aLine, nullptr, false);
    if (!line.is_object()) {
      return "malformed line";
    }
    if (line.contains("done")) {
      done_ = true;
      return {};
    }
    return takeText(line.value("text", ""));
  }

  std::string takeText(const std::string& aText)
  {
    if (aText.empty()) {
      return {};
    }
    const auto now = Clock::now();
    (tokens_ == 0 ? samples_.firstToken_ : samples_.betweenTokens_)
      .push_back(milliseconds(last_, now));
    last_ = now;
    std::string expected;
    while (expected.size() < aText.size()) {
      expected += expectedToken(prompt_, tokens_++);
      ++samples_.tokens_;
    }
    return expected == aText && !done_ ? std::string() : "wrong answer";
  }

  Shared& shared_;              ///< What all share.
  bench::LoadSamples& samples_; ///< Takes the figures.
  std::string question_;        ///< Content of the message.
  std::string prompt_;          ///< Prompt as the engine gets it.
  Clock::time_point last_;      ///< Due time, then the latest token.
  std::uint64_t tokens_ = 0;    ///< Tokens received.
  bool done_ = false;           ///< Whether the end mark came.
};

/** Begins every aStride-th request when it is due. */
void
pace(Shared& aShared,
     std::uint64_t aFirst,
     boost::asio::io_context& aContext,
     transport::HttpClient& aClient,
     bench::LoadSamples& aSamples,
     const Yield& aYield)
{
  const Options& options = aShared.options_;
  const auto total =
    static_cast<std::uint64_t>(options.rate_ * options.seconds_);
  boost::asio::steady_timer timer(aContext);
  for (std::uint64_t number = aFirst; number < total;
       number += options.threads_) {
    const auto due =
      aShared.start_ +
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
        static_cast<double>(number) / options.rate_));
    timer.expires_at(due);
    boost::system::error_code ignored;
    timer.async_wait(aYield[ignored]);
    if (aShared.open_ >= options.concurrency_) {
      ++aSamples.outcomes_["not begun: concurrency"];
      continue;
    }
    ++aShared.open_;
    boost::asio::spawn(
      aContext,
      [&, due, number](const Yield& aInner) {
        Caller caller(aShared, number, aSamples);
        ++aSamples.outcomes_[caller.run(aClient, due, aInner)];
        --aShared.open_;
      },
      boost::asio::detached);
  }
}

/** Runs one thread's share of the load. */
void
runThread(Shared& aShared, std::uint64_t aFirst, bench::LoadSamples& aSamples)
{
  boost::asio::io_context context(1);
  transport::HttpClientLimits limits;
  limits.idlePerEndpoint_ = aShared.options_.concurrency_;
  transport::HttpClient client(context, limits);
  boost::asio::spawn(
    context,
    [&](const Yield& aYield) {
      pace(aShared, aFirst, context, client, aSamples, aYield);
    },
    boost::asio::detached);
  const auto limit =
    std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(aShared.options_.seconds_)) +
    kDrainLimit;
  context.run_for(limit);
}

/** Asks an engine for its role. */
Json
fetchRole(const state::Endpoint& aEndpoint)
{
  boost::asio::io_context context(1);
  transport::HttpClient client(context);
  Json role;
  boost::asio::spawn(
    context,
    [&](const Yield& aYield) {
      transport::HttpCall call =
        client.open(aEndpoint, { "GET", "/v1/report", {}, {} }, {}, aYield);
      if (call.status() == 200) {
        const Json report =
          Json::parse(call.readAll(65536, aYield).data_, nullptr, false);
        role = report.is_object() ? report.value("role", Json()) : Json();
      }
    },
    boost::asio::detached);
  context.run();
  return role;
}

/** @return Quantiles as JSON. */
Json
toJson(const bench::Quantiles& aQuantiles)
{
  return { { "p50", aQuantiles.p50_ },
           { "p95", aQuantiles.p95_ },
           { "p99", aQuantiles.p99_ } };
}

/** Prints the figures. @return Whether every request was answered whole. */
bool
report(const Options& aOptions,
       const bench::LoadSamples& aSamples,
       double aSeconds,
       double aCpuSeconds)
{
  std::uint64_t requests = 0;
  Json outcomes = Json::object();
  for (const auto& [outcome, count] : aSamples.outcomes_) {
    requests += count;
    outcomes[outcome] = count;
  }
  const auto whole = aSamples.outcomes_.find("whole");
  const std::uint64_t wholes =
    whole == aSamples.outcomes_.end() ? 0 : whole->second;
  Json result{
    { "requests", requests },
    { "whole", wholes },
    { "outcomes", outcomes },
    { "seconds", aSeconds },
    { "requests_per_second", static_cast<double>(wholes) / aSeconds },
    { "tokens_per_second", static_cast<double>(aSamples.tokens_) / aSeconds },
    { "first_token_ms", toJson(bench::quantilesOf(aSamples.firstToken_)) },
    { "between_tokens_ms", toJson(bench::quantilesOf(aSamples.betweenTokens_)) }
  };
  if (aCpuSeconds > 0) {
    result["cpu_seconds"] = aCpuSeconds;
    result["requests_per_core_second"] =
      static_cast<double>(wholes) / aCpuSeconds;
    result["tokens_per_core_second"] =
      static_cast<double>(aSamples.tokens_) / aCpuSeconds;
  }
  if (aOptions.json_) {
    std::cout << result.dump() << std::endl;
  } else {
    for (const auto& [name, value] : result.items()) {
      std::cout << name << ": " << value.dump() << std::endl;
    }
  }
  const auto expected =
    static_cast<std::uint64_t>(aOptions.rate_ * aOptions.seconds_);
  return wholes == expected;
}

/** Runs the whole load. @return Exit status. */
int
runLoad(const Options& aOptions)
{
  Shared shared;
  shared.options_ = aOptions;
  shared.endpoint_ = transport::parseEndpoint(aOptions.target_);
  if (shared.endpoint_.port_ == 0) {
    std::cerr << "load: target must be an IP number and a port" << std::endl;
    return 2;
  }
  if (aOptions.direct_) {
    shared.role_ = fetchRole(shared.endpoint_);
    if (!shared.role_.is_object()) {
      std::cerr << "load: the engine reports no role" << std::endl;
      return 2;
    }
  }
  const double cpuBefore = bench::cpuSeconds(aOptions.pids_);
  shared.start_ = Clock::now() + std::chrono::milliseconds(100);
  std::vector<bench::LoadSamples> samples(aOptions.threads_);
  std::vector<std::thread> threads;
  for (std::uint32_t index = 0; index < aOptions.threads_; ++index) {
    threads.emplace_back(
      [&, index] { runThread(shared, index, samples[index]); });
  }
  bench::LoadSamples all;
  for (std::uint32_t index = 0; index < aOptions.threads_; ++index) {
    threads[index].join();
    all.add(samples[index]);
  }
  const double seconds = milliseconds(shared.start_, Clock::now()) / 1000;
  const double cpu = bench::cpuSeconds(aOptions.pids_) - cpuBefore;
  return report(aOptions, all, seconds, cpu) ? 0 : 1;
}

/** Parses the command line and runs the load. @return Exit status. */
int
runCommand(int aCount, char** aArguments)
{
  Options options;
  CLI::App app("Open-loop load of callers that checks every answer");
  app.add_option("--target", options.target_, "IP:PORT")->required();
  app.add_option("--key", options.key_, "Bearer key");
  app.add_option("--model", options.model_, "Model to ask for");
  app.add_option("--rate", options.rate_, "Requests begun a second")
    ->check(CLI::Range(0.01, 1000000.0));
  app.add_option("--seconds", options.seconds_, "How long requests begin")
    ->check(CLI::Range(0.01, 3600.0));
  app.add_option("--tokens", options.tokens_, "Tokens of an answer");
  app.add_option("--concurrency", options.concurrency_, "Open requests");
  app.add_option("--threads", options.threads_, "Threads")
    ->check(CLI::Range(1, 64));
  app.add_option("--seed", options.seed_, "Makes prompts distinct");
  app.add_option("--pid", options.pids_, "Process to count CPU time of");
  app.add_flag("--direct", options.direct_, "Speak to an engine");
  app.add_flag("--json", options.json_, "Print JSON");
  CLI11_PARSE(app, aCount, aArguments);
  return runLoad(options);
}

} // namespace

/**
 * @param aCount Number of arguments.
 * @param aArguments The arguments.
 * @return 0 when every request was answered whole, 1 when not, 2 for wrong
 * arguments.
 */
int
main(int aCount, char** aArguments)
{
  try {
    return runCommand(aCount, aArguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "load: %s\n", error.what());
    return 2;
  }
}
