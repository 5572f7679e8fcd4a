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
#include "mesh/metrics/core_metrics.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/node/event_waiters.hpp"
#include "mesh/node/peer_links.hpp"
#include "mesh/node/worker.hpp"
#include "mesh/push/messages.hpp"
#include "mesh/storage/store.hpp"
#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"
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
constexpr Micros kTickBusy = 25 * kMillisecond;
constexpr Micros kTickCalm = 50 * kMillisecond;
constexpr Micros kStopWithin = 2000 * kMillisecond;  // for calls under way
// Of the grace period: for its vote to be given to another replica.
constexpr double kLeaveShare = 0.5;
constexpr Micros kFlushWithin = 200 * kMillisecond;
constexpr Micros kDiskRetry = 500 * kMillisecond;
constexpr Micros kHelloWithin = 2000 * kMillisecond;
constexpr std::int64_t kMb = std::int64_t{1024} * 1024;
// Below the data directory. The name is that of the first release, and holds for stores made since.
constexpr char kStoreFolder[] = "/barograph";

// What only the disk's thread touches.
struct Disk {
  std::unique_ptr<storage::Store> store;
};

struct Opened {
  absl::Status status;
  bool lost = false;  // there was a store that can't be trusted
  std::optional<consensus::PersistentState> stored;
};

Opened OpenStore(Disk& disk, const std::string& folder, std::size_t most_bytes) {
  Opened out;
  auto store = storage::Store::Open(folder, most_bytes);
  if (absl::IsDataLoss(store.status())) {  // set aside: the next one is empty
    out.lost = true;
    store = storage::Store::Open(folder, most_bytes);
  }
  if (!store.ok()) {
    out.status = store.status();
    return out;
  }
  auto read = (*store)->Read();
  if (read.ok()) {
    out.stored = *std::move(read);
  } else if (absl::IsDataLoss(read.status())) {
    out.lost = true;
  } else {
    out.status = read.status();
    return out;
  }
  disk.store = *std::move(store);
  return out;
}

std::size_t StoreBytes(const settings::Settings& settings) {
  const std::int64_t told = settings.disk_mb > 0 ? settings.disk_mb * kMb * 3 / 4 : 64 * kMb;
  return static_cast<std::size_t>(std::clamp(told, 16 * kMb, 192 * kMb));
}

std::vector<ReplicaId> Seeds(const settings::Settings& settings) {
  const std::vector<std::string> seeds = settings.SeedInternalAddresses();
  const std::set<ReplicaId> out(seeds.begin(), seeds.end());
  return {out.begin(), out.end()};
}

ControlReplica::Settings ReplicaSettings(const settings::Settings& settings, std::uint64_t incarnation) {
  const auto& bounds = settings.bounds;
  return {settings.InternalAddress().Text(),
          incarnation,
          {bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack}};
}

}  // namespace

class Core::Impl : public control::ControlReplicaHost {
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
        tick_(loop_.NewTimer()),
        disk_retry_(loop_.NewTimer()),
        peers_(io, loop_,
               {.purpose = transport::Purpose::kCore,
                .from = settings_.node_name,
                .address = self_,
                .incarnation = incarnation},
               {[this](const ReplicaId& peer) { replica_.OnPeerDown(peer); },
                [this](const ReplicaId& peer) { replica_.OnPeerConnectionRefused(peer); }}),
        replica_(*this, ReplicaSettings(settings_, incarnation)),
        event_waiters_(replica_.events()) {}

  ~Impl() override {
    tick_.reset();
    disk_retry_.reset();
    control_.reset();
    listener_.reset();
    for (auto& [count, incoming] : incoming_) incoming.link->Close();
    checks_.reset();
    disk_thread_.reset();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start();
  void OnSettings(const settings::Settings& settings);
  void Stop(std::function<void()> done);
  std::string StatusText() const;
  std::uint16_t control_port() const { return control_ ? control_->address().port() : std::uint16_t{0}; }

 private:
  struct Incoming {
    std::shared_ptr<Link> link;
    Micros since = 0;
    std::optional<transport::Hello> hello;
  };
  struct Counters {
    std::uint64_t misdirected_reports = 0, malformed_frames = 0, refused_links = 0, writes = 0,
                  failed_writes = 0;
  };

  // control::ControlReplicaHost
  Micros Now() const override { return loop_.Now(); }
  bool SendToPeer(const ReplicaId& to, std::string_view frame) override { return peers_.Send(to, frame); }
  void SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& news) override;
  void CloseSidecar(SidecarLink link) override;
  void Write(const consensus::PersistentState& durable, std::uint64_t token) override;
  bool RunInBackground(std::function<void()> work, std::function<void()> done) override {
    return checks_->Run(std::move(work), std::move(done));
  }
  std::string ControlAddress(const ReplicaId& core) const override;
  void Post(std::function<void()> next) override;

  void OpenDisk();
  void OnOpened(Opened opened);
  void OnWritten(std::uint64_t token, const absl::Status& status);
  void OnTick();
  void CheckCommitted();
  void UpdateMetrics();

  void OnAccepted(const std::shared_ptr<Link>& link);
  void OnFrame(std::uint64_t from, std::string_view frame);
  void OnHello(std::uint64_t from, std::string_view frame);
  void CloseOlder(std::uint64_t than, const transport::Hello& hello);
  void CloseIncoming(std::uint64_t count);
  void CloseSilent();

  void OnCommand(Command command, ControlListener::Reply reply);
  void EndIfStopped();

  asio::io_context& io_;
  merlinrun::net::AsioLoop loop_;
  settings::Settings settings_;
  const std::uint64_t incarnation_;
  const ReplicaId self_;
  const MetricsAddress metrics_address_;
  prometheus::Registry registry_;
  metrics::CoreMetrics metrics_{registry_};
  metrics::Invariants invariants_;
  std::uint64_t committed_ = 0;  // the newest committed entry that was seen
  std::unique_ptr<MetricsEndpoint> metrics_endpoint_;
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  std::unique_ptr<merlinrun::core::Timer> tick_, disk_retry_;
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();
  std::unique_ptr<Worker> disk_thread_, checks_;
  std::unique_ptr<transport::Listener> listener_;
  std::unique_ptr<ControlListener> control_;
  PeerLinks peers_;
  ControlReplica replica_;
  EventWaiters event_waiters_;
  std::map<std::uint64_t, Incoming> incoming_;
  std::uint64_t incoming_count_ = 0;
  bool disk_bad_ = false;
  Counters counters_;

  std::function<void()> stopped_;
  bool stopping_ = false;
  bool control_stopped_ = false;
  Micros stop_by_ = 0, leave_by_ = 0, flush_by_ = 0;
};

absl::Status Core::Impl::Start() {
  try {
    disk_thread_ = std::make_unique<Worker>(io_);
    checks_ = std::make_unique<Worker>(io_);
    const settings::Address at = settings_.InternalListenAddress();
    listener_ = std::make_unique<transport::Listener>(
        io_, at.ip, at.port, Link::Limits{}, [this](const std::shared_ptr<Link>& link) { OnAccepted(link); });
    const auto address = settings_.listen.find("controlPlane");
    if (address != settings_.listen.end()) {
      const auto endpoint = merlinrun::net::ParseAddress(address->second.Text(), true);
      if (!endpoint) return absl::UnavailableError("controlPlane is no address");
      ControlListener::Limits limits;  // half of the descriptors are for links, the rest for all else
      limits.connections =
          std::min(limits.connections, static_cast<std::size_t>(settings_.file_descriptors / 3));
      limits.event_wait_ms = control::kMaxEventWaitMs;
      control_ = std::make_unique<ControlListener>(io_, *endpoint, limits,
                                                   [this](Command command, ControlListener::Reply reply) {
                                                     OnCommand(std::move(command), std::move(reply));
                                                   });
    }
  } catch (const std::exception& error) {  // of the system, and of Asio
    return absl::UnavailableError(absl::StrCat("a core can't start: ", error.what()));
  }
  metrics_endpoint_ =
      OpenMetricsEndpoint(io_, settings_.ip, metrics_address_, registry_, [this] { UpdateMetrics(); });
  OpenDisk();
  tick_->Start(kTickBusy, [this] { OnTick(); });
  return absl::OkStatus();
}

void Core::Impl::Post(std::function<void()> next) {
  asio::post(io_, [alive = std::weak_ptr<int>(alive_), next = std::move(next)] {
    if (alive.lock()) next();
  });
}

// Ports are alike on all machines.
std::string Core::Impl::ControlAddress(const ReplicaId& core) const {
  if (!control_) return {};
  return core.substr(0, core.rfind(':') + 1) + std::to_string(control_->address().port());
}

// ---- disk

void Core::Impl::OpenDisk() {
  const auto opened = std::make_shared<Opened>();
  const bool queued =
      disk_thread_->Run([disk = disk_, opened, folder = settings_.data_directory + kStoreFolder,
                         most = StoreBytes(settings_)] { *opened = OpenStore(*disk, folder, most); },
                        [this, opened] { OnOpened(std::move(*opened)); });
  if (!queued) disk_retry_->Start(kDiskRetry, [this] { OpenDisk(); });
}

void Core::Impl::OnOpened(Opened opened) {
  if (!opened.status.ok()) {
    if (!disk_bad_) LOG(ERROR) << "the store can't be opened, trying on: " << opened.status;
    disk_bad_ = true;
    disk_retry_->Start(kDiskRetry, [this] { OpenDisk(); });
    return;
  }
  disk_bad_ = false;
  if (opened.lost) LOG(ERROR) << "the store can't be trusted: this member has forgotten";
  consensus::ReplicaSettings replica;
  replica.seed = incarnation_ ^ 0x9e3779b97f4a7c15U;
  replica.initial_voters = Seeds(settings_);
  // A founder starts from nothing; a member that had a store and lost it may have promised something.
  replica.bootstrap = settings_.first_start && !opened.lost;
  replica.persisted = std::move(opened.stored);
  replica.seed_peers = replica.initial_voters;
  LOG(INFO) << "core " << self_ << " starts, life " << incarnation_ << ", "
            << (replica.persisted ? absl::StrCat("entry ", replica.persisted->accepted.index, " stored")
                                  : std::string(replica.bootstrap ? "a founder" : "nothing stored"));
  replica_.Start(std::move(replica));
  if (stopping_) EndIfStopped();
}

void Core::Impl::Write(const consensus::PersistentState& durable, std::uint64_t token) {
  ++counters_.writes;
  const auto status = std::make_shared<absl::Status>();
  const bool queued =
      disk_thread_->Run([disk = disk_, status, durable] { *status = disk->store->Write(durable); },
                        [this, token, status] { OnWritten(token, *status); });
  if (queued) return;
  Post([this, token] { OnWritten(token, absl::ResourceExhaustedError("too much waits for the disk")); });
}

void Core::Impl::OnWritten(std::uint64_t token, const absl::Status& status) {
  if (!status.ok()) ++counters_.failed_writes;
  if (!status.ok() != disk_bad_) {
    disk_bad_ = !disk_bad_;
    LOG(WARNING) << "the disk " << (disk_bad_ ? absl::StrCat("fails: ", status.ToString()) : "is well again");
  }
  replica_.OnWritten(token, status.ok());
}

void Core::Impl::OnTick() {
  replica_.OnTick();
  event_waiters_.OnTick(loop_.Now());
  CloseSilent();
  CheckCommitted();
  const bool busy = replica_.NeedsFrequentTicks() || stopping_;
  tick_->Start(busy ? kTickBusy : kTickCalm, [this] { OnTick(); });
  if (stopping_) EndIfStopped();
}

void Core::Impl::CheckCommitted() {
  const std::uint64_t committed = replica_.committed_entry().index;
  invariants_.Check(metrics::Invariant::kCommittedEntryMonotonic, committed >= committed_,
                    [&] { return absl::StrCat("entry ", committed, " after entry ", committed_); });
  committed_ = std::max(committed_, committed);
}

void Core::Impl::UpdateMetrics() {
  const consensus::Replica* replica = replica_.replica();
  metrics_.is_leader.Set(replica_.IsLeader() ? 1 : 0);
  metrics_.term.Set(replica ? static_cast<double>(replica->term()) : 0);
  metrics_.committed_entry.Set(static_cast<double>(replica_.committed_entry().index));
  metrics_.configuration_version.Set(static_cast<double>(replica_.replicated_state().newest().version()));
  metrics_.sidecars.Set(static_cast<double>(replica_.publisher().ActiveSidecars(loop_.Now())));
}

// ---- links from other cores and from sidecars

void Core::Impl::OnAccepted(const std::shared_ptr<Link>& link) {
  if (stopping_ || incoming_.size() >= static_cast<std::size_t>(settings_.file_descriptors / 2)) {
    ++counters_.refused_links;
    link->Close();
    return;
  }
  const std::uint64_t count = ++incoming_count_;
  incoming_[count] = {link, loop_.Now(), std::nullopt};
  link->Start({[this, count](std::string_view frame) { OnFrame(count, frame); },
               [this, count] { CloseIncoming(count); }, nullptr});
}

void Core::Impl::SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& news) {
  const std::string frame = transport::Pack(news);
  for (const SidecarLink link : links) {
    const auto it = incoming_.find(link);
    if (it != incoming_.end()) it->second.link->Send(frame);
  }
}

void Core::Impl::CloseSidecar(SidecarLink link) {  // the replica has forgotten it already
  const auto it = incoming_.find(link);
  if (it == incoming_.end()) return;
  const std::shared_ptr<Link> gone = std::move(it->second.link);
  incoming_.erase(it);
  gone->Close();
}

void Core::Impl::CloseIncoming(std::uint64_t count) {
  const auto it = incoming_.find(count);
  if (it == incoming_.end()) return;
  const Incoming gone = std::move(it->second);
  incoming_.erase(it);
  gone.link->Close();
  if (gone.hello && gone.hello->purpose == transport::Purpose::kControl) replica_.OnSidecarDown(count);
}

void Core::Impl::CloseSilent() {
  const Micros now = loop_.Now();
  std::vector<std::uint64_t> silent;
  for (const auto& [count, incoming] : incoming_) {
    if (!incoming.hello && now >= incoming.since + kHelloWithin) silent.push_back(count);
  }
  for (const std::uint64_t count : silent) CloseIncoming(count);
}

void Core::Impl::OnFrame(std::uint64_t from, std::string_view frame) {
  const auto it = incoming_.find(from);
  if (it == incoming_.end()) return;
  const std::shared_ptr<Link> held = it->second.link;  // it may be closed from in here
  if (!it->second.hello) return OnHello(from, frame);
  if (it->second.hello->purpose == transport::Purpose::kCore) {
    const ReplicaId peer = it->second.hello->address;
    return replica_.OnPeerFrame(peer, frame);
  }
  auto tell = transport::Unpack<push::SidecarReport>(frame);
  if (!tell.ok()) {
    ++counters_.malformed_frames;
    return CloseIncoming(from);
  }
  replica_.OnSidecarReport(from, *tell);
}

void Core::Impl::OnHello(std::uint64_t from, std::string_view frame) {
  auto hello = transport::Unpack<transport::Hello>(frame);
  const bool good = hello.ok() && transport::IsCompatible(*hello);
  const bool wanted =
      good && (hello->purpose == transport::Purpose::kControl ||
               (hello->purpose == transport::Purpose::kCore && merlinrun::net::ParseAddress(hello->address)));
  if (!wanted) {
    ++(good ? counters_.refused_links : counters_.malformed_frames);
    return CloseIncoming(from);
  }
  CloseOlder(from, *hello);
  incoming_[from].hello = *std::move(hello);
}

// One link a purpose from each: an older one stands for a process, or a way, that is gone.
void Core::Impl::CloseOlder(std::uint64_t than, const transport::Hello& hello) {
  std::vector<std::uint64_t> older;
  for (const auto& [count, incoming] : incoming_) {
    if (count != than && incoming.hello && incoming.hello->purpose == hello.purpose &&
        incoming.hello->address == hello.address) {
      older.push_back(count);
    }
  }
  for (const std::uint64_t count : older) CloseIncoming(count);
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
  // Servers report beside their sidecars, which tell the cores. What is acknowledged has to be known, and a
  // core alone makes nothing of it: the caller goes on to the next.
  if (std::holds_alternative<control::InstanceHeartbeat>(command) ||
      std::holds_alternative<control::InstanceDeparture>(command)) {
    ++counters_.misdirected_reports;
    return reply(control::UnavailableResponse("servers report to the sidecar on their own machine"));
  }
  const bool method_not_allowed = std::get<control::Unknown>(command).method_not_allowed;
  reply(method_not_allowed ? control::ErrorResponse(405, "not with this method")
                           : control::ErrorResponse(404, "there is no such path"));
}

// ---- settings, end, status

void Core::Impl::OnSettings(const settings::Settings& settings) {
  settings_.seeds = settings.seeds;
  replica_.SetSeedPeers(Seeds(settings_));
}

void Core::Impl::Stop(std::function<void()> done) {
  if (stopping_) return;
  LOG(INFO) << "core " << self_ << " ends";
  stopping_ = true;
  stopped_ = std::move(done);
  stop_by_ = loop_.Now() + kStopWithin;
  leave_by_ = loop_.Now() + static_cast<Micros>(settings_.bounds.grace_period_s * 1e6 * kLeaveShare);
  replica_.PrepareShutdown();
  event_waiters_.Stop();
  control_stopped_ = !control_;
  if (control_) control_->Stop([this] { control_stopped_ = true; });
}

void Core::Impl::EndIfStopped() {
  if (!stopped_) return;
  const Micros now = loop_.Now();
  const bool calls = !control_stopped_ || replica_.HasPendingCalls();
  if (calls && now < stop_by_) return;
  if (!replica_.ReadyForShutdown() && now < leave_by_) return;
  if (flush_by_ == 0) flush_by_ = now + kFlushWithin;
  if ((replica_.IsLeader() || peers_.queued() > 0) && now < flush_by_) return;
  asio::post(io_, std::exchange(stopped_, nullptr));
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
  out["diskBad"] = disk_bad_;
  out["stopping"] = stopping_;
  out["links"] = {{"incoming", incoming_.size()}, {"peers", peers_.size()}};
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
      {"dials", peers_.dials()},
      {"writes", counters_.writes},
      {"failedWrites", counters_.failed_writes}};
  if (control_) {
    const ControlListener::Counters& control = control_->counters();
    out["control"] = {{"connections", control_->connections()},
                      {"calls", control.calls},
                      {"bad", control.bad},
                      {"timedOut", control.timed_out},
                      {"turnedAway", control.turned_away}};
  }
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Core::Core(asio::io_context& io, const settings::Settings& settings, std::uint64_t life,
           const ProcessOptions& options)
    : impl_(std::make_unique<Impl>(io, settings, life, options)) {}
Core::~Core() = default;
absl::Status Core::Start() { return impl_->Start(); }
void Core::OnSettings(const settings::Settings& settings) { impl_->OnSettings(settings); }
void Core::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
std::string Core::StatusText() const { return impl_->StatusText(); }
std::uint16_t Core::control_port() const { return impl_->control_port(); }

}  // namespace fennelhollow::node
