// Test environment for a follower of an in-memory store.
#pragma once

#include "coordination/routing/store_follower.h"
#include "fakes/fake_event_log.h"
#include "fakes/fake_store.h"

#include <cstdlib>
#include <memory>
#include <string>

namespace auburnhaven::fakes {

/** Decodes the leading number of a text as the configuration version, and an
 * entry's text as a service name: "engine" is a model engine, "garbage" is no
 * instance, and anything else is a plain instance. */
class FakeRoutingCodec : public coordination::RoutingCodec
{
public:
  std::optional<state::DecodedRouting> decodeConfig(
    const std::string& aText) const override
  {
    const auto version = std::strtoull(aText.c_str(), nullptr, 10);
    if (version == 0) {
      return std::nullopt;
    }
    state::RoutingConfig config;
    config.version_ = state::Generation(version);
    return state::DecodedRouting{ std::move(config), {} };
  }
  std::optional<state::Instance> decodeInstance(
    const state::VmId& aVm,
    const std::string& aText) const override
  {
    if (aText == "garbage") {
      return std::nullopt;
    }
    state::Instance instance;
    instance.id_ = aVm;
    instance.service_ = state::ServiceId(aText);
    if (aText == "engine") {
      instance.engine_.emplace();
    }
    return instance;
  }
};

/** A follower with its store and clock. Not thread-safe. */
class FollowerWorld
{
public:
  /** @return Settings with the prefixes that the tests use. */
  static coordination::FollowerSettings followerSettings()
  {
    coordination::FollowerSettings settings;
    settings.configKey_ = "config";
    settings.instancePrefix_ = "vm/";
    settings.daemonPrefix_ = "own/";
    return settings;
  }

  /** Starts a follower of an empty store. */
  void start(const coordination::FollowerSettings& aSettings)
  {
    data_ = std::make_shared<FakeStoreData>();
    store_ = std::make_unique<FakeStore>(clock_, data_);
    follower_ = std::make_unique<coordination::StoreFollower>(
      clock_, *store_, codec_, log_, aSettings);
  }

  /** Advances the clock, the store and the follower in steps of 20 ms. Peers
   * that are heard know the store unless peersFollow_ is unset. */
  void run(state::Duration aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 20 };
    for (state::Duration elapsed{}; elapsed < aTime; elapsed += kStep) {
      clock_.advance(kStep);
      store_->step();
      if (peersFollow_) {
        follower_->noteConfirmed(clock_.now());
      }
      follower_->tick();
    }
  }

  /** @return Version of the current configuration. */
  std::uint64_t version() const
  {
    return follower_->config()->version_.value();
  }

  bool peersFollow_ = true;             ///< Whether the peers know the store.
  FakeClock clock_;                     ///< Clock.
  FakeRoutingCodec codec_;              ///< Decodes values.
  FakeEventLog log_;                    ///< Log.
  std::shared_ptr<FakeStoreData> data_; ///< Contents of the store.
  std::unique_ptr<FakeStore> store_;    ///< Client of the store.
  std::unique_ptr<coordination::StoreFollower> follower_; ///< The follower.
};

} // namespace auburnhaven::fakes
