#include "mesh/node/core.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "mesh/control/command.hpp"
#include "mesh/control/control_replica.hpp"
#include "mesh/memory/buffer_account.hpp"
#include "mesh/metrics/core_metrics.hpp"
#include "mesh/metrics/process_metrics.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/node/event_waiters.hpp"
#include "mesh/node/peer_links.hpp"
#include "mesh/node/process_limits.hpp"
#include "mesh/node/tombstone_writer.hpp"
#include "mesh/node/worker.hpp"
#include "mesh/push/messages.hpp"
#include "mesh/storage/store.hpp"
#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"
#include "mesh/transport/read_buffer.hpp"
#include "net/address.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::node {

namespace asio = merlinrun::net::asio;
using consensus::ReplicaId;
using control::CallKind;
using control::Command;
using control::ControlReplica;
using transport::Link;

namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kBusyTickInterval = 25 * kMillisecond;
constexpr Micros kIdleTickInterval = 50 * kMillisecond;
constexpr Micros kPendingCallsTimeout = 2000 * kMillisecond;  // for calls in flight at shutdown
// Share of the grace period in which its vote may move to another replica.
constexpr double kLeaveGraceFraction = 0.5;
// For handing over leadership and flushing the links to peers.
constexpr Micros kFlushTimeout = 200 * kMillisecond;
constexpr Micros kStoreRetryInterval = 500 * kMillisecond;
constexpr Micros kHelloTimeout = 2000 * kMillisecond;
// Sidecars and cores send something more often. Beyond it a link may give way to a new one.
constexpr Micros kMaxLinkSilence = 10'000 * kMillisecond;
constexpr std::int64_t kMebibyte = std::int64_t{1024} * 1024;
// Below the data directory. Existing stores have this name; it must not change.
constexpr char kStoreDirectory[] = "/barograph";

// Used on the disk worker's thread only.
struct Disk {
  std::unique_ptr<storage::Store> store;
};

struct OpenResult {
  absl::Status status;
  bool data_loss = false;  // a store exists but is corrupt
  std::optional<consensus::PersistentState> state;
  absl::StatusOr<std::vector<registry::Server>> tombstones;
};

OpenResult OpenStore(Disk& disk, const std::string& data_directory, std::size_t max_bytes) {
  OpenResult result;
  const std::string directory = data_directory + kStoreDirectory;
  auto store = storage::Store::Open(directory, max_bytes);
  if (absl::IsDataLoss(store.status())) {  // the corrupt store was set aside; the next one is empty
    result.data_loss = true;
    store = storage::Store::Open(directory, max_bytes);
  }
  if (!store.ok()) {
    result.status = store.status();
    return result;
  }
  auto read = (*store)->Read();
  if (read.ok()) {
    result.state = *std::move(read);
  } else if (absl::IsDataLoss(read.status())) {
    result.data_loss = true;
  } else {
    result.status = read.status();
    return result;
  }
  result.tombstones = ReadTombstones(data_directory);
  disk.store = *std::move(store);
  return result;
}

std::size_t StoreBytes(const settings::Settings& settings) {
  const std::int64_t budget = settings.disk_mb > 0 ? settings.disk_mb * kMebibyte * 3 / 4 : 64 * kMebibyte;
  return static_cast<std::size_t>(std::clamp(budget, 16 * kMebibyte, 192 * kMebibyte));
}

std::vector<ReplicaId> Seeds(const settings::Settings& settings) {
  const std::vector<std::string> seeds = settings.SeedInternalAddresses();
  const std::set<ReplicaId> addresses(seeds.begin(), seeds.end());
  return {addresses.begin(), addresses.end()};
}

ControlReplica::Settings ReplicaSettings(const settings::Settings& settings, std::uint64_t incarnation) {
  const auto& bounds = settings.bounds;
  return {settings.InternalAddress().Text(),
          incarnation,
          {bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack}};
}

}  // namespace

class Core::Impl : public control::ControlReplicaHost, private memory::BufferAccount::Holder {
 public:
  Impl(asio::io_context& io, settings::Settings settings, std::uint64_t incarnation,
       const ProcessOptions& options)
      : io_(io),
        loop_(io),
        settings_(std::move(settings)),
        incarnation_(incarnation),
        self_(settings_.InternalAddress().Text()),
        metrics_address_(options.metrics),
        invariants_(registry_, options.on_violation),
        buffers_(BufferLimits(settings_)),
        tick_timer_(loop_.NewTimer()),
        store_retry_timer_(loop_.NewTimer()),
        peers_(io, loop_,
               {.purpose = transport::Purpose::kCore,
                .from = settings_.node_name,
                .address = self_,
                .incarnation = incarnation},
               {[this](const ReplicaId& peer) { replica_.OnPeerDown(peer); },
                [this](const ReplicaId& peer) { replica_.OnPeerConnectionRefused(peer); }}),
        replica_(*this, ReplicaSettings(settings_, incarnation)),
        event_waiters_(replica_.events()) {
    buffers_.AddHolder(*this);
  }

  ~Impl() override {
    buffers_.RemoveHolder(*this);
    tick_timer_.reset();
    store_retry_timer_.reset();
    control_listener_.reset();
    for (auto& [link_id, incoming] : inbound_links_) incoming.link->Close();
    validation_worker_.reset();
    disk_worker_.reset();
    link_listener_.reset();  // last: a successor that has the address opens the store
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start();
  void OnSettings(const settings::Settings& settings);
  void Stop(std::function<void()> done);
  std::string StatusText() const;
  std::uint16_t control_port() const {
    return control_listener_ ? control_listener_->address().port() : std::uint16_t{0};
  }

 private:
  struct InboundLink {
    std::shared_ptr<Link> link;
    Micros accepted_at = 0;
    std::optional<transport::Hello> hello;
    Micros last_frame_at = 0;
    memory::BufferCharge input_charge;   // of an incomplete frame
    memory::BufferCharge output_charge;  // of what the peer has not read
  };
  using Pool = memory::BufferAccount::Pool;
  struct Counters {
    std::uint64_t misdirected_reports = 0, malformed_frames = 0, refused_links = 0, writes = 0,
                  failed_writes = 0, evicted_links = 0, skipped_pushes = 0;
  };

  // control::ControlReplicaHost
  Micros Now() const override { return loop_.Now(); }
  bool SendToPeer(const ReplicaId& to, std::string_view frame) override { return peers_.Send(to, frame); }
  void SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& update) override;
  void SendRecords(SidecarLink link, const push::ServerRecords& records) override;
  void CloseSidecar(SidecarLink link) override;
  void Write(const consensus::PersistentState& state, std::uint64_t token) override;
  bool RunInBackground(std::function<void()> work, std::function<void(const absl::Status&)> done) override {
    return validation_worker_->Run(std::move(work), std::move(done));
  }
  std::string ControlAddress(const ReplicaId& core) const override;
  void Post(std::function<void()> task) override;

  void OpenStoreAsync();
  void OnStoreOpened(OpenResult opened);
  void RestoreTombstones(absl::StatusOr<std::vector<registry::Server>> tombstones, bool disk_lost);
  void OnWritten(std::uint64_t token, const absl::Status& status);
  void WriteTombstones();
  void OnTick();
  void CheckCommitted();
  void UpdateMetrics();

  void OnAccepted(const std::shared_ptr<Link>& link);
  bool MakeRoomForLink();
  void SendFrame(std::uint64_t link_id, std::string_view frame);
  bool ChargeInput(std::uint64_t link_id, std::size_t bytes);
  // memory::BufferAccount::Holder
  std::optional<memory::Duration> HighestRank(Pool pool, const memory::BufferCharge* except) const override;
  void EndHighestRanked(Pool pool, const memory::BufferCharge* except) override;
  std::uint64_t FindHighestRankedLink(Pool pool, const memory::BufferCharge* except) const;
  std::optional<memory::Duration> LinkRankForMemory(const InboundLink& link, Pool pool,
                                                    const memory::BufferCharge* except) const;
  void OnFrame(std::uint64_t from, std::string_view frame);
  void OnHello(std::uint64_t from, std::string_view frame);
  void CloseSuperseded(std::uint64_t newest, const transport::Hello& hello);
  void CloseLink(std::uint64_t link_id);
  void CloseLinksWithoutHello();

  void OnCommand(Command command, ControlListener::Reply reply);
  std::size_t ExpectedResponseBytes(const Command& command) const;
  void FinishStopIfDone();

  asio::io_context& io_;
  merlinrun::net::AsioLoop loop_;
  settings::Settings settings_;
  const std::uint64_t incarnation_;
  const ReplicaId self_;
  const MetricsAddress metrics_address_;
  prometheus::Registry registry_;
  metrics::CoreMetrics metrics_{registry_};
  metrics::ProcessMetrics process_metrics_{registry_};
  metrics::Invariants invariants_;
  memory::BufferAccount buffers_;        // outlives all that is charged to it
  std::uint64_t highest_committed_ = 0;  // highest index of a committed entry seen so far
  std::unique_ptr<MetricsEndpointOpener> metrics_endpoint_;
  std::shared_ptr<int> liveness_token_ = std::make_shared<int>();
  std::unique_ptr<merlinrun::core::Timer> tick_timer_, store_retry_timer_;
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();
  std::unique_ptr<Worker> disk_worker_, validation_worker_;
  std::unique_ptr<TombstoneWriter> tombstone_writer_;  // once the store is open
  std::unique_ptr<transport::Listener> link_listener_;
  std::unique_ptr<ControlListener> control_listener_;
  PeerLinks peers_;
  ControlReplica replica_;
  EventWaiters event_waiters_;
  std::map<std::uint64_t, InboundLink> inbound_links_;
  std::uint64_t last_link_id_ = 0;
  bool disk_failing_ = false;
  Counters counters_;

  std::function<void()> on_stopped_;
  bool stopping_ = false;
  bool control_listener_stopped_ = false;
  Micros calls_deadline_ = 0, leave_deadline_ = 0, flush_deadline_ = 0;
};

absl::Status Core::Impl::Start() {
  try {
    // First, as the predecessor holds this address until its last write has ended.
    const settings::Address at = settings_.InternalListenAddress();
    link_listener_ = std::make_unique<transport::Listener>(
        io_, at.ip, at.port, Link::Limits{.max_frame_bytes = transport::kMaxHelloBytes},
        [this](const std::shared_ptr<Link>& link) { OnAccepted(link); });
    const auto address = settings_.listen.find("controlPlane");
    if (address != settings_.listen.end()) {
      const auto endpoint = merlinrun::net::ParseAddress(address->second.Text(), true);
      if (!endpoint) return absl::InvalidArgumentError("controlPlane is not an address");
      control_listener_ = std::make_unique<ControlListener>(
          io_, *endpoint, CoreControlLimits(settings_), buffers_,
          [this](Command command, ControlListener::Reply reply) {
            OnCommand(std::move(command), std::move(reply));
          },
          [this](const Command& command) { return ExpectedResponseBytes(command); });
    }
    disk_worker_ = std::make_unique<Worker>(io_, "disk");
    validation_worker_ = std::make_unique<Worker>(io_, "validation");
  } catch (const std::exception& error) {  // from the system or Asio
    return StartFailure(error);
  }
  metrics_endpoint_ = std::make_unique<MetricsEndpointOpener>(io_, settings_.ip, metrics_address_, registry_,
                                                              [this] { UpdateMetrics(); });
  OpenStoreAsync();
  tick_timer_->Start(kBusyTickInterval, [this] { OnTick(); });
  return absl::OkStatus();
}

void Core::Impl::Post(std::function<void()> task) {
  asio::post(io_, [alive = std::weak_ptr<int>(liveness_token_), task = std::move(task)] {
    if (alive.lock()) task();
  });
}

// Each read has a copy of the whole configuration.
std::size_t Core::Impl::ExpectedResponseBytes(const Command& command) const {
  if (!std::holds_alternative<control::Read>(command)) return 0;
  return replica_.replicated_state().newest().text().size();
}

// All cores use the same control plane port.
std::string Core::Impl::ControlAddress(const ReplicaId& core) const {
  if (!control_listener_) return {};
  return core.substr(0, core.rfind(':') + 1) + std::to_string(control_listener_->address().port());
}

// ---- store

void Core::Impl::OpenStoreAsync() {
  const auto opened = std::make_shared<OpenResult>();
  const bool queued = disk_worker_->Run(
      [disk = disk_, opened, directory = settings_.data_directory, max_bytes = StoreBytes(settings_)] {
        *opened = OpenStore(*disk, directory, max_bytes);
      },
      [this, opened](const absl::Status& ran) {
        if (!ran.ok()) opened->status = ran;
        OnStoreOpened(std::move(*opened));
      });
  if (!queued) store_retry_timer_->Start(kStoreRetryInterval, [this] { OpenStoreAsync(); });
}

void Core::Impl::OnStoreOpened(OpenResult opened) {
  if (!opened.status.ok()) {
    if (!disk_failing_) LOG(ERROR) << "cannot open the store, retrying: " << opened.status;
    disk_failing_ = true;
    store_retry_timer_->Start(kStoreRetryInterval, [this] { OpenStoreAsync(); });
    return;
  }
  disk_failing_ = false;
  if (opened.data_loss) LOG(ERROR) << "the store is corrupt: this member has lost its persisted state";
  consensus::ReplicaSettings replica;
  replica.seed = incarnation_ ^ 0x9e3779b97f4a7c15U;
  replica.initial_voters = Seeds(settings_);
  // Only a member that never had a store may bootstrap: one that lost its store may have voted before.
  replica.bootstrap = settings_.first_start && !opened.data_loss;
  replica.persisted = std::move(opened.state);
  replica.seed_peers = replica.initial_voters;
  LOG(INFO) << "core " << self_ << " starts, incarnation " << incarnation_ << ", "
            << (replica.persisted ? absl::StrCat("entry ", replica.persisted->accepted.index, " persisted")
                                  : std::string(replica.bootstrap ? "bootstrapping" : "nothing persisted"));
  RestoreTombstones(std::move(opened.tombstones), !settings_.first_start && !replica.persisted);
  tombstone_writer_ = std::make_unique<TombstoneWriter>(
      *disk_worker_, settings_.data_directory,
      [this](std::uint64_t version) { replica_.OnTombstonesWritten(version); });
  replica_.Start(std::move(replica));
  if (stopping_) FinishStopIfDone();
}

void Core::Impl::RestoreTombstones(absl::StatusOr<std::vector<registry::Server>> tombstones, bool disk_lost) {
  if (!tombstones.ok()) LOG(ERROR) << "tombstones cannot be read: " << tombstones.status().message();
  if (disk_lost || !tombstones.ok()) replica_.SetDiskLost();
  replica_.RestoreTombstones(tombstones.ok() ? *tombstones : std::vector<registry::Server>{});
}

void Core::Impl::Write(const consensus::PersistentState& state, std::uint64_t token) {
  ++counters_.writes;
  const auto status = std::make_shared<absl::Status>();
  const bool queued = disk_worker_->Run(
      [disk = disk_, status, state] { *status = disk->store->Write(state); },
      [this, token, status](const absl::Status& ran) { OnWritten(token, ran.ok() ? *status : ran); });
  if (queued) return;
  Post([this, token] { OnWritten(token, absl::ResourceExhaustedError("the disk queue is full")); });
}

void Core::Impl::OnWritten(std::uint64_t token, const absl::Status& status) {
  if (!status.ok()) ++counters_.failed_writes;
  if (!status.ok() != disk_failing_) {
    disk_failing_ = !disk_failing_;
    LOG(WARNING) << "disk writes "
                 << (disk_failing_ ? absl::StrCat("fail: ", status.ToString()) : "succeed again");
  }
  replica_.OnWritten(token, status.ok());
}

void Core::Impl::WriteTombstones() {
  if (tombstone_writer_) tombstone_writer_->Update(loop_.Now(), replica_.publisher().tombstones());
}

void Core::Impl::OnTick() {
  // Before the work, so that an exception does not end the ticks.
  const bool busy = replica_.NeedsFrequentTicks() || stopping_;
  tick_timer_->Start(busy ? kBusyTickInterval : kIdleTickInterval, [this] { OnTick(); });
  replica_.OnTick();
  WriteTombstones();
  event_waiters_.OnTick(loop_.Now());
  CloseLinksWithoutHello();
  CheckCommitted();
  if (stopping_) FinishStopIfDone();
}

void Core::Impl::CheckCommitted() {
  const std::uint64_t committed = replica_.committed_entry().index;
  invariants_.Check(metrics::Invariant::kCommittedEntryMonotonic, committed >= highest_committed_,
                    [&] { return absl::StrCat("entry ", committed, " after entry ", highest_committed_); });
  highest_committed_ = std::max(highest_committed_, committed);
}

void Core::Impl::UpdateMetrics() {
  process_metrics_.Update();
  const consensus::Replica* replica = replica_.replica();
  metrics_.is_leader.Set(replica_.IsLeader() ? 1 : 0);
  metrics_.term.Set(replica ? static_cast<double>(replica->term()) : 0);
  metrics_.committed_entry.Set(static_cast<double>(replica_.committed_entry().index));
  metrics_.configuration_version.Set(static_cast<double>(replica_.replicated_state().newest().version()));
  metrics_.sidecars.Set(static_cast<double>(replica_.publisher().ActiveSidecars(loop_.Now())));
}

// ---- inbound links from cores and sidecars

void Core::Impl::OnAccepted(const std::shared_ptr<Link>& link) {
  if (stopping_ || (inbound_links_.size() >= MaxCoreLinks(settings_) && !MakeRoomForLink())) {
    ++counters_.refused_links;
    link->Close();
    return;
  }
  const std::uint64_t link_id = ++last_link_id_;
  InboundLink& accepted = inbound_links_[link_id];
  accepted.link = link;
  accepted.accepted_at = accepted.last_frame_at = loop_.Now();
  Link::Events events;
  events.on_frame = [this, link_id](std::string_view frame) { OnFrame(link_id, frame); };
  events.on_closed = [this, link_id] { CloseLink(link_id); };
  events.on_drained = [this, link_id] {
    if (const auto it = inbound_links_.find(link_id); it != inbound_links_.end())
      it->second.output_charge.Release();
  };
  events.on_input_memory = [this, link_id](std::size_t bytes) { return ChargeInput(link_id, bytes); };
  link->Start(std::move(events));
}

// Closes the link that gives way to a new one: one without a Hello or, if there is none, one that has been
// silent for long. False if there is none.
bool Core::Impl::MakeRoomForLink() {
  const Micros now = loop_.Now();
  std::uint64_t giving_way = 0;
  memory::Duration highest_rank{0};
  for (const auto& [link_id, incoming] : inbound_links_) {
    const memory::Duration silence(now - incoming.last_frame_at);
    memory::PeerActivity activity;
    if (!incoming.hello)
      activity = {memory::PeerActivity::Kind::kIdle, silence, silence};
    else if (now - incoming.last_frame_at > kMaxLinkSilence)
      activity = {memory::PeerActivity::Kind::kSendsRequest, silence, silence};
    const auto rank = memory::RankForPlace(activity);
    if (!rank || (giving_way != 0 && *rank <= highest_rank)) continue;
    giving_way = link_id;
    highest_rank = *rank;
  }
  if (giving_way == 0) return false;
  ++counters_.evicted_links;
  CloseLink(giving_way);
  return true;
}

bool Core::Impl::ChargeInput(std::uint64_t link_id, std::size_t bytes) {
  const auto it = inbound_links_.find(link_id);
  return it == inbound_links_.end() || buffers_.ChargeOrReclaim(it->second.input_charge, bytes);
}

std::optional<memory::Duration> Core::Impl::LinkRankForMemory(const InboundLink& link, Pool pool,
                                                              const memory::BufferCharge* except) const {
  const auto holds = [&](const memory::BufferCharge& charge) {
    return &charge != except && charge.bytes() > 0 && charge.pool() == pool;
  };
  const bool is_charged = &link.input_charge == except || &link.output_charge == except;
  if (is_charged || (!holds(link.input_charge) && !holds(link.output_charge))) return std::nullopt;
  return memory::RankForMemory(link.link->Activity(memory::Clock::now()));
}

// 0 if there is none.
std::uint64_t Core::Impl::FindHighestRankedLink(Pool pool, const memory::BufferCharge* except) const {
  std::uint64_t highest_ranked = 0;
  memory::Duration highest_rank{0};
  for (const auto& [link_id, incoming] : inbound_links_) {
    const auto rank = LinkRankForMemory(incoming, pool, except);
    if (!rank || (highest_ranked != 0 && *rank <= highest_rank)) continue;
    highest_ranked = link_id;
    highest_rank = *rank;
  }
  return highest_ranked;
}

std::optional<memory::Duration> Core::Impl::HighestRank(Pool pool, const memory::BufferCharge* except) const {
  const auto it = inbound_links_.find(FindHighestRankedLink(pool, except));
  if (it == inbound_links_.end()) return std::nullopt;
  return LinkRankForMemory(it->second, pool, except);
}

void Core::Impl::EndHighestRanked(Pool pool, const memory::BufferCharge* except) {
  const std::uint64_t link_id = FindHighestRankedLink(pool, except);
  if (link_id == 0) return;
  ++counters_.evicted_links;
  CloseLink(link_id);
}

// Skipped if there is no memory for it: the publisher repeats what is not acknowledged.
void Core::Impl::SendFrame(std::uint64_t link_id, std::string_view frame) {
  const auto it = inbound_links_.find(link_id);
  if (it == inbound_links_.end()) return;
  InboundLink& incoming = it->second;
  const std::size_t queued = incoming.link->queued_bytes();
  // A queue that is not empty grows by doubling.
  const std::size_t bytes = queued == 0 ? frame.size() : 2 * (queued + frame.size());
  const std::size_t charged = bytes <= transport::kReadBufferBytes ? 0 : bytes;
  if (charged > incoming.output_charge.bytes() &&
      !buffers_.ChargeOrReclaim(incoming.output_charge, charged)) {
    ++counters_.skipped_pushes;
    return;
  }
  incoming.link->Send(frame);
}

void Core::Impl::SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& update) {
  const std::string frame = transport::Pack(update);
  for (const SidecarLink link : links) SendFrame(link, frame);
}

void Core::Impl::SendRecords(SidecarLink link, const push::ServerRecords& records) {
  SendFrame(link, transport::Pack(records));
}

void Core::Impl::CloseSidecar(SidecarLink link) {  // called by the replica, which has dropped it already
  const auto it = inbound_links_.find(link);
  if (it == inbound_links_.end()) return;
  const std::shared_ptr<Link> closing = std::move(it->second.link);
  inbound_links_.erase(it);
  closing->Close();
}

void Core::Impl::CloseLink(std::uint64_t link_id) {
  const auto it = inbound_links_.find(link_id);
  if (it == inbound_links_.end()) return;
  const InboundLink closed = std::move(it->second);
  inbound_links_.erase(it);
  closed.link->Close();
  if (closed.hello && closed.hello->purpose == transport::Purpose::kControl) replica_.OnSidecarDown(link_id);
}

void Core::Impl::CloseLinksWithoutHello() {
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> expired;
  for (const auto& [link_id, incoming] : inbound_links_) {
    if (!incoming.hello && now >= incoming.accepted_at + kHelloTimeout) expired.push_back(link_id);
  }
  for (const std::uint64_t link_id : expired) CloseLink(link_id);
}

void Core::Impl::OnFrame(std::uint64_t from, std::string_view frame) {
  const auto it = inbound_links_.find(from);
  if (it == inbound_links_.end()) return;
  const std::shared_ptr<Link> link = it->second.link;  // keeps it alive if it is closed below
  it->second.last_frame_at = loop_.Now();
  if (!it->second.hello) return OnHello(from, frame);
  if (it->second.hello->purpose == transport::Purpose::kCore) {
    const ReplicaId peer = it->second.hello->address;
    return replica_.OnPeerFrame(peer, frame);
  }
  auto report = transport::Unpack<push::SidecarReport>(frame);
  if (!report.ok()) {
    ++counters_.malformed_frames;
    return CloseLink(from);
  }
  replica_.OnSidecarReport(from, *report);
  WriteTombstones();
}

void Core::Impl::OnHello(std::uint64_t from, std::string_view frame) {
  auto hello = transport::Unpack<transport::Hello>(frame);
  const bool good = hello.ok() && transport::IsCompatible(*hello);
  const bool wanted =
      good && (hello->purpose == transport::Purpose::kControl ||
               (hello->purpose == transport::Purpose::kCore && merlinrun::net::ParseAddress(hello->address)));
  if (!wanted) {
    ++(good ? counters_.refused_links : counters_.malformed_frames);
    return CloseLink(from);
  }
  inbound_links_[from].link->SetMaxFrameBytes(transport::kMaxFrameBytes);
  CloseSuperseded(from, *hello);
  inbound_links_[from].hello = *std::move(hello);
}

// Each peer keeps one link per purpose: a new one replaces older ones, which are stale.
void Core::Impl::CloseSuperseded(std::uint64_t newest, const transport::Hello& hello) {
  std::vector<std::uint64_t> older;
  for (const auto& [link_id, incoming] : inbound_links_) {
    if (link_id != newest && incoming.hello && incoming.hello->purpose == hello.purpose &&
        incoming.hello->address == hello.address) {
      older.push_back(link_id);
    }
  }
  for (const std::uint64_t link_id : older) CloseLink(link_id);
}

// ---- calls

void Core::Impl::OnCommand(Command command, ControlListener::Reply reply) {
  if (auto* replace = std::get_if<control::Replace>(&command))
    return replica_.Submit(CallKind::kReplace, std::move(replace->body), std::move(reply));
  if (auto* modify = std::get_if<control::Modify>(&command))
    return replica_.Submit(CallKind::kModify, std::move(modify->body), std::move(reply));
  if (std::holds_alternative<control::Read>(command))
    return replica_.Submit(CallKind::kRead, {}, std::move(reply));
  if (std::holds_alternative<control::Status>(command)) return reply({200, StatusText(), {}});
  if (const auto* events = std::get_if<control::ReadEvents>(&command))
    return event_waiters_.OnCall(loop_.Now(), *events, std::move(reply));
  // Servers report to their own sidecar, which informs the cores. A core does not record such a report, so
  // acknowledging it would lose it: the core answers 503, and the server tries its next address.
  if (std::holds_alternative<control::InstanceHeartbeat>(command) ||
      std::holds_alternative<control::InstanceDeparture>(command)) {
    ++counters_.misdirected_reports;
    return reply(control::UnavailableResponse("servers report to the sidecar on their own machine"));
  }
  const bool method_not_allowed = std::get<control::Unknown>(command).method_not_allowed;
  reply(method_not_allowed ? control::ErrorResponse(405, "not with this method")
                           : control::ErrorResponse(404, "there is no such path"));
}

// ---- settings, shutdown, status

void Core::Impl::OnSettings(const settings::Settings& settings) {
  settings_.seeds = settings.seeds;
  replica_.SetSeedPeers(Seeds(settings_));
}

void Core::Impl::Stop(std::function<void()> done) {
  if (stopping_) return;
  LOG(INFO) << "core " << self_ << " is stopping";
  stopping_ = true;
  on_stopped_ = std::move(done);
  calls_deadline_ = loop_.Now() + kPendingCallsTimeout;
  leave_deadline_ =
      loop_.Now() + static_cast<Micros>(settings_.bounds.grace_period_s * 1e6 * kLeaveGraceFraction);
  replica_.PrepareShutdown();
  event_waiters_.Stop();
  control_listener_stopped_ = !control_listener_;
  if (control_listener_) control_listener_->Stop([this] { control_listener_stopped_ = true; });
}

void Core::Impl::FinishStopIfDone() {
  if (!on_stopped_) return;
  const Micros now = loop_.Now();
  const bool calls_pending = !control_listener_stopped_ || replica_.HasPendingCalls();
  if (calls_pending && now < calls_deadline_) return;
  if (!replica_.ReadyForShutdown() && now < leave_deadline_) return;
  if (flush_deadline_ == 0) flush_deadline_ = now + kFlushTimeout;
  if ((replica_.IsLeader() || peers_.queued_bytes() > 0) && now < flush_deadline_) return;
  // Called here and not posted, so that nothing is accepted in between.
  std::exchange(on_stopped_, nullptr)();
}

std::string Core::Impl::StatusText() const {
  const consensus::Replica* replica = replica_.replica();
  nlohmann::json out;
  out["role"] = replica_.IsLeader() ? "holder" : replica ? "member" : "starting";
  out["self"] = self_;
  out["life"] = incarnation_;
  out["epoch"] = replica ? replica->term() : 0;
  out["holder"] = replica ? replica->leader() : "";
  out["entry"] = replica_.committed_entry().index;
  out["version"] = replica_.replicated_state().newest().version();
  out["voters"] = replica_.committed_entry().voters;
  out["sidecarsHeard"] = replica_.publisher().ActiveSidecars(loop_.Now());
  out["diskBad"] = disk_failing_;
  out["stopping"] = stopping_;
  out["links"] = {{"incoming", inbound_links_.size()}, {"peers", peers_.size()}};
  const control::ConfigurationService::Counters& service = replica_.service_counters();
  out["changes"] = {{"taken", service.committed},         {"repeated", service.duplicates},
                    {"conflicts", service.conflicts},     {"invalid", service.invalid},
                    {"unclear", service.unknown_outcome}, {"reads", service.reads},
                    {"turnedAway", service.overloaded},   {"acksMissing", service.missing_acks}};
  const control::CallForwarder::Counters& forwarder = replica_.forwarder_counters();
  out["core"] = {
      {"misdirectedReports", counters_.misdirected_reports},
      {"forwarded", forwarder.forwarded},
      {"forwardedHere", forwarder.received},
      {"parked", forwarder.queued},
      {"noHolder", forwarder.no_leader},
      {"redirected", forwarder.redirected},
      {"badFrames", counters_.malformed_frames + replica_.malformed_frames() + forwarder.malformed},
      {"refusedLinks", counters_.refused_links},
      {"evictedLinks", counters_.evicted_links},
      {"skippedPushes", counters_.skipped_pushes},
      {"dials", peers_.dials()},
      {"writes", counters_.writes},
      {"failedWrites", counters_.failed_writes}};
  out["buffers"] = {{"smallBytes", buffers_.charged(Pool::kSmall)},
                    {"largeBytes", buffers_.charged(Pool::kLarge)}};
  if (control_listener_) {
    const ControlListener::Counters& control = control_listener_->counters();
    out["control"] = {{"connections", control_listener_->connections()},
                      {"calls", control.calls},
                      {"bad", control.malformed},
                      {"timedOut", control.timed_out},
                      {"turnedAway", control.rejected},
                      {"evicted", control.evicted}};
  }
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Core::Core(asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
           const ProcessOptions& options)
    : impl_(std::make_unique<Impl>(io, settings, incarnation, options)) {}
Core::~Core() = default;
absl::Status Core::Start() { return impl_->Start(); }
void Core::OnSettings(const settings::Settings& settings) { impl_->OnSettings(settings); }
void Core::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
std::string Core::StatusText() const { return impl_->StatusText(); }
std::uint16_t Core::control_port() const { return impl_->control_port(); }

}  // namespace fennelhollow::node
