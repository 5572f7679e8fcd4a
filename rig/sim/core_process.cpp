#include "rig/sim/core_process.hpp"

#include <utility>

#include "mesh/transport/codec.hpp"

namespace fennelhollow::sim {

namespace {

constexpr Micros kTick = 25 * kMillisecond;
constexpr Micros kDialTimeout = kSecond;
constexpr Micros kRedialDelay = 100 * kMillisecond;
constexpr Micros kStableAfter = kSecond;
constexpr Micros kOpenTime = 20 * kMillisecond;
constexpr Micros kBackgroundTime = 2 * kMillisecond;
constexpr Micros kFlushTimeout = 200 * kMillisecond;

}  // namespace

CoreProcess::CoreProcess(EventQueue& events, Network& network, Disk& disk, Settings settings, Events observer)
    : events_(events),
      network_(network),
      disk_(disk),
      settings_(std::move(settings)),
      observer_(std::move(observer)),
      random_(settings_.incarnation),
      replica_(*this, {settings_.self, settings_.incarnation, {}}) {
  network_.Start(settings_.self, *this, settings_.incarnation);
  RunAt(events_.now() + kOpenTime, [this] { Open(); });
  RunAt(events_.now() + kTick, [this] { Tick(); });
}

void CoreProcess::RunAt(Micros when, std::function<void()> what) {
  network_.Deliver(when, settings_.self, settings_.incarnation, std::move(what));
}

void CoreProcess::Open() {
  consensus::ReplicaSettings replica;
  replica.seed = settings_.incarnation * 31 + 7;
  replica.initial_voters = settings_.seeds;
  replica.bootstrap = settings_.first_start;
  replica.persisted = disk_.synced;
  replica.seed_peers = settings_.seeds;
  replica_.Start(std::move(replica));
  if (terminated_at_ >= 0) replica_.PrepareShutdown();
  NotifyObserver();
}

void CoreProcess::Tick() {
  replica_.OnTick();
  NotifyObserver();
  RunAt(events_.now() + kTick, [this] { Tick(); });
  ExitIfDone();
}

void CoreProcess::Submit(control::CallKind kind, std::string body,
                         std::function<void(control::Response)> reply) {
  replica_.Submit(kind, std::move(body), std::move(reply));
  NotifyObserver();
}

// Same sequence as node::Core.
void CoreProcess::Terminate() {
  if (terminated_at_ >= 0) return;
  terminated_at_ = events_.now();
  replica_.PrepareShutdown();
}

void CoreProcess::ExitIfDone() {
  if (terminated_at_ < 0 || ended_) return;
  const Micros since = events_.now() - terminated_at_;
  if (replica_.HasPendingCalls() && since < 2 * kSecond) return;
  if (!replica_.ReadyForShutdown() && since < settings_.shutdown_timeout) return;
  if (replica_.IsLeader() && since < settings_.shutdown_timeout + kFlushTimeout) return;
  ended_ = true;
  events_.At(events_.now(), observer_.on_ended);
}

// ---- disk and threads

void CoreProcess::Write(const consensus::PersistentState& state, std::uint64_t token) {
  disk_.in_progress = state;
  const Micros done =
      std::max(events_.now(), disk_.stalled_until) + disk_.write_time + random_.Upto(disk_.write_time / 2);
  // A frozen process doesn't complete the write; a disk stall that began meanwhile restarts it.
  RunAt(done, [this, token] {
    if (events_.now() < disk_.stalled_until) {
      const consensus::PersistentState unwritten = *disk_.in_progress;
      return Write(unwritten, token);
    }
    const bool ok = !disk_.full;
    if (ok) disk_.synced = disk_.in_progress;
    disk_.in_progress.reset();
    replica_.OnWritten(token, ok);
    NotifyObserver();
  });
}

bool CoreProcess::RunInBackground(std::function<void()> work, std::function<void(const absl::Status&)> done) {
  work();
  RunAt(events_.now() + random_.Upto(kBackgroundTime), [this, done = std::move(done)] {
    done(absl::OkStatus());
    NotifyObserver();
  });
  return true;
}

void CoreProcess::Post(std::function<void()> next) {
  RunAt(events_.now(), [this, next = std::move(next)] {
    next();
    NotifyObserver();
  });
}

// ---- links

bool CoreProcess::SendToPeer(const consensus::ReplicaId& to, std::string_view frame) {
  if (to == settings_.self) return false;
  Peer& peer = peers_[to];
  if (peer.link == 0) {
    if (events_.now() < peer.retry_at) return false;
    DialPeer(to, peer);
  }
  return network_.Send(peer.link, settings_.self, std::string(frame));
}

void CoreProcess::DialPeer(const Address& to, Peer& peer) {
  peer.link = network_.Dial(settings_.self, to, kDialTimeout);
  peer.up = false;
}

void CoreProcess::SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& update) {
  const std::string frame = transport::Pack(update);
  for (const SidecarLink link : links) network_.Send(link, settings_.self, frame);
}

void CoreProcess::SendRecords(SidecarLink link, const push::ServerRecords& records) {
  network_.Send(link, settings_.self, transport::Pack(records));
}

void CoreProcess::CloseSidecar(SidecarLink link) {
  incoming_.erase(link);
  network_.Close(link, settings_.self);
}

void CoreProcess::OnAccepted(Network::LinkId link, const Address& from) {
  std::vector<Network::LinkId> older;
  for (const auto& [id, other] : incoming_) {
    if (other == from) older.push_back(id);
  }
  for (const Network::LinkId id : older) {
    incoming_.erase(id);
    network_.Close(id, settings_.self);
    replica_.OnSidecarDown(id);  // no effect if the link is from a core
  }
  incoming_[link] = from;
}

void CoreProcess::OnUp(Network::LinkId link) {
  for (auto& [to, peer] : peers_) {
    if (peer.link != link) continue;
    peer.up = true;
    peer.up_at = events_.now();
  }
}

void CoreProcess::OnFrame(Network::LinkId link, const std::string& frame) {
  const auto it = incoming_.find(link);
  if (it == incoming_.end()) return;
  const Address from = it->second;
  if (auto report = from.starts_with("side") ? transport::Unpack<push::SidecarReport>(frame)
                                             : absl::StatusOr<push::SidecarReport>(absl::NotFoundError(""));
      report.ok()) {
    replica_.OnSidecarReport(link, *report);
  } else {
    replica_.OnPeerFrame(from, frame);
  }
  NotifyObserver();
}

void CoreProcess::OnDown(Network::LinkId link, bool refused) {
  if (const auto it = incoming_.find(link); it != incoming_.end()) {
    incoming_.erase(it);
    replica_.OnSidecarDown(link);
    return;
  }
  for (auto& [to, peer] : peers_) {
    if (peer.link == link) return OnPeerDown(to, peer, refused);
  }
}

void CoreProcess::OnPeerDown(const Address& to, Peer& peer, bool refused) {
  const bool was_stable = peer.up && events_.now() - peer.up_at >= kStableAfter;
  peer.link = 0;
  peer.up = false;
  peer.retry_at = events_.now() + kRedialDelay;
  if (was_stable) DialPeer(to, peer);
  replica_.OnPeerDown(to);
  if (refused) replica_.OnPeerConnectionRefused(to);
  NotifyObserver();
}

}  // namespace fennelhollow::sim
