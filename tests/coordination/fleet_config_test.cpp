// Tests of committing, gossiping and following the configuration.

#include "fakes/fake_fleet.h"
#include "state/digest_func.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace auburnhaven;
using namespace std::chrono_literals;
using coordination::SubmitStatus;

class FleetConfigTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetConfigTest);
  CPPUNIT_TEST(changeComesIntoForce);
  CPPUNIT_TEST(removalComesIntoForce);
  CPPUNIT_TEST(onlyFewDaemonsWatch);
  CPPUNIT_TEST(concurrentSubmissionsConflict);
  CPPUNIT_TEST(lostReplyIsResolved);
  CPPUNIT_TEST(failedWriteIsRetried);
  CPPUNIT_TEST(repeatedSubmissionHasNoEffect);
  CPPUNIT_TEST(invalidConfigurationIsRefused);
  CPPUNIT_TEST(hundredChangesInABurst);
  CPPUNIT_TEST(oldRevisionNeverReverts);
  CPPUNIT_TEST(newDaemonGetsConfigurationWithoutStore);
  CPPUNIT_TEST(resumedDaemonCatchesUp);
  CPPUNIT_TEST(auditTrailIsChained);
  CPPUNIT_TEST(progressReportsUnreachableDaemon);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    clock_ = fakes::FakeClock();
    switch_ = std::make_unique<fakes::PeerSwitch>(clock_, 11);
    fleet_ = std::make_unique<fakes::FakeFleet>(
      clock_,
      [this](const state::Endpoint& aOwn) {
        return std::make_unique<fakes::FakePeerNetwork>(*switch_, aOwn);
      },
      11);
    fleet_->onDeliver([this] { switch_->step(); });
    fleet_->startAll(1, 9);
    fleet_->runUntil([this] { return fleet_->agreed(); }, 20s);
  }

  void tearDown() override
  {
    fleet_.reset();
    switch_.reset();
  }

  void changeComesIntoForce()
  {
    CPPUNIT_ASSERT(commit(3, 0, "group-1") == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(comesIntoForce(1, 9s));
    const auto& groups = fleet_->at(0, 7).node_->configuration()->groups_;
    CPPUNIT_ASSERT(groups.contains(state::GroupId("group-1")));
  }

  void removalComesIntoForce()
  {
    commit(3, 0, "group-1");
    coordination::Submission submission = makeSubmission(1, "group-2");
    submission.remove_ = { "group/group-1" };
    CPPUNIT_ASSERT(submit(2, submission).status_ == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(comesIntoForce(2, 9s));
    const auto& groups = fleet_->at(0, 7).node_->configuration()->groups_;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, groups.size());
    CPPUNIT_ASSERT(groups.contains(state::GroupId("group-2")));
  }

  void onlyFewDaemonsWatch()
  {
    std::size_t watchers = 0;
    for (const auto& [id, daemon] : fleet_->daemons()) {
      watchers += daemon.node_->follower().watches() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(coordination::kConfigWatchers, watchers);
  }

  void concurrentSubmissionsConflict()
  {
    std::vector<coordination::SubmitResult> results;
    const auto record = [&](const coordination::SubmitResult& aResult) {
      results.push_back(aResult);
    };
    fleet_->at(0, 3).node_->configStore().submit(makeSubmission(0, "group-1"),
                                                 record);
    fleet_->at(0, 6).node_->configStore().submit(makeSubmission(0, "group-2"),
                                                 record);
    fleet_->run(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, results.size());
    CPPUNIT_ASSERT(results[0].status_ != results[1].status_);
    const auto& conflicting =
      results[0].status_ == SubmitStatus::kConflict ? results[0] : results[1];
    const auto& committed =
      results[0].status_ == SubmitStatus::kConflict ? results[1] : results[0];
    CPPUNIT_ASSERT(conflicting.status_ == SubmitStatus::kConflict);
    CPPUNIT_ASSERT(committed.status_ == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, conflicting.theirs_.size());
    CPPUNIT_ASSERT(conflicting.theirs_[0] == committed.ours_);
    CPPUNIT_ASSERT(conflicting.ours_.documents_ != committed.ours_.documents_);
  }

  void lostReplyIsResolved()
  {
    // The next two writes of the daemon take effect, but their replies are
    // lost.
    loseWriteReplies(4, 2);
    CPPUNIT_ASSERT(commit(4, 0, "group-1") == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT(comesIntoForce(1, 9s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, storedGeneration());
  }

  void failedWriteIsRetried()
  {
    fleet_->at(0, 4).store_->faults().failWrites_ = 2;
    CPPUNIT_ASSERT(commit(4, 0, "group-1") == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, storedGeneration());
  }

  void repeatedSubmissionHasNoEffect()
  {
    const coordination::Submission first = makeSubmission(0, "group-1");
    submit(4, first);
    commit(5, 1, "group-2");
    const auto result = submit(6, first);
    CPPUNIT_ASSERT(result.status_ == SubmitStatus::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, result.generation_.value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, storedGeneration());
  }

  void invalidConfigurationIsRefused()
  {
    coordination::Submission submission = makeSubmission(0, "group-1");
    submission.put_["group/group-2"] = R"({"id":"group-2","copies":"two"})";
    submission.put_["account/a"] = "no JSON";
    submission.remove_ = { "group/none" };
    const auto result = submit(4, submission);
    CPPUNIT_ASSERT(result.status_ == SubmitStatus::kRefused);
    CPPUNIT_ASSERT(result.errors_.size() >= 4);
    CPPUNIT_ASSERT(fleet_->storeData().items_.count("config/head") == 0);
  }

  void hundredChangesInABurst()
  {
    for (std::uint64_t change = 0; change < 100; ++change) {
      const auto status =
        commit(change % 9, change, "group-" + std::to_string(change));
      CPPUNIT_ASSERT(status == SubmitStatus::kCommitted);
    }
    CPPUNIT_ASSERT(comesIntoForce(100, 9s));
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 100 },
      fleet_->at(0, 8).node_->configuration()->groups_.size());
  }

  void oldRevisionNeverReverts()
  {
    commit(4, 0, "group-1");
    const fakes::FakeStoreData old = fleet_->storeData();
    commit(4, 1, "group-2");
    CPPUNIT_ASSERT(comesIntoForce(2, 9s));
    fleet_->storeData() = old;
    // FakeFleet asserts at each step that no generation in force decreases.
    fleet_->run(40s);
    CPPUNIT_ASSERT(fleet_->inForce(state::Generation(2)));
    fleet_->start(0, 4, 1);
    fleet_->run(20s);
    CPPUNIT_ASSERT(fleet_->inForce(state::Generation(2)));
    const auto result = submit(2, makeSubmission(1, "group-3"));
    CPPUNIT_ASSERT(result.status_ == SubmitStatus::kUnavailable);
  }

  void newDaemonGetsConfigurationWithoutStore()
  {
    commit(4, 0, "group-1");
    CPPUNIT_ASSERT(comesIntoForce(1, 9s));
    fleet_->platformDown(0, true);
    fleet_->start(0, 9, 1).store_->faults().down_ = true;
    CPPUNIT_ASSERT(comesIntoForce(1, 9s));
  }

  void resumedDaemonCatchesUp()
  {
    commit(4, 0, "group-1");
    CPPUNIT_ASSERT(comesIntoForce(1, 9s));
    pause(5, true);
    fleet_->run(30s);
    commit(4, 1, "group-2");
    fleet_->run(30s);
    pause(5, false);
    CPPUNIT_ASSERT(comesIntoForce(2, 9s));
  }

  void auditTrailIsChained()
  {
    for (std::uint64_t change = 0; change < 5; ++change) {
      commit(change, change, "group-" + std::to_string(change));
    }
    std::vector<coordination::ConfigChange> changes;
    fleet_->at(0, 1).node_->configStore().history(
      10, [&](const auto& aChanges) { changes = aChanges.value(); });
    fleet_->run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, changes.size());
    for (std::size_t at = 0; at + 1 < changes.size(); ++at) {
      CPPUNIT_ASSERT(changes[at].from_ == changes[at + 1].generation_);
      CPPUNIT_ASSERT_EQUAL(
        state::sha256Hex(coordination::encodeChange(changes[at + 1])),
        changes[at].previous_);
      CPPUNIT_ASSERT_EQUAL(std::string("operator"), changes[at].author_);
    }
  }

  void progressReportsUnreachableDaemon()
  {
    pause(5, true);
    fleet_->run(10s);
    commit(4, 0, "group-1");
    CPPUNIT_ASSERT(comesIntoForce(1, 9s));
    fleet_->run(2s);
    std::size_t inForce = 0;
    std::size_t unreachable = 0;
    for (const auto& daemon : fleet_->at(0, 4).node_->progress().daemons_) {
      inForce += daemon.generation_ == state::Generation(1) ? 1 : 0;
      unreachable += daemon.reachable_ ? 0 : 1;
      CPPUNIT_ASSERT(daemon.reachable_ ||
                     daemon.id_ == fakes::FakeFleet::idOf(0, 5));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, inForce);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, unreachable);
  }

private:
  /** @return A submission that adds one serving group. */
  coordination::Submission makeSubmission(std::uint64_t aBase,
                                          const std::string& aGroup)
  {
    state::ServingGroup group;
    group.id_ = state::GroupId(aGroup);
    group.model_ = "assistant";
    coordination::Submission submission;
    submission.id_ = coordination::SubmissionId(
      "submission-" + std::to_string(++submissionCount_));
    submission.author_ = "operator";
    submission.summary_ = "add " + aGroup;
    submission.base_ = state::Generation(aBase);
    submission.put_[state::documentName(group.id_)] =
      state::encodeDocument(group);
    return submission;
  }

  /** @return Result of a submission to a daemon. */
  coordination::SubmitResult submit(std::size_t aDaemon,
                                    const coordination::Submission& aSubmission)
  {
    std::optional<coordination::SubmitResult> result;
    fleet_->at(0, aDaemon)
      .node_->configStore()
      .submit(aSubmission, [&](const coordination::SubmitResult& aResult) {
        result = aResult;
      });
    fleet_->runUntil([&] { return result.has_value(); }, 20s);
    CPPUNIT_ASSERT(result.has_value());
    return *result;
  }

  /** @return Status of a submission that adds a group. */
  SubmitStatus commit(std::size_t aDaemon,
                      std::uint64_t aBase,
                      const std::string& aGroup)
  {
    return submit(aDaemon, makeSubmission(aBase, aGroup)).status_;
  }

  /** Drops the replies to the next aCount writes of a daemon, which take
   * effect. */
  void loseWriteReplies(std::size_t aDaemon, std::uint32_t aCount)
  {
    fleet_->at(0, aDaemon).store_->faults().loseAnswers_ = aCount;
  }

  /** Pauses or resumes a daemon and the delivery of messages to it. */
  void pause(std::size_t aIndex, bool aPaused)
  {
    fleet_->at(0, aIndex).paused_ = aPaused;
    switch_->hold(fakes::FakeFleet::endpointOf(0, aIndex), aPaused);
  }

  /** @return Whether a generation comes into force on all daemons within a
   * time. */
  bool comesIntoForce(std::uint64_t aGeneration, state::Duration aLimit)
  {
    const state::Generation generation(aGeneration);
    return fleet_->runUntil([&] { return fleet_->inForce(generation); },
                            aLimit) < aLimit;
  }

  /** @return Generation of the head in the store. */
  std::uint64_t storedGeneration()
  {
    const auto head = coordination::decodeHead(
      fleet_->storeData().items_.at(coordination::kHeadKey).value_);
    return head->generation_.value();
  }

  fakes::FakeClock clock_;                    ///< Clock of the test.
  std::unique_ptr<fakes::PeerSwitch> switch_; ///< Simulated network.
  std::unique_ptr<fakes::FakeFleet> fleet_;   ///< Simulated daemons.
  std::uint64_t submissionCount_ = 0;         ///< Submissions made.
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetConfigTest);
