// The inside of Replica, one part a file: replica.cpp (calls, disk, ticks), election.cpp, leading.cpp,
// membership.cpp.
//
// A Paxos register with whole entries. What has to hold:
//  - a promise or an acceptance counts once the sender's disk has it, as the vote of (member, store);
//  - a voter promises an term once, to one candidate, and never goes back to an older one;
//  - a candidate that has promises of the voters of the newest entry among them (of both sets, while a change
//  of voters
//    may be under way) puts just that entry, under its own term, before anything else;
//  - a leader puts entry n+1 only after n is committed.
// Times serve progress alone: no vote is safe because of a clock.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_

#include <map>
#include <set>
#include <utility>

#include "base/random.hpp"
#include "mesh/consensus/message.hpp"
#include "mesh/consensus/replica.hpp"

namespace fennelhollow::consensus {

using Votes = std::set<std::pair<ReplicaId, std::uint64_t>>;  // (member, store)

// Whether `votes` has a majority of the voters of `entry`, and, if `joint`, of those before them.
bool HasQuorum(const Entry& entry, const Votes& votes, bool joint);
bool IsVoter(const Entry& entry, const ReplicaId& member, std::uint64_t store);
bool IsVoterOf(const Entry& entry, const ReplicaId& member);  // with whatever store

class Replica::Impl {
 public:
  Impl(const ReplicaSettings& settings, Micros now, Sink& sink);

  void OnMessage(Micros now, const ReplicaId& from, const std::string& bytes);
  void OnWritten(Micros now, std::uint64_t token, bool ok);
  void OnTick(Micros now);
  void SetSeedPeers(std::vector<ReplicaId> seed_peers);
  void Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state);
  void ConfirmLeadership(Micros now, std::uint64_t call);
  void TransferLeadership(Micros now);
  void PrepareShutdown(Micros now);
  bool ReadyForShutdown() const;
  void OnConnectionRefused(Micros now, const ReplicaId& peer);

  bool is_leader() const { return role_ == Role::kLeader && committed_.term == term_; }
  bool is_connected() const { return is_leader() ? HearsMajority() : !leader_.empty() && HearsLeader(); }
  const ReplicaId& leader() const { return leader_; }
  std::uint64_t term() const { return leader_term_; }
  const Entry& last_committed() const { return newest_; }
  bool replicating() const { return under_way_; }
  std::vector<ReplicaId> known_replicas() const;
  std::uint64_t malformed_messages() const { return malformed_messages_; }

 private:
  enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
  static constexpr Micros kResendEntry = 200'000;
  static constexpr Micros kResendAsk = 100'000;
  static constexpr Micros kJoinEvery = 250'000;
  static constexpr Micros kCandidacy = 1'000'000;  // ends without a majority
  static constexpr Micros kProposal = 4'000'000;   // until its caller is told that it is unclear
  static constexpr Micros kConfirm = 900'000;      // until its caller is told so
  static constexpr Micros kDiskSlow = 250'000;     // a write out for longer: no candidacy
  static constexpr Micros kDiskBad = 1'000'000;    // a write out for longer: the leader hands over
  static constexpr Micros kDiskRetry = 200'000;
  static constexpr Micros kLeave = 1'000'000;       // to find a successor
  static constexpr Micros kLeaveBusy = 300'000;     // what is under way may be committed first
  static constexpr Micros kTakeOverFor = 400'000;   // the successor is told again and again
  static constexpr Micros kLeft = 3'000'000;        // no candidacy after it
  static constexpr Micros kLeaveEvery = 100'000;    // the leader is asked again
  static constexpr Micros kLeaveAlone = 1'000'000;  // for a successor to show up before this one ends
  static constexpr Micros kRefusedJitter = 100'000;
  static constexpr Micros kResendRound = 50'000;
  static constexpr Micros kLearnerGone = 10'000'000;
  static constexpr Micros kJoinAfter = 2'000'000;  // a voter without a leader asks others than its own view
  static constexpr std::size_t kFewestVoters = 3;
  static constexpr std::size_t kMostLearners = 16;
  static constexpr std::size_t kMostContacts = 64;
  static constexpr std::size_t kMostConfirms = 4096;

  struct Peer {  // the leader's picture of another member
    std::uint64_t store = 0;
    Micros heard = 0;
    bool answered = false;  // since this leader began
    std::uint64_t incarnation = 0;
    bool leaves = false;  // this incarnation is about to end
    EntryId acked;        // on its disk
    EntryId held;         // in its memory
    std::uint64_t round = 0;
    EntryId sent;
    Micros sent_at = 0;
  };
  struct Call {
    std::uint64_t call = 0;
    Micros began = 0;
  };

  // replica.cpp
  Message Begin(MessageType type) const;
  void Send(const ReplicaId& to, const Message& message);
  void OnLeaderMessage(const ReplicaId& from, const Message& m);
  void Flush();  // begins a write if there is something to write and none is out
  bool OnDisk() const;
  bool DiskOk() const;
  void SendAck(std::uint64_t round);
  void TryCommit(EntryId committed);
  void Commit();
  void SetLeader(const ReplicaId& leader, std::uint64_t term);
  void ResetElectionTimer();  // sets the time at which the group counts as without a leader
  void Learn(const std::vector<ReplicaId>& members);
  std::set<ReplicaId> Others() const;

  // election.cpp
  std::set<ReplicaId> VotersOf(const Entry& entry) const;
  void StartPreVote();
  void SendPreVote();
  void OnPreVote(const ReplicaId& from, const Message& m);
  void OnPreVoteAnswer(const ReplicaId& from, const Message& m);
  void StartCandidacy(bool by_name);
  void SendPrepare();
  void OnPrepare(const ReplicaId& from, const Message& m);
  void AnswerPrepare();
  void OnPromise(const ReplicaId& from, const Message& m);
  void TryWin();
  void TickElection();
  bool HearsLeader() const;
  std::uint64_t TermAbove(std::uint64_t term) const;

  // leading.cpp
  Message LeaderMessage(MessageType type) const;
  void StartLeading();
  void StepDown(const char* why);
  std::vector<ReplicaId> Learners() const;
  void Replicate(Entry entry);  // begins to settle it
  void CountOwnVote();
  void OnAck(const ReplicaId& from, const Message& m);
  void TryCommitOwn();
  void SendHeartbeat(const ReplicaId& to);
  void SendHeartbeats();
  void SendEntry(const ReplicaId& to, Peer& peer);
  void StartRound();
  void TryConfirm();
  bool HearsMajority() const;
  bool TryTransferLeadership();
  void SendTakeOver();
  void OnTakeOver(const ReplicaId& from, const Message& m);
  void TickLeading();

  // membership.cpp
  void AddLearner(const ReplicaId& member);
  void OnJoin(const ReplicaId& from, const Message& m);
  void OnContacts(const Message& m);
  void SendJoins();
  void TickMembership();
  void OnLeave(const ReplicaId& from, const Message& m);
  void ChangeVoters();  // replicates the next change that is due
  bool FinishChange();
  bool TakeNewDisk();
  bool ReplaceVoter();
  bool AddVoter();
  bool RemoveVoter();
  bool DemoteVoter();
  std::vector<ReplicaId> Candidates() const;  // learners that may vote
  ReplicaId LeavingVoter() const;             // empty: none
  ReplicaId UnansweredVoter() const;
  ReplicaId SilentVoter(Micros for_at_least) const;
  std::map<ReplicaId, std::uint64_t> Voters() const;  // of the newest committed entry, with their stores
  bool AllVotersCaughtUp() const;
  void ReplicateVoters(const std::map<ReplicaId, std::uint64_t>& voters);
  bool CaughtUp(const Peer& peer) const;
  bool IsVoterId(const ReplicaId& member) const;  // a voter, whatever its store

  const ReplicaSettings settings_;
  Sink& sink_;
  merlinrun::Random random_;
  Micros now_ = 0;

  PersistentState durable_;  // as it shall be on disk
  // What the disk has for sure.
  std::uint64_t disk_promised_ = 0;
  EntryId disk_accepted_;
  bool unwritten_ = false;  // a founder's first record
  // The write that is out.
  std::uint64_t token_ = 0;
  bool writing_ = false;
  std::uint64_t writing_promised_ = 0;
  EntryId writing_accepted_;
  Micros writing_since_ = 0;
  bool write_failed_ = false;
  Micros retry_at_ = 0;

  Entry newest_;       // committed
  EntryId committed_;  // of newest_
  bool any_committed_ = false;

  Role role_ = Role::kFollower;
  ReplicaId leader_;
  std::uint64_t leader_term_ = 0;
  Micros heard_leader_ = 0;
  bool heard_any_ = false;
  Micros deadline_ = 0;
  std::set<ReplicaId> contacts_;  // as given
  std::set<ReplicaId> learned_;   // from others
  std::set<ReplicaId> learners_;  // as told by a leader
  Micros next_join_ = 0;
  Micros lost_since_ = 0;  // without a leader
  std::uint64_t malformed_messages_ = 0;

  // The candidate that durable_.promised_term was given to.
  ReplicaId promised_to_;
  std::uint64_t promised_incarnation_ = 0;
  EntryId promised_has_;
  bool answer_due_ = false;

  // Asking, candidacy, holding.
  std::uint64_t term_ = 0;
  std::uint64_t highest_seen_ = 0;  // promised by anybody
  std::uint64_t pre_vote_round_ = 0;
  Votes granted_;  // who said yes, or promised
  Micros began_ = 0;
  Micros asked_at_ = 0;
  bool by_name_ = false;
  bool prepared_ = false;  // the own promise is on disk
  Entry best_;             // newest among the promises
  EntryId removed_in_;     // an entry heard of as a candidate, in which this member is no voter

  std::map<ReplicaId, Peer> peers_;
  Micros even_since_ = 0;   // an even number of voters, at this leader; 0 = odd
  bool under_way_ = false;  // durable_.accepted is being committed
  Micros replicated_at_ = 0;
  Votes votes_;
  bool has_call_ = false;
  Call call_;
  Micros heartbeat_at_ = 0;
  std::uint64_t round_ = 0;
  bool round_out_ = false;
  std::vector<Call> confirms_;       // of the round that is out
  std::vector<Call> confirms_next_;  // wait for the next one
  Micros leaving_since_ = 0;
  bool leaving_ = false;
  Micros no_candidacy_until_ = 0;
  // This process is about to end.
  bool ends_ = false;
  Micros ends_since_ = 0;
  Micros next_leave_ = 0;
  bool others_have_all_ = false;  // as the leader said last
  ReplicaId successor_;
  Micros successor_until_ = 0;
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_
