// Implementation of Replica: replica.cpp (messages, disk writes, ticks), election.cpp, leading.cpp and
// membership.cpp.
//
// A Paxos register whose value is the whole replicated state. Safety rests on these invariants:
//  - A promise or an acceptance counts only once it is on the sender's disk, as a vote of (replica,
//  storage_id).
//  - A voter promises a term to one candidate only, and never returns to an older term.
//  - A candidate needs promises from a majority of the voters of the newest entry among those promises, or of
//    both sets if that entry changes voters. It first replicates that entry again under its own term.
//  - A leader replicates entry n+1 only after entry n is committed.
// Timeouts affect liveness only.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_

#include <map>
#include <set>
#include <utility>

#include "base/random.hpp"
#include "mesh/consensus/message.hpp"
#include "mesh/consensus/replica.hpp"

namespace fennelhollow::consensus {

using Votes = std::set<std::pair<ReplicaId, std::uint64_t>>;  // (replica, storage_id)

// Whether `votes` contains a majority of the voters of `entry` and, if `joint`, of its previous voters.
bool HasQuorum(const Entry& entry, const Votes& votes, bool joint);
bool IsVoter(const Entry& entry, const ReplicaId& member, std::uint64_t storage_id);
bool IsVoterWithAnyStorage(const Entry& entry, const ReplicaId& member);

class Replica::Impl {
 public:
  Impl(const ReplicaSettings& settings, Micros now, Sink& sink);

  void OnMessage(Micros now, const ReplicaId& from, const std::string& bytes);
  void OnWritten(Micros now, std::uint64_t token, bool ok);
  void OnTick(Micros now);
  void SetSeedPeers(std::vector<ReplicaId> seed_peers);
  void Propose(Micros now, std::uint64_t request_id, std::uint64_t base_index, std::string state);
  void ConfirmLeadership(Micros now, std::uint64_t request_id);
  void TransferLeadership(Micros now);
  void PrepareShutdown(Micros now);
  bool ReadyForShutdown() const;
  void OnConnectionRefused(Micros now, const ReplicaId& peer);

  bool is_leader() const { return role_ == Role::kLeader && committed_id_.term == term_; }
  bool is_connected() const {
    return is_leader() ? HasQuorumContact() : !leader_.empty() && HasLeaderContact();
  }
  const ReplicaId& leader() const { return leader_; }
  std::uint64_t term() const { return leader_term_; }
  const Entry& last_committed() const { return committed_entry_; }
  bool replicating() const { return replicating_; }
  std::vector<ReplicaId> known_replicas() const;
  std::uint64_t malformed_messages() const { return malformed_messages_; }

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
  static constexpr Micros kEntryResendInterval = 200'000;
  static constexpr Micros kVoteResendInterval = 100'000;
  static constexpr Micros kJoinInterval = 250'000;
  static constexpr Micros kCandidacyTimeout = 1'000'000;  // and the time of the writes
  // A candidate and its voters may each have to finish a write before the one that the election needs.
  static constexpr Micros kWritesPerElection = 4;
  static constexpr Micros kMaxWriteDuration = 1'000'000;  // what elections make allowance for
  static constexpr Micros kProposalTimeout = 4'000'000;   // then reported as Outcome::kIndeterminate
  static constexpr Micros kConfirmTimeout = 900'000;      // then reported as Outcome::kIndeterminate
  static constexpr Micros kSlowWrite = 250'000;           // no candidacy while a write takes longer
  static constexpr Micros kStalledWrite = 1'000'000;      // a leader then transfers leadership
  static constexpr Micros kWriteRetryDelay = 200'000;
  static constexpr Micros kTransferTimeout = 1'000'000;   // then steps down without a successor
  static constexpr Micros kTransferCommitWait = 300'000;  // for the entry that is being replicated
  static constexpr Micros kTimeoutNowPeriod = 400'000;    // resent to the successor for this long
  static constexpr Micros kNoCandidacyAfterTransfer = 3'000'000;
  static constexpr Micros kShutdownNoticeInterval = 100'000;
  static constexpr Micros kSuccessorWait = 1'000'000;  // minimum wait for a learner to replace this voter
  static constexpr Micros kRefusedElectionJitter = 100'000;
  static constexpr Micros kRoundResendInterval = 50'000;
  static constexpr Micros kLearnerTimeout = 10'000'000;
  // A leaderless voter contacts replicas beyond the voters it knows after this delay.
  static constexpr Micros kVoterJoinDelay = 2'000'000;
  static constexpr std::size_t kMinVoters = 3;
  static constexpr std::size_t kMaxLearners = 16;
  static constexpr std::size_t kMaxKnownReplicas = 64;
  static constexpr std::size_t kMaxPendingConfirms = 4096;

  // What the leader knows about another replica.
  struct Peer {
    std::uint64_t storage_id = 0;
    Micros last_heard = 0;
    bool acknowledged = false;  // has acknowledged anything in this term
    std::uint64_t incarnation = 0;
    bool shutting_down = false;  // only this incarnation
    EntryId acked;               // persisted
    EntryId accepted_in_memory;  // perhaps not persisted yet
    std::uint64_t round = 0;
    EntryId sent;
    Micros sent_at = 0;
  };
  struct PendingRequest {
    std::uint64_t id = 0;
    Micros started_at = 0;
  };

  // replica.cpp
  Message NewMessage(MessageType type) const;
  void Send(const ReplicaId& to, const Message& message);
  void OnLeaderMessage(const ReplicaId& from, const Message& m);
  void PersistIfNeeded();  // no-op while a write is in progress
  bool IsPersisted() const;
  bool DiskHealthy() const;
  // How much longer an election takes because of the disks, judged by this replica's own.
  Micros WriteAllowance() const;
  void SendAck(std::uint64_t round);
  void CommitIfAccepted(EntryId committed);
  void CommitAccepted();
  void SetLeader(const ReplicaId& leader, std::uint64_t term);
  Micros ElectionTimeout() const;
  void ResetElectionTimer();    // randomized
  void ShortenElectionTimer();  // for the next try of a candidate that was not elected
  void AddDiscovered(const std::vector<ReplicaId>& members);
  std::set<ReplicaId> DiscoveryTargets() const;

  // election.cpp
  std::set<ReplicaId> VotersOf(const Entry& entry) const;
  void StartPreVote();
  void SendPreVote();
  void OnPreVote(const ReplicaId& from, const Message& m);
  void OnPreVoteResponse(const ReplicaId& from, const Message& m);
  void StartElection(bool leader_consents);
  void SendPrepare();
  void OnPrepare(const ReplicaId& from, const Message& m);
  void SendPromiseIfPersisted();
  void OnPromise(const ReplicaId& from, const Message& m);
  void LeadIfElected();
  void TickElection();
  bool HasLeaderContact() const;
  std::uint64_t NextTerm(std::uint64_t term) const;

  // leading.cpp
  Message LeaderMessage(MessageType type) const;
  void StartLeading();
  void StepDown(const char* reason);
  std::vector<ReplicaId> Learners() const;
  void Replicate(Entry entry);
  void CountOwnVote();
  void OnAck(const ReplicaId& from, const Message& m);
  void CommitIfQuorum();
  void SendHeartbeat(const ReplicaId& to);
  void SendHeartbeats();
  void SendEntry(const ReplicaId& to, Peer& peer);
  void StartConfirmRound();
  void CompleteRoundIfQuorum();
  bool HasQuorumContact() const;
  bool TryTransferLeadership();
  void SendTimeoutNow();
  void OnTimeoutNow(const ReplicaId& from, const Message& m);
  void TickLeading();

  // membership.cpp
  void AddLearner(const ReplicaId& member);
  void OnJoin(const ReplicaId& from, const Message& m);
  void OnKnownReplicas(const Message& m);
  void SendJoins();
  void TickMembership();
  void OnShutdownNotice(const ReplicaId& from, const Message& m);
  void ChangeVoters();  // starts the most urgent change, if any
  bool FinishChange();
  bool ReplaceVoterStorage();
  bool ReplaceVoter();
  bool AddVoter();
  bool RemoveVoter();
  bool DemoteVoter();
  std::vector<ReplicaId> PromotableLearners() const;
  ReplicaId VoterShuttingDown() const;  // empty: none
  ReplicaId UnresponsiveVoter() const;
  ReplicaId SilentVoter(Micros for_at_least) const;
  std::map<ReplicaId, std::uint64_t> Voters() const;  // committed, with storage ids
  bool AllVotersCaughtUp() const;
  void ReplicateVoters(const std::map<ReplicaId, std::uint64_t>& voters);
  bool CaughtUp(const Peer& peer) const;
  bool IsVoterInAccepted(const ReplicaId& member) const;  // with any storage

  const ReplicaSettings settings_;
  Sink& sink_;
  merlinrun::Random random_;
  Micros now_ = 0;

  PersistentState durable_;  // newest, perhaps not persisted yet
  // The last completed write.
  std::uint64_t persisted_promised_term_ = 0;
  EntryId persisted_accepted_;
  bool initial_write_pending_ = false;  // of an initial voter
  // The write in progress.
  std::uint64_t write_token_ = 0;
  bool writing_ = false;
  std::uint64_t writing_promised_ = 0;
  EntryId writing_accepted_;
  Micros writing_since_ = 0;
  Micros write_duration_ = 0;  // of the slowest recent write, decaying; kMaxWriteDuration at most
  bool write_failed_ = false;
  Micros write_retry_at_ = 0;

  Entry committed_entry_;  // last committed
  EntryId committed_id_;
  bool has_committed_ = false;

  Role role_ = Role::kFollower;
  ReplicaId leader_;
  std::uint64_t leader_term_ = 0;
  Micros leader_heard_at_ = 0;
  bool leader_heard_ = false;
  Micros election_deadline_ = 0;
  std::set<ReplicaId> seed_peers_;
  std::set<ReplicaId> discovered_;  // from messages of other replicas
  std::set<ReplicaId> learners_;    // from the leader's last message
  Micros next_join_at_ = 0;
  Micros leaderless_since_ = 0;
  std::uint64_t malformed_messages_ = 0;

  // The candidate that durable_.promised_term was given to.
  ReplicaId promised_to_;
  std::uint64_t promised_incarnation_ = 0;
  EntryId candidate_accepted_;
  bool promise_pending_ = false;

  // Pre-vote, candidacy and leadership.
  std::uint64_t term_ = 0;               // of this replica as candidate or leader
  std::uint64_t highest_term_seen_ = 0;  // in any message received by this replica
  std::uint64_t pre_vote_round_ = 0;
  Votes granted_votes_;  // pre-votes, then promises
  Micros election_started_at_ = 0;
  Micros votes_requested_at_ = 0;
  bool leader_consents_ = false;
  bool own_promise_persisted_ = false;
  Entry newest_promised_;  // newest entry among the promises
  EntryId removed_by_;     // entry received in a promise that does not list this replica as voter

  std::map<ReplicaId, Peer> peers_;
  Micros even_voters_since_ = 0;  // 0 = the number of voters is odd
  bool replicating_ = false;      // durable_.accepted is not committed yet
  Micros replication_started_at_ = 0;
  Votes accept_votes_;
  bool has_proposal_ = false;
  PendingRequest proposal_;
  Micros last_heartbeat_at_ = 0;
  std::uint64_t heartbeat_round_ = 0;
  bool round_pending_ = false;
  std::vector<PendingRequest> round_confirms_;   // answered by the pending round
  std::vector<PendingRequest> queued_confirms_;  // answered by the next round
  Micros transfer_started_at_ = 0;
  bool transferring_ = false;
  Micros no_candidacy_until_ = 0;
  // Shutdown, from PrepareShutdown on.
  bool shutting_down_ = false;
  Micros shutdown_started_at_ = 0;
  Micros next_shutdown_notice_at_ = 0;
  bool voters_caught_up_ = false;  // from the leader's last message
  ReplicaId successor_;
  Micros timeout_now_until_ = 0;
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_
