// The inside of Order, one part a file: order.cpp (calls, disk, ticks), election.cpp, holding.cpp,
// membership.cpp.
//
// A Paxos register with whole entries. What has to hold:
//  - a promise or an acceptance counts once the sender's disk has it, as the vote of (member, store);
//  - a voter promises an epoch once, to one candidate, and never goes back to an older one;
//  - a candidate that has promises of the voters of the newest entry among them (of both sets, while a change
//  of voters
//    may be under way) puts just that entry, under its own epoch, before anything else;
//  - a holder puts entry n+1 only after n is settled.
// Times serve progress alone: no vote is safe because of a clock.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_

#include <map>
#include <set>
#include <utility>

#include "base/random.hpp"
#include "mesh/consensus/message.hpp"
#include "mesh/consensus/order.hpp"

namespace fennelhollow::consensus {

using Votes = std::set<std::pair<MemberId, std::uint64_t>>;  // (member, store)

// Whether `votes` has a majority of the voters of `entry`, and, if `joint`, of those before them.
bool HasQuorum(const Entry& entry, const Votes& votes, bool joint);
bool IsVoter(const Entry& entry, const MemberId& member, std::uint64_t store);

class Order::Impl {
 public:
  Impl(const OrderSettings& settings, Micros now, Sink& sink);

  void OnMessage(Micros now, const MemberId& from, const std::string& bytes);
  void OnWritten(Micros now, std::uint64_t token, bool ok);
  void OnTick(Micros now);
  void SetContacts(std::vector<MemberId> contacts);
  void Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state);
  void Confirm(Micros now, std::uint64_t call);
  void HandOver(Micros now);

  bool holds() const { return role_ == Role::kHolder && settled_.epoch == epoch_; }
  const MemberId& holder() const { return holder_; }
  std::uint64_t epoch() const { return holder_epoch_; }
  const Entry& newest() const { return newest_; }
  bool busy() const { return under_way_; }
  std::vector<MemberId> known() const;
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  enum class Role { kFollower, kAsking, kCandidate, kHolder };
  static constexpr Micros kResendEntry = 200'000;
  static constexpr Micros kResendAsk = 100'000;
  static constexpr Micros kJoinEvery = 250'000;
  static constexpr Micros kCandidacy = 1'000'000;  // ends without a majority
  static constexpr Micros kProposal = 4'000'000;   // until its caller is told that it is unclear
  static constexpr Micros kConfirm = 900'000;      // until its caller is told so
  static constexpr Micros kDiskSlow = 250'000;     // a write out for longer: no candidacy
  static constexpr Micros kDiskBad = 1'000'000;    // a write out for longer: the holder hands over
  static constexpr Micros kDiskRetry = 200'000;
  static constexpr Micros kLeave = 1'000'000;      // to find a successor
  static constexpr Micros kLeaveBusy = 300'000;    // what is under way may be settled first
  static constexpr Micros kTakeOverFor = 400'000;  // the successor is told again and again
  static constexpr Micros kLeft = 3'000'000;       // no candidacy after it
  static constexpr Micros kResendRound = 50'000;
  static constexpr Micros kLearnerGone = 10'000'000;
  static constexpr Micros kJoinAfter = 2'000'000;  // a voter without a holder asks others than its own view
  static constexpr int kRemoveAfter = 3;           // times replace_after, if nobody can take its place
  static constexpr std::size_t kMostLearners = 16;
  static constexpr std::size_t kMostContacts = 64;
  static constexpr std::size_t kMostConfirms = 4096;

  struct Peer {  // the holder's picture of another member
    std::uint64_t store = 0;
    Micros heard = 0;
    bool answered = false;  // since this holder began
    Stamp acked;            // on its disk
    Stamp held;             // in its memory
    std::uint64_t round = 0;
    Stamp sent;
    Micros sent_at = 0;
  };
  struct Call {
    std::uint64_t call = 0;
    Micros began = 0;
  };

  // order.cpp
  Message Begin(Kind kind) const;
  void Send(const MemberId& to, const Message& message);
  void OnHolderMessage(const MemberId& from, const Message& m);
  void Flush();  // begins a write if there is something to write and none is out
  bool OnDisk() const;
  bool DiskOk() const;
  void SendAck(std::uint64_t round);
  void TrySettle(Stamp settled);
  void Settle();
  void SetHolder(const MemberId& holder, std::uint64_t epoch);
  void Rest();  // sets the time at which the order counts as without a holder
  void Learn(const std::vector<MemberId>& members);
  std::set<MemberId> Others() const;

  // election.cpp
  std::set<MemberId> VotersOf(const Entry& entry) const;
  void StartAsking();
  void SendAsk();
  void OnAskVote(const MemberId& from, const Message& m);
  void OnVote(const MemberId& from, const Message& m);
  void StartCandidacy(bool by_name);
  void SendPrepare();
  void OnPrepare(const MemberId& from, const Message& m);
  void AnswerPrepare();
  void OnPromise(const MemberId& from, const Message& m);
  void TryWin();
  void TickElection();
  bool HearsHolder() const;
  std::uint64_t EpochAbove(std::uint64_t epoch) const;

  // holding.cpp
  Message HolderMessage(Kind kind) const;
  void StartHolding();
  void StepDown(const char* why);
  std::vector<MemberId> Learners() const;
  void Put(Entry entry);  // begins to settle it
  void CountOwnVote();
  void OnAck(const MemberId& from, const Message& m);
  void TrySettleOwn();
  void SendBeat(const MemberId& to);
  void SendBeats();
  void SendEntry(const MemberId& to, Peer& peer);
  void StartRound();
  void TryConfirm();
  bool HearsMajority() const;
  bool TryHandOver();
  void SendTakeOver();
  void OnTakeOver(const MemberId& from, const Message& m);
  void TickHolding();

  // membership.cpp
  void AddLearner(const MemberId& member);
  void OnJoin(const MemberId& from, const Message& m);
  void OnView(const Message& m);
  void SendJoins();
  void TickMembership();
  void ChangeMembers();  // puts the next change that is due
  void PutMembers(const std::map<MemberId, std::uint64_t>& voters);
  bool CaughtUp(const Peer& peer) const;
  bool IsMember(const MemberId& member) const;  // a voter, whatever its store

  const OrderSettings settings_;
  Sink& sink_;
  merlinrun::Random random_;
  Micros now_ = 0;

  Durable mind_;  // as it shall be on disk
  // What the disk has for sure.
  std::uint64_t disk_promised_ = 0;
  Stamp disk_accepted_;
  bool unwritten_ = false;  // a founder's first record
  // The write that is out.
  std::uint64_t token_ = 0;
  bool writing_ = false;
  std::uint64_t writing_promised_ = 0;
  Stamp writing_accepted_;
  Micros writing_since_ = 0;
  bool write_failed_ = false;
  Micros retry_at_ = 0;

  Entry newest_;   // settled
  Stamp settled_;  // of newest_
  bool any_settled_ = false;

  Role role_ = Role::kFollower;
  MemberId holder_;
  std::uint64_t holder_epoch_ = 0;
  Micros heard_holder_ = 0;
  bool heard_any_ = false;
  Micros deadline_ = 0;
  std::set<MemberId> contacts_;  // as given
  std::set<MemberId> learned_;   // from others
  std::set<MemberId> learners_;  // as told by a holder
  Micros next_join_ = 0;
  Micros lost_since_ = 0;  // without a holder
  std::uint64_t unreadable_ = 0;

  // The candidate that mind_.promised was given to.
  MemberId promised_to_;
  std::uint64_t promised_life_ = 0;
  Stamp promised_has_;
  bool answer_due_ = false;

  // Asking, candidacy, holding.
  std::uint64_t epoch_ = 0;
  std::uint64_t highest_seen_ = 0;  // promised by anybody
  std::uint64_t ask_round_ = 0;
  Votes asked_;  // who said yes, or promised
  Micros began_ = 0;
  Micros asked_at_ = 0;
  bool by_name_ = false;
  bool prepared_ = false;  // the own promise is on disk
  Entry best_;             // newest among the promises
  Stamp removed_in_;       // an entry heard of as a candidate, in which this member is no voter

  std::map<MemberId, Peer> peers_;
  bool under_way_ = false;  // mind_.accepted is being settled
  Micros put_at_ = 0;
  Votes votes_;
  bool has_call_ = false;
  Call call_;
  Micros beat_at_ = 0;
  std::uint64_t round_ = 0;
  bool round_out_ = false;
  std::vector<Call> confirms_;       // of the round that is out
  std::vector<Call> confirms_next_;  // wait for the next one
  Micros leaving_since_ = 0;
  bool leaving_ = false;
  Micros no_candidacy_until_ = 0;
  MemberId successor_;
  Micros successor_until_ = 0;
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_IMPL_HPP_
