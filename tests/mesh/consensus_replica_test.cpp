// Replicas over a simulated network and simulated disks, in virtual time.
#include <glog/logging.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <queue>
#include <set>

#include "base/random.hpp"
#include "mesh/consensus/message.hpp"
#include "mesh/consensus/replica.hpp"

namespace {

using namespace fennelhollow::consensus;
using merlinrun::Random;

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1'000'000;
const bool quiet = (FLAGS_minloglevel = std::getenv("CONSENSUS_LOG") != nullptr ? 0 : 3, true);

struct SimulatedCluster;

struct SimulatedReplica final : Sink {
  SimulatedReplica(SimulatedCluster& w, ReplicaId name) : cluster(w), id(std::move(name)) {}
  void Send(const ReplicaId& to, std::string message) override;
  void Write(const PersistentState& durable, std::uint64_t token) override;
  void Apply(const Entry& entry) override;
  void OnRequestDone(std::uint64_t request, Outcome outcome) override;
  void OnLeaderChange(const ReplicaId& leader, std::uint64_t) override { last_leader = leader; }

  SimulatedCluster& cluster;
  ReplicaId id;
  std::unique_ptr<Replica> replica;  // null while the process is down
  std::uint64_t incarnation = 0;
  std::optional<PersistentState> disk;
  Micros write_duration = kMs / 2;
  Micros disk_stalled_until = 0;
  bool disk_failing = false;
  Micros paused_until = 0;
  std::uint64_t applied_index = 0;  // by this incarnation
  int promises_sent = 0;
  bool shutting_down = false;  // this incarnation
  ReplicaId last_leader;
};

struct SimulatedCluster {
  SimulatedCluster(int count, int voter_count, std::uint64_t seed,
                   Micros replace = ReplicaSettings{}.replace_after)
      : random(seed), replace_after(replace) {
    for (int i = 0; i < count; ++i) {
      ids.push_back("10.0.0." + std::to_string(i + 1) + ":7000");
      replicas[ids.back()] = std::make_unique<SimulatedReplica>(*this, ids.back());
    }
    initial_voters.assign(ids.begin(), ids.begin() + voter_count);
    for (const ReplicaId& id : ids) Start(id, true);
  }

  void Schedule(Micros when, std::function<void()> action) {
    events.push({when, ++sequence, std::move(action)});
  }

  // Schedules an event for one incarnation of a replica (0: any). A paused process handles it when it
  // resumes.
  void ScheduleOn(Micros when, const ReplicaId& id, std::uint64_t incarnation,
                  std::function<void(SimulatedReplica&)> action) {
    Schedule(when, [this, id, incarnation, action] {
      SimulatedReplica& m = *replicas[id];
      if (!m.replica || (incarnation != 0 && m.incarnation != incarnation)) return;
      if (now < m.paused_until) return ScheduleOn(m.paused_until, id, incarnation, action);
      action(m);
    });
  }

  void RunUntil(Micros end) {
    while (!events.empty() && events.top().when <= end) {
      const Event event = events.top();
      events.pop();
      now = std::max(now, event.when);
      event.action();
    }
    now = end;
  }
  void Run(Micros time) { RunUntil(now + time); }
  // Whether `condition` became true within `time`.
  bool RunUntilTrue(const std::function<bool()>& condition, Micros time) {
    for (const Micros end = now + time; now < end; Run(5 * kMs)) {
      if (condition()) return true;
    }
    return condition();
  }

  void Start(const ReplicaId& id, bool first) {
    SimulatedReplica& m = *replicas[id];
    m.incarnation = ++incarnations;
    m.applied_index = 0;
    m.shutting_down = false;
    ReplicaSettings s;
    s.self = id;
    s.incarnation = m.incarnation;
    s.seed = random.Next();
    s.initial_voters = initial_voters;
    s.bootstrap = first;
    s.persisted = m.disk;
    s.seed_peers = initial_voters;
    s.replace_after = replace_after;
    s.remove_after = 3 * replace_after;
    m.replica = std::make_unique<Replica>(s, now, m);
    Tick(id, m.incarnation);
  }
  void Tick(const ReplicaId& id, std::uint64_t incarnation) {
    ScheduleOn(now + 25 * kMs, id, incarnation, [this, id, incarnation](SimulatedReplica& m) {
      m.replica->OnTick(now);
      Tick(id, incarnation);
    });
  }
  // Adds a replica with an empty disk.
  void Add(const ReplicaId& id) {
    ids.push_back(id);
    replicas[id] = std::make_unique<SimulatedReplica>(*this, id);
    Start(id, false);
  }
  void Kill(const ReplicaId& id) { replicas[id]->replica.reset(); }
  void KillAndWipeDisk(const ReplicaId& id) {
    Kill(id);
    replicas[id]->disk.reset();
  }
  void Partition(const std::set<ReplicaId>& side) {
    for (const ReplicaId& a : ids) {
      for (const ReplicaId& b : ids) {
        if (side.count(a) != side.count(b)) blocked_links.insert({a, b});
      }
    }
  }

  SimulatedReplica* Leader() {
    SimulatedReplica* best = nullptr;
    for (auto& [id, m] : replicas) {
      if (m->replica && m->replica->is_leader() && (!best || m->replica->term() > best->replica->term()))
        best = m.get();
    }
    return best;
  }
  SimulatedReplica* OtherVoter(const SimulatedReplica* than) {
    for (auto& [id, m] : replicas) {
      if (m.get() != than && m->replica && IsVoter(id)) return m.get();
    }
    return nullptr;
  }
  bool IsVoter(const ReplicaId& id) {
    SimulatedReplica* leader = Leader();
    if (!leader) return false;
    const Entry& e = leader->replica->last_committed();
    for (std::size_t i = 0; i < e.voters.size(); ++i) {
      if (e.voters[i] == id)
        return replicas[id]->disk && replicas[id]->disk->storage_id == e.voter_storage_ids[i];
    }
    return false;
  }
  // All voters have their storage, and no membership change is in progress.
  bool AllVotersPersisted() {
    SimulatedReplica* leader = Leader();
    if (!leader || leader->replica->replicating() ||
        !leader->replica->last_committed().previous_voters.empty())
      return false;
    const auto& voters = leader->replica->last_committed().voters;
    return std::all_of(voters.begin(), voters.end(), [&](const ReplicaId& id) { return IsVoter(id); });
  }
  std::size_t VoterCount() { return Leader() ? Leader()->replica->last_committed().voters.size() : 0; }

  std::uint64_t Propose(SimulatedReplica& m) {
    const std::uint64_t request = ++last_request;
    proposed[request] = {m.replica->last_committed().index,
                         "s" + std::to_string(request) + std::string(request % 7 * 100, 'x')};
    m.replica->Propose(now, request, proposed[request].first, proposed[request].second);
    return request;
  }
  std::uint64_t ConfirmLeadership(SimulatedReplica& m) {
    confirm_floor[++last_request] = last_done_index;
    m.replica->ConfirmLeadership(now, last_request);
    return last_request;
  }
  bool IsDone(std::uint64_t request) {
    return outcomes.count(request) > 0 && outcomes[request] == Outcome::kSuccess;
  }
  // Whether a proposal, retried at the current leader, is committed in time.
  bool CommitsProposal(Micros within) {
    const std::uint64_t before = last_done_index;
    for (const Micros end = now + within; now < end && last_done_index == before; Run(50 * kMs)) {
      if (SimulatedReplica* m = Leader(); m && now >= m->paused_until) Propose(*m);
    }
    return last_done_index > before;
  }
  bool AllAgree() {
    SimulatedReplica* leader = Leader();
    if (!leader) return false;
    for (auto& [id, m] : replicas) {
      if (!m->replica || m->replica->last_committed().index != leader->replica->last_committed().index)
        return false;
    }
    return true;
  }

  struct Event {
    Micros when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const { return std::pair(when, order) > std::pair(o.when, o.order); }
  };
  Random random;
  Micros replace_after;
  Micros now = kSecond;
  std::uint64_t sequence = 0, incarnations = 0, last_request = 0;
  std::priority_queue<Event> events;
  std::vector<ReplicaId> ids, initial_voters;
  std::map<ReplicaId, std::unique_ptr<SimulatedReplica>> replicas;
  std::set<std::pair<ReplicaId, ReplicaId>> blocked_links;
  double loss = 0, duplication = 0;
  Micros delay = kMs, extra_delay = 0;
  // State of the checks.
  std::map<std::uint64_t, std::pair<std::vector<ReplicaId>, std::string>> committed;  // by index
  std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> proposed;  // request: base index, state
  std::map<std::uint64_t, std::uint64_t> confirm_floor;  // request: last_done_index at its start
  std::map<std::uint64_t, Outcome> outcomes;
  std::map<std::uint64_t, std::string> done;  // by index
  std::uint64_t last_done_index = 0;
};

void SimulatedReplica::Send(const ReplicaId& to, std::string message) {
  REQUIRE(to != id);
  const auto sent = fennelhollow::transport::Unpack<Message>(message);
  if (sent.ok() && sent->type == MessageType::kPromise && sent->flag) ++promises_sent;
  const int copies = cluster.random.Unit() < cluster.duplication ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (cluster.random.Unit() < cluster.loss) continue;
    Micros latency = 200 + cluster.random.Upto(cluster.delay);
    if (cluster.random.Unit() < 0.05) latency += cluster.random.Upto(cluster.extra_delay);
    cluster.ScheduleOn(cluster.now + latency, to, 0, [this, message, from = id](SimulatedReplica& m) {
      if (cluster.blocked_links.count({from, m.id}) == 0) m.replica->OnMessage(cluster.now, from, message);
    });
  }
}

void SimulatedReplica::Write(const PersistentState& durable, std::uint64_t token) {
  const Micros end =
      std::max(cluster.now, disk_stalled_until) + write_duration + cluster.random.Upto(write_duration);
  // If the process dies during the write, the data may or may not reach the disk.
  const bool lost = cluster.random.Unit() < 0.5;
  cluster.Schedule(end, [this, durable, token, lost, its_incarnation = incarnation] {
    const bool same_incarnation = replica && incarnation == its_incarnation;
    if ((same_incarnation && !disk_failing) || (incarnation == its_incarnation && !lost && replica))
      disk = durable;
    if (!same_incarnation) return;
    cluster.ScheduleOn(cluster.now, id, its_incarnation,
                       [this, token, ok = !disk_failing](SimulatedReplica& m) {
                         m.replica->OnWritten(cluster.now, token, ok);
                       });
  });
}

void SimulatedReplica::Apply(const Entry& entry) {
  REQUIRE(entry.index > applied_index);
  applied_index = entry.index;
  const auto [it, fresh] = cluster.committed.emplace(entry.index, std::pair(entry.voters, entry.state));
  if (!fresh) REQUIRE(it->second == std::pair(entry.voters, entry.state));
}

void SimulatedReplica::OnRequestDone(std::uint64_t request, Outcome outcome) {
  REQUIRE(cluster.outcomes.emplace(request, outcome).second);  // exactly one outcome
  if (outcome != Outcome::kSuccess) return;
  if (const auto it = cluster.proposed.find(request); it != cluster.proposed.end()) {
    const std::uint64_t index = it->second.first + 1;
    REQUIRE(cluster.done.emplace(index, it->second.second).second);
    cluster.last_done_index = std::max(cluster.last_done_index, index);
    REQUIRE(replica->last_committed().state == it->second.second);
  } else {
    REQUIRE(replica->last_committed().index >= cluster.confirm_floor[request]);
  }
}

TEST_CASE("initial voters elect a leader within 1.5 s and commit proposals in order") {
  SimulatedCluster w(3, 3, 1);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() != nullptr; }, 1500 * kMs));
  REQUIRE(w.CommitsProposal(kSecond));
  for (int i = 0; i < 20; ++i) {
    const std::uint64_t request = w.Propose(*w.Leader());
    REQUIRE(w.RunUntilTrue([&] { return w.IsDone(request); }, 50 * kMs));
    const std::uint64_t read = w.ConfirmLeadership(*w.Leader());
    REQUIRE(w.RunUntilTrue([&] { return w.IsDone(read); }, 50 * kMs));
  }
  const std::uint64_t stale = ++w.last_request;
  w.proposed[stale] = {1, "stale"};
  w.Leader()->replica->Propose(w.now, stale, 1, "stale");
  REQUIRE(w.outcomes[stale] == Outcome::kNotLeader);
  w.Run(kSecond);
  REQUIRE(w.AllAgree());
  for (auto& [id, m] : w.replicas) REQUIRE(m->last_leader == w.Leader()->id);
  // Restart of all replicas.
  for (const ReplicaId& id : w.ids) w.Kill(id);
  w.Run(100 * kMs);
  for (const ReplicaId& id : w.ids) w.Start(id, false);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() != nullptr; }, 1500 * kMs));
  REQUIRE(w.Leader()->replica->last_committed().state == w.done[w.last_done_index]);
}

// Random faults. Apply and OnRequestDone check agreement, one success per index, and no stale reads.
void RunRandomFaults(int count, std::uint64_t seed) {
  CAPTURE(count, seed);
  SimulatedCluster w(count, 3, seed,
                     seed % 2 == 0 ? ReplicaSettings{}.replace_after
                                   : 700 * kMs);  // short: membership changes during partitions
  w.loss = w.random.Unit() < 0.5 ? 0.0 : 0.1;
  w.duplication = 0.05;
  w.extra_delay = w.random.Unit() < 0.5 ? 0 : 400 * kMs;
  w.Run(100 * kMs + w.random.Upto(3 * kSecond));  // initial voters must have written their first state
  for (auto& [id, m] : w.replicas) m->write_duration = w.random.Unit() < 0.5 ? kMs / 2 : 20 * kMs;
  const auto restart = [&](const ReplicaId& id) {
    w.Schedule(w.now + 50 * kMs + w.random.Upto(1500 * kMs), [&w, id] {
      if (!w.replicas[id]->replica) w.Start(id, false);
    });
  };
  const Micros end = w.now + 8 * kSecond;
  Micros next_fault = w.now;
  while (w.now < end) {
    w.Run(1 + w.random.Upto(40 * kMs));
    SimulatedReplica& client = *w.replicas[w.ids[w.random.Below(w.ids.size())]];
    if (client.replica && client.replica->is_leader() && w.now >= client.paused_until) {
      w.random.Unit() < 0.5 ? w.Propose(client) : w.ConfirmLeadership(client);
    }
    if (w.now < next_fault) continue;
    next_fault = w.now + w.random.Upto(900 * kMs);
    SimulatedReplica& m = *w.replicas[w.ids[w.random.Below(w.ids.size())]];
    switch (w.random.Below(12)) {
      case 0:
        w.Partition({m.id});
        break;
      case 1:
        w.Partition({w.ids[0], m.id});
        break;
      case 2:
      case 3:
        w.blocked_links.clear();
        break;
      case 4:
        w.Kill(m.id);
        restart(m.id);
        break;
      case 5:  // at most one voter without its disk
        if (!w.AllVotersPersisted()) break;
        w.KillAndWipeDisk(m.id);
        restart(m.id);
        break;
      case 6:  // all lose power, and one its disk
        if (w.AllVotersPersisted()) w.KillAndWipeDisk(m.id);
        for (const ReplicaId& id : w.ids) {
          w.Kill(id);
          restart(id);
        }
        break;
      case 7:
        m.disk_stalled_until = w.now + w.random.Upto(3 * kSecond);
        break;
      case 8:
        m.disk_failing = !m.disk_failing;
        break;
      case 9:
        m.paused_until = w.now + w.random.Upto(3 * kSecond);
        break;
      case 10:
        if (!m.replica) break;
        m.replica->PrepareShutdown(w.now);
        m.shutting_down = true;
        w.ScheduleOn(w.now + w.random.Upto(1500 * kMs), m.id, m.incarnation,
                     [&w, restart](SimulatedReplica& stopped) {
                       w.Kill(stopped.id);
                       restart(stopped.id);
                     });
        break;
      default:
        if (m.replica) m.replica->TransferLeadership(w.now);
    }
  }
  const bool restart_all = w.random.Unit() < 0.3;
  w.blocked_links.clear();
  w.loss = 0;
  w.extra_delay = 0;
  for (auto& [id, m] : w.replicas) {
    m->disk_failing = false;
    m->disk_stalled_until = m->paused_until = 0;
    if (restart_all || m->shutting_down) w.Kill(id);
    if (!m->replica) w.Start(id, false);
  }
  REQUIRE(w.CommitsProposal(5 * kSecond));
  REQUIRE(w.RunUntilTrue([&] { return w.VoterCount() >= 3 && w.AllAgree() && w.VoterCount() % 2 == 1; },
                         20 * kSecond));
  for (const auto& [index, state] : w.done) {
    const auto it = w.committed.find(index);
    REQUIRE((it != w.committed.end() && it->second.second == state));
  }
  REQUIRE(w.Leader()->replica->last_committed().index >= w.last_done_index);
}

struct StableCluster : SimulatedCluster {  // with a leader and all replicas caught up
  explicit StableCluster(int count, Micros replace = ReplicaSettings{}.replace_after)
      : SimulatedCluster(count, 3, 7, replace) {
    REQUIRE(RunUntilTrue([&] { return Leader() != nullptr; }, 1500 * kMs));
    REQUIRE(CommitsProposal(kSecond));
    REQUIRE(RunUntilTrue([&] { return AllAgree() && AllVotersPersisted(); }, 3 * kSecond));
  }
};

// Guards against candidacies that end before a majority has written its promises, again and again.
TEST_CASE("voters whose disks are all slow elect a leader, also after a restart, and keep it") {
  const Micros write_duration = GENERATE(300 * kMs, 500 * kMs);  // up to twice as long
  const int seed = GENERATE(range(1, 21));
  CAPTURE(write_duration, seed);
  SimulatedCluster w(3, 3, static_cast<std::uint64_t>(seed));
  for (auto& [id, m] : w.replicas) m->write_duration = write_duration;
  CHECK(w.RunUntilTrue([&] { return w.Leader() != nullptr; }, 10 * kSecond));
  for (const ReplicaId& id : w.ids) w.Kill(id);
  w.Run(2 * write_duration);
  for (const ReplicaId& id : w.ids) w.Start(id, false);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() != nullptr; }, 10 * kSecond));
  const ReplicaId leader = w.Leader()->id;
  w.Run(10 * kSecond);
  REQUIRE(w.Leader() != nullptr);
  CHECK(w.Leader()->id == leader);
  CHECK(w.CommitsProposal(4 * kSecond));
}

TEST_CASE("a fourth replica stays a learner, and a fifth makes five voters") {
  REQUIRE(StableCluster(4).VoterCount() == 3);
  StableCluster w(5);
  REQUIRE(w.RunUntilTrue([&] { return w.VoterCount() == 5; }, kSecond));
  // A voter that stays down is removed, and added again when it returns.
  SimulatedReplica* down = w.OtherVoter(w.Leader());
  w.Kill(down->id);
  REQUIRE(w.RunUntilTrue([&] { return w.VoterCount() == 4; }, 15 * kSecond));
  w.Start(down->id, false);
  REQUIRE(w.RunUntilTrue([&] { return w.VoterCount() == 5 && w.IsVoter(down->id); }, 3 * kSecond));
}

TEST_CASE("a voter that stays down is replaced by a learner, and returns as a learner") {
  StableCluster w(4);
  SimulatedReplica* down = w.OtherVoter(w.Leader());
  w.Kill(down->id);
  REQUIRE(w.RunUntilTrue([&] { return w.VoterCount() == 3 && !w.IsVoter(down->id); }, 6 * kSecond));
  REQUIRE(w.CommitsProposal(kSecond));
  w.Start(down->id, false);
  REQUIRE(w.RunUntilTrue([&] { return w.AllAgree(); }, 3 * kSecond));
  REQUIRE((w.VoterCount() == 3 && !w.IsVoter(down->id)));
}

TEST_CASE("a replica that lost its disk does not vote until the other voters add it again") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  SimulatedReplica* wiped = w.OtherVoter(leader);
  const std::uint64_t last = w.last_done_index;
  for (const ReplicaId& id : w.ids) w.Kill(id);
  w.KillAndWipeDisk(wiped->id);
  w.Start(wiped->id, false);
  w.Start(leader->id, false);
  w.Run(10 * kSecond);
  REQUIRE(w.Leader() == nullptr);
  REQUIRE(!wiped->disk.has_value());
  for (const ReplicaId& id : w.ids) {
    if (!w.replicas[id]->replica) w.Start(id, false);
  }
  REQUIRE(w.CommitsProposal(2 * kSecond));
  REQUIRE(w.RunUntilTrue([&] { return w.IsVoter(wiped->id); }, kSecond));
  REQUIRE(w.committed[last].second == w.done[last]);
  // Its vote counts again: another voter may fail.
  for (const ReplicaId& id : w.ids) {
    if (id == wiped->id) continue;
    w.Run(kSecond);
    w.Kill(id);
    REQUIRE(w.CommitsProposal(3 * kSecond));
    w.Start(id, false);
  }
}

TEST_CASE("with a partition of four replicas into halves, the side with two voters makes progress") {
  // Short, so that the partitioned leader tries to replace a voter by the learner on its side.
  StableCluster w(4, 700 * kMs);
  SimulatedReplica* leader = w.Leader();
  ReplicaId learner;
  for (const ReplicaId& id : w.ids) {
    if (!w.IsVoter(id)) learner = id;
  }
  w.Partition({leader->id, learner});
  const std::uint64_t read = w.ConfirmLeadership(*leader);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() && w.Leader() != leader; }, 2500 * kMs));
  REQUIRE(w.CommitsProposal(kSecond));
  REQUIRE(w.RunUntilTrue([&] { return !leader->replica->is_leader(); }, kSecond));
  REQUIRE(w.outcomes[read] != Outcome::kSuccess);
  w.blocked_links.clear();
  REQUIRE(w.RunUntilTrue([&] { return w.AllAgree(); }, kSecond));
}

TEST_CASE("leadership transfer takes less than 100 ms and loses no proposal") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  const std::uint64_t request = w.Propose(*leader);
  w.Run(100);
  leader->replica->TransferLeadership(w.now);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() && w.Leader() != leader; }, 100 * kMs));
  REQUIRE(w.IsDone(request));
  REQUIRE(w.CommitsProposal(kSecond));
}

TEST_CASE("a leader with a stalled or failing disk still commits, and transfers leadership") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  const bool stalls = GENERATE(true, false);
  leader->disk_failing = !stalls;
  leader->disk_stalled_until = stalls ? w.now + 20 * kSecond : 0;
  const std::uint64_t request = w.Propose(*leader);
  REQUIRE(w.RunUntilTrue([&] { return w.IsDone(request); }, 50 * kMs));
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() && w.Leader() != leader; }, 1500 * kMs));
  // When all disks fail, the leader stays and confirms reads.
  for (auto& [id, m] : w.replicas) m->disk_failing = true;
  SimulatedReplica* second = w.Leader();
  const std::uint64_t unclear = w.Propose(*second);
  w.Run(6 * kSecond);
  REQUIRE(w.outcomes[unclear] == Outcome::kIndeterminate);
  REQUIRE(w.Leader() == second);
  const std::uint64_t read = w.ConfirmLeadership(*second);
  REQUIRE(w.RunUntilTrue([&] { return w.IsDone(read); }, 100 * kMs));
}

TEST_CASE("a replica that was partitioned does not depose the leader when it returns") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  const std::uint64_t term = leader->replica->term();
  w.Partition({w.OtherVoter(leader)->id});
  w.Run(3 * kSecond);
  w.blocked_links.clear();
  w.Run(3 * kSecond);
  REQUIRE((w.Leader() == leader && leader->replica->term() == term));
  REQUIRE(w.AllAgree());
}

// Either the leader's heartbeats arrive but no acknowledgements, or the reverse.
TEST_CASE("after a one-way partition of the leader another leader is elected, and no read is stale") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  const bool outbound = GENERATE(true, false);
  for (const ReplicaId& id : w.ids)
    if (id != leader->id)
      w.blocked_links.insert(outbound ? std::pair(leader->id, id) : std::pair(id, leader->id));
  const std::uint64_t read = w.ConfirmLeadership(*leader);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() && w.Leader() != leader; }, 4 * kSecond));
  REQUIRE(w.CommitsProposal(kSecond));
  REQUIRE(w.RunUntilTrue([&] { return !leader->replica->is_leader(); }, 2 * kSecond));
  REQUIRE(!w.IsDone(read));
  w.blocked_links.clear();
  REQUIRE(w.RunUntilTrue([&] { return w.AllAgree(); }, 2 * kSecond));
}

TEST_CASE("a one-way partition between the leader and one voter does not stop progress") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  const ReplicaId other = w.OtherVoter(leader)->id;
  w.blocked_links.insert(GENERATE(true, false) ? std::pair(leader->id, other) : std::pair(other, leader->id));
  for (int i = 0; i < 10; ++i) {
    REQUIRE(w.CommitsProposal(2500 * kMs));
    w.Run(500 * kMs);
  }
  w.blocked_links.clear();
  REQUIRE(w.RunUntilTrue([&] { return w.AllAgree(); }, 2 * kSecond));
}

// A caught-up learner must get the vote before the voter shuts down, whether or not that voter leads.
TEST_CASE("a voter is replaced before it shuts down, so that a second failure leaves a majority") {
  StableCluster w(4);
  const bool leader_ends = GENERATE(true, false);
  SimulatedReplica* leaving = leader_ends ? w.Leader() : w.OtherVoter(w.Leader());
  leaving->replica->PrepareShutdown(w.now);
  REQUIRE(w.RunUntilTrue([&] { return leaving->replica->ReadyForShutdown(w.now); }, 700 * kMs));
  REQUIRE(!w.IsVoter(leaving->id));
  REQUIRE(w.VoterCount() == 3);
  w.Kill(leaving->id);
  w.Kill((leader_ends ? w.Leader() : w.OtherVoter(w.Leader()))->id);
  REQUIRE(w.CommitsProposal(3 * kSecond));
}

// A second failure may follow 4 s (catchUpS) after the start of the replacement.
TEST_CASE("the replacement of a crashed voter votes within 3 s") {
  StableCluster w(3);
  SimulatedReplica* gone = GENERATE(true, false) ? w.Leader() : w.OtherVoter(w.Leader());
  w.Kill(gone->id);
  w.Run(kSecond);
  w.Add("10.0.0.9:7000");
  w.Run(3 * kSecond);
  REQUIRE(w.IsVoter("10.0.0.9:7000"));
  w.Kill(w.Leader()->id);
  REQUIRE(w.CommitsProposal(3 * kSecond));
}

// The replacement starts before or after the voter begins to shut down.
TEST_CASE("a planned replacement becomes a voter as soon as it is caught up") {
  StableCluster w(3);
  const bool successor_first = GENERATE(true, false);
  SimulatedReplica* leaving = w.OtherVoter(w.Leader());
  if (successor_first) {
    w.Add("10.0.0.9:7000");
    w.Run(GENERATE(0, 20, 100, 400) * kMs);
  }
  leaving->replica->PrepareShutdown(w.now);
  w.Run(200 * kMs);
  if (!successor_first) w.Add("10.0.0.9:7000");
  REQUIRE(w.RunUntilTrue([&] { return w.IsVoter("10.0.0.9:7000"); }, 1500 * kMs));
  REQUIRE(w.RunUntilTrue([&] { return leaving->replica->ReadyForShutdown(w.now); }, 500 * kMs));
  w.Kill(leaving->id);
  w.Kill(w.Leader()->id);
  REQUIRE(w.CommitsProposal(3 * kSecond));
}

TEST_CASE(
    "a voter without a replacement keeps its vote, and is ready to shut down once others are caught up") {
  StableCluster w(3);
  SimulatedReplica* leaving = w.OtherVoter(w.Leader());
  SimulatedReplica* third = nullptr;
  for (auto& [id, m] : w.replicas)
    if (m.get() != leaving && m.get() != w.Leader()) third = m.get();
  third->disk_stalled_until = w.now + 2 * kSecond;  // the newest entry is on two disks only
  REQUIRE(w.CommitsProposal(kSecond));
  leaving->replica->PrepareShutdown(w.now);
  w.Run(1500 * kMs);
  REQUIRE(!leaving->replica->ReadyForShutdown(w.now));
  REQUIRE(w.RunUntilTrue([&] { return leaving->replica->ReadyForShutdown(w.now); }, 2 * kSecond));
  REQUIRE(w.IsVoter(leaving->id));
  // It returns as a voter, and a later replica replaces nobody.
  w.Kill(leaving->id);
  w.Run(500 * kMs);
  w.Start(leaving->id, false);
  w.Run(kSecond);
  w.Add("10.0.0.9:7000");
  w.Run(4 * kSecond);
  REQUIRE(w.IsVoter(leaving->id));
  REQUIRE(!w.IsVoter("10.0.0.9:7000"));
}

TEST_CASE(
    "refused connections speed up the replacement of a crashed leader, but do not depose a running one") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  const std::uint64_t term = leader->replica->term();
  for (auto& [id, m] : w.replicas)
    if (m.get() != leader) m->replica->OnConnectionRefused(w.now, leader->id);
  w.Run(kSecond);
  REQUIRE(w.Leader() == leader);  // a heartbeat came before a pre-vote majority
  REQUIRE(leader->replica->term() == term);
  w.Kill(leader->id);
  for (auto& [id, m] : w.replicas)
    if (m.get() != leader) m->replica->OnConnectionRefused(w.now, leader->id);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() && w.Leader() != leader; }, 400 * kMs));
}

// Otherwise a crash could undo the promise, and the old leader could still use the vote.
TEST_CASE("a promise is sent only once it is on disk") {
  StableCluster w(3);
  SimulatedReplica* leader = w.Leader();
  SimulatedReplica* voter = w.OtherVoter(leader);
  voter->promises_sent = 0;
  voter->disk_stalled_until = w.now + 4 * kSecond;
  w.Partition({leader->id});
  w.Run(3900 * kMs);
  REQUIRE(voter->promises_sent == 0);
  REQUIRE(w.RunUntilTrue([&] { return w.Leader() && w.Leader() != leader; }, 4 * kSecond));
  REQUIRE(voter->promises_sent + w.Leader()->promises_sent > 0);
  REQUIRE(w.CommitsProposal(kSecond));
}

TEST_CASE("malformed messages are counted and dropped") {
  StableCluster w(3);
  SimulatedReplica* m = w.Leader();
  m->replica->OnMessage(w.now, "10.0.0.9:1", "garbage");
  REQUIRE(m->replica->malformed_messages() == 1);
}

TEST_CASE("random faults: replicas agree, nothing is lost, and progress resumes after the last fault") {
  const int count = GENERATE(3, 4, 5);
  const char* first_seed = std::getenv("CONSENSUS_SEED");  // for longer searches
  const std::uint64_t first = first_seed != nullptr ? std::strtoull(first_seed, nullptr, 10) : 1;
  const char* days = std::getenv("CONSENSUS_DAYS");
  const std::uint64_t seed_count = days != nullptr ? std::strtoull(days, nullptr, 10) : 150;
  for (std::uint64_t seed = first; seed < first + seed_count; ++seed)
    RunRandomFaults(count, seed * 10 + static_cast<unsigned>(count));
}

}  // namespace
