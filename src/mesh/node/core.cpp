#include "mesh/node/core.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <cereal/types/string.hpp>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "mesh/configuration/configuration.hpp"
#include "mesh/consensus/replica.hpp"
#include "mesh/consensus/store.hpp"
#include "mesh/node/changes.hpp"
#include "mesh/node/command.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/node/worker.hpp"
#include "mesh/push/events.hpp"
#include "mesh/push/herald.hpp"
#include "mesh/push/words.hpp"
#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"
#include "net/address.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::node {

namespace asio = merlinrun::net::asio;
using consensus::Outcome;
using consensus::ReplicaId;
using merlinrun::net::Tcp;
using transport::Link;

namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kTickBusy = 25 * kMillisecond;
constexpr Micros kTickCalm = 50 * kMillisecond;
// A caller gives up after a second of silence: it has an answer before.
constexpr Micros kAnswerWithin = 900 * kMillisecond;
constexpr Micros kForwarded = 800 * kMillisecond;
constexpr Micros kHolderWait = 700 * kMillisecond;
// A call that another core turned away unbegun is tried again after this.
constexpr Micros kRetry = 50 * kMillisecond;
constexpr Micros kStopWithin = 2000 * kMillisecond;
constexpr Micros kFlushWithin = 200 * kMillisecond;
constexpr Micros kDiskRetry = 500 * kMillisecond;
constexpr Micros kHelloWithin = 2000 * kMillisecond;
constexpr Micros kFirstBackoff = 100 * kMillisecond;
constexpr Micros kLastBackoff = 1000 * kMillisecond;
constexpr int kDialMs = 1000;
constexpr std::size_t kMostPeers = 32;
constexpr std::size_t kMostParked = 64;
constexpr std::size_t kMostParkedBytes = std::size_t{16} * 1024 * 1024;
// What waits for a peer to read it; more of the order's words would be old by then.
constexpr std::size_t kMostToPeer = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kMostEventWaiters = 32;
// A call has to fit into a frame, and so has the ledger after it.
constexpr std::size_t kMostCall = transport::kMostFrame - std::size_t{512} * 1024;

// The first byte of a frame between cores.
enum class CoreWord : char { kOrder = 0, kCall = 1, kAnswer = 2 };
enum class CallKind : std::uint8_t { kReplace = 0, kModify = 1, kRead = 2 };

// An operator's call, passed on to the holder.
struct ForwardedCall {
  std::uint64_t count = 0;  // of the core that passes it on
  std::uint8_t kind = 0;
  std::int64_t within_ms = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(count, kind, within_ms, body);
  }
};
struct ForwardedAnswer {
  std::uint64_t count = 0;
  bool not_holder = false;  // nothing was begun
  std::uint32_t status = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(count, not_holder, status, body);
  }
};

template <class T>
std::string Frame(CoreWord word, const T& value) {
  return static_cast<char>(word) + transport::Pack(value);
}

// What only the disk's thread touches.
struct Disk {
  std::unique_ptr<consensus::Store> store;
};

struct Opened {
  absl::Status status;
  bool lost = false;  // there was a store that can't be trusted
  std::optional<consensus::Durable> stored;
};

Opened OpenStore(Disk& disk, const std::string& folder, std::size_t most_bytes) {
  Opened out;
  auto store = consensus::Store::Open(folder, most_bytes);
  if (absl::IsDataLoss(store.status())) {  // set aside: the next one is empty
    out.lost = true;
    store = consensus::Store::Open(folder, most_bytes);
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
  constexpr std::int64_t kMb = std::int64_t{1024} * 1024;
  const std::int64_t told = settings.disk_mb > 0 ? settings.disk_mb * kMb * 3 / 4 : 64 * kMb;
  return static_cast<std::size_t>(std::clamp(told, 16 * kMb, 192 * kMb));
}

std::vector<ReplicaId> Members(const settings::Settings& settings) {
  const std::vector<std::string> seeds = settings.SeedInternals();
  const std::set<ReplicaId> out(seeds.begin(), seeds.end());
  return {out.begin(), out.end()};
}

std::map<std::string, quota::TenantLimit> LimitsOf(const configuration::Tables& tables) {
  std::map<std::string, quota::TenantLimit> out;
  for (const configuration::Tenant& tenant : tables.tenants())
    out[tenant.name] = {tenant.rate_per_s, tenant.burst};
  return out;
}

}  // namespace

class Core::Impl : public consensus::Sink, public push::Herald::Sink, public ChangesHost {
 public:
  Impl(asio::io_context& io, settings::Settings settings, std::uint64_t life)
      : io_(io),
        loop_(io),
        settings_(std::move(settings)),
        life_(life),
        self_(settings_.Internal().Text()),
        tick_(loop_.NewTimer()),
        disk_retry_(loop_.NewTimer()),
        herald_(loop_.Now(), HeraldSettings(), *this),
        changes_(*this, {}),
        feed_(life_, loop_.Now()) {}

  ~Impl() override {
    tick_.reset();
    disk_retry_.reset();
    control_.reset();
    listener_.reset();
    for (auto& [id, peer] : peers_) {
      if (peer.link) peer.link->Close();
    }
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
  struct Peer {
    std::shared_ptr<Link> link;
    bool was_up = false;
    Micros backoff = kFirstBackoff;
    Micros retry_at = 0;
    Micros used_at = 0;
  };
  struct Incoming {
    std::shared_ptr<Link> link;
    Micros since = 0;
    std::optional<transport::Hello> hello;
  };
  // An operator's call, or one that another core passed on.
  struct Call {
    CallKind kind = CallKind::kRead;
    std::shared_ptr<const std::string> body;
    Micros deadline = 0;
    Micros holder_by = 0;  // waits so long for a holder
    bool forwarded = false;
    // Absent: this core does not hold the order (to one that was passed on).
    std::function<void(std::optional<Answer>)> done;
    std::size_t size() const { return body ? body->size() : 0; }
  };
  struct Parked {
    Micros retry_at = 0;
    Call call;
  };
  struct Forward {
    ReplicaId to;
    Micros until = 0;
    Call call;
  };
  // Waits for an event from this number on.
  struct EventWaiter {
    std::uint64_t epoch = 0, since = 0;
    Micros until = 0;
    ControlListener::Reply reply;
  };
  struct Counters {
    std::uint64_t beats = 0, departures = 0, forwarded = 0, forwarded_here = 0, parked = 0, no_holder = 0;
    std::uint64_t bad_frames = 0, refused_links = 0, dials = 0, writes = 0, failed_writes = 0;
  };

  // consensus::Sink: none of these may come back into the order, so what would is done after its function has
  // returned.
  void Send(const ReplicaId& to, std::string message) override {
    message.insert(message.begin(), static_cast<char>(CoreWord::kOrder));
    SendTo(to, message);
  }
  void Write(const consensus::Durable& durable, std::uint64_t token) override;
  void Deliver(const consensus::Entry& entry) override {
    events_.emplace_back([this, entry] { OnDeliver(entry); });
  }
  void Done(std::uint64_t call, Outcome outcome) override {
    events_.emplace_back([this, call, outcome] { changes_.OnOutcome(loop_.Now(), call, outcome); });
  }
  void OnLeader(const ReplicaId& holder, std::uint64_t epoch) override {
    feed_.Add(loop_.Now(), push::HolderEvent{holder, epoch});
    if (!holder.empty()) events_.emplace_back([this, holder] { ForwardAgain(holder, true); });
  }

  // push::Herald::Sink
  void Send(push::Herald::LinkId link, const push::News& news) override { SendAll({link}, news); }
  void SendAll(const std::vector<push::Herald::LinkId>& links, const push::News& news) override;
  void Close(push::Herald::LinkId link) override;

  // ChangesHost
  bool Holds() const override { return replica_ && replica_->leads(); }
  std::uint64_t NewestNumber() const override { return entry_.number; }
  std::string NewestText() const override {
    return ledger_->newest().version() > 0 ? ledger_->newest().text() : std::string();
  }
  bool Decide(std::uint64_t call, bool modify, std::shared_ptr<const std::string> body) override;
  void Propose(std::uint64_t call, std::uint64_t on_top_of, std::string state) override {
    replica_->Propose(loop_.Now(), call, on_top_of, std::move(state));
    DrainLater();
  }
  void Confirm(std::uint64_t call) override {
    replica_->Confirm(loop_.Now(), call);
    DrainLater();
  }
  bool InForce(std::uint64_t number) const override {
    const Micros now = loop_.Now();
    return herald_.Acknowledged(now, number) >= herald_.Heard(now);
  }

  // Every call into the order goes through here, but for those that Changes makes: the order may be done with
  // them before it returns, and Changes isn't to hear of that before it has returned itself.
  template <class F>
  void Drive(F f) {
    if (!replica_) return;
    f();
    Drain();
  }
  void Drain();
  void DrainLater() {
    if (!events_.empty() && !draining_) Later([this] { Drain(); });
  }
  // In a later turn; not after the end of this object.
  void Later(std::function<void()> next) {
    asio::post(io_, [alive = std::weak_ptr<int>(alive_), next = std::move(next)] {
      if (alive.lock()) next();
    });
  }

  push::Herald::Settings HeraldSettings() const;
  void OpenDisk();
  void OnOpened(Opened opened);
  void OnDeliver(const consensus::Entry& entry);
  void OnDutyMaybe();
  void OnTick();

  bool SendTo(const ReplicaId& to, std::string_view frame);
  void Dial(const ReplicaId& to, Peer& peer);
  void OnPeerClosed(const ReplicaId& to);
  void OnAccepted(const std::shared_ptr<Link>& link);
  void OnFrame(std::uint64_t from, std::string_view frame);
  void OnHello(std::uint64_t from, std::string_view frame);
  void OnCoreFrame(const ReplicaId& from, std::string_view frame);
  void CloseIncoming(std::uint64_t count);

  void OnCommand(Command command, ControlListener::Reply reply);
  void OnCall(CallKind kind, std::string body, ControlListener::Reply reply);
  void OnForwarded(const ReplicaId& from, ForwardedCall call);
  void OnAnswer(const ReplicaId& from, ForwardedAnswer answer);
  void Dispatch(Call call);
  void Park(Call call, Micros retry_at);
  // Calls that were passed on to `member` (or to all but it) have to be passed on anew: the same call again
  // is the same change, whether the first came through or not.
  void ForwardAgain(const ReplicaId& member, bool all_others);
  void Unpark();
  void OnReadEvents(const ReadEvents& call, ControlListener::Reply reply);
  void AnswerWaiters();
  void EndIfStopped();

  asio::io_context& io_;
  merlinrun::net::AsioLoop loop_;
  settings::Settings settings_;
  const std::uint64_t life_;
  const ReplicaId self_;
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  std::unique_ptr<merlinrun::core::Timer> tick_, disk_retry_;
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();
  std::unique_ptr<Worker> disk_thread_, checks_;
  std::unique_ptr<transport::Listener> listener_;
  std::unique_ptr<ControlListener> control_;
  std::unique_ptr<consensus::Replica> replica_;
  std::deque<std::function<void()>> events_;  // of the order; drained after each call into it
  bool draining_ = false;
  bool disk_bad_ = false;

  push::Herald herald_;
  Changes changes_;
  push::Events feed_;
  push::ListingWatch watch_;
  std::list<EventWaiter> event_waiters_;
  consensus::Entry entry_;  // delivered last; without its state
  std::string state_;
  std::shared_ptr<const configuration::Ledger> ledger_ = std::make_shared<const configuration::Ledger>();
  bool held_ = false;

  std::map<ReplicaId, Peer> peers_;
  std::map<std::uint64_t, Incoming> incoming_;
  std::uint64_t incoming_count_ = 0;

  std::list<Parked> parked_;
  std::size_t parked_bytes_ = 0;
  std::map<std::uint64_t, Forward> forwards_;
  std::uint64_t forward_count_ = 0;
  Counters counters_;

  std::function<void()> stopped_;
  bool stopping_ = false;
  bool control_stopped_ = false;
  Micros stop_by_ = 0, flush_by_ = 0;
};

absl::Status Core::Impl::Start() {
  try {
    disk_thread_ = std::make_unique<Worker>(io_);
    checks_ = std::make_unique<Worker>(io_);
    listener_ = std::make_unique<transport::Listener>(
        io_, settings_.ip, settings_.first_port, Link::Limits{},
        [this](const std::shared_ptr<Link>& link) { OnAccepted(link); });
    const auto address = settings_.listen.find("controlPlane");
    if (address != settings_.listen.end()) {
      const auto endpoint = merlinrun::net::ParseAddress(address->second.Text(), true);
      if (!endpoint) return absl::UnavailableError("controlPlane is no address");
      ControlListener::Limits limits;  // half of the descriptors are for links, the rest for all else
      limits.connections = std::min(limits.connections, static_cast<std::size_t>(settings_.descriptors / 3));
      limits.event_wait_ms = kMostEventWaitMs;
      control_ = std::make_unique<ControlListener>(io_, *endpoint, limits,
                                                   [this](Command command, ControlListener::Reply reply) {
                                                     OnCommand(std::move(command), std::move(reply));
                                                   });
    }
  } catch (const std::exception& error) {  // of the system, and of Asio
    return absl::UnavailableError(absl::StrCat("a core can't start: ", error.what()));
  }
  OpenDisk();
  tick_->Start(kTickBusy, [this] { OnTick(); });
  return absl::OkStatus();
}

push::Herald::Settings Core::Impl::HeraldSettings() const {
  push::Herald::Settings out;
  out.address = self_;
  out.epoch = std::max<std::uint64_t>(life_, 1);
  out.quota = {settings_.bounds.quota_window_s, settings_.bounds.quota_overshoot,
               settings_.bounds.quota_slack};
  return out;
}

void Core::Impl::OpenDisk() {
  const auto opened = std::make_shared<Opened>();
  const bool queued =
      disk_thread_->Run([disk = disk_, opened, folder = settings_.data_directory + "/barograph",
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
  replica.self = self_;
  replica.incarnation = life_;
  replica.seed = life_ ^ 0x9e3779b97f4a7c15U;
  replica.founders = Members(settings_);
  // A founder starts from nothing; a member that had a store and lost it may have promised something.
  replica.first_start = settings_.first_start && !opened.lost;
  replica.stored = std::move(opened.stored);
  replica.contacts = replica.founders;
  LOG(INFO) << "core " << self_ << " starts, life " << life_ << ", "
            << (replica.stored ? absl::StrCat("entry ", replica.stored->accepted.number, " stored")
                               : std::string(replica.first_start ? "a founder" : "nothing stored"));
  replica_ = std::make_unique<consensus::Replica>(replica, loop_.Now(), *this);
  if (stopping_) return EndIfStopped();
  Drain();
}

void Core::Impl::Write(const consensus::Durable& durable, std::uint64_t token) {
  ++counters_.writes;
  const auto status = std::make_shared<absl::Status>();
  const auto done = [this, token, status] {
    if (!status->ok()) ++counters_.failed_writes;
    if (!status->ok() != disk_bad_) {
      disk_bad_ = !disk_bad_;
      LOG(WARNING) << "the disk "
                   << (disk_bad_ ? absl::StrCat("fails: ", status->ToString()) : "is well again");
    }
    Drive([&] { replica_->OnWritten(loop_.Now(), token, status->ok()); });
    if (!status->ok() && Holds()) Drive([&] { replica_->TransferLeadership(loop_.Now()); });
  };
  const bool queued =
      disk_thread_->Run([disk = disk_, status, durable] { *status = disk->store->Write(durable); }, done);
  if (queued) return;
  *status = absl::ResourceExhaustedError("too much waits for the disk");
  events_.emplace_back(done);
}

void Core::Impl::Drain() {
  if (draining_) return;
  draining_ = true;
  while (!events_.empty()) {
    const std::function<void()> event = std::move(events_.front());
    events_.pop_front();
    event();
    if (events_.empty()) OnDutyMaybe();
  }
  OnDutyMaybe();
  draining_ = false;
  DrainLater();
}

void Core::Impl::OnDutyMaybe() {
  if (Holds() == held_) return;
  held_ = !held_;
  herald_.SetDuty(loop_.Now(), held_);
  changes_.OnDuty(loop_.Now());
}

void Core::Impl::OnDeliver(const consensus::Entry& entry) {
  std::vector<ReplicaId> in, out;
  std::set_difference(entry.voters.begin(), entry.voters.end(), entry_.voters.begin(), entry_.voters.end(),
                      std::back_inserter(in));
  std::set_difference(entry_.voters.begin(), entry_.voters.end(), entry.voters.begin(), entry.voters.end(),
                      std::back_inserter(out));
  for (const ReplicaId& member : in) LOG(INFO) << "member in: " << member << ", entry " << entry.number;
  for (const ReplicaId& member : out) LOG(INFO) << "member out: " << member << ", entry " << entry.number;
  if (!in.empty() || !out.empty()) feed_.Add(loop_.Now(), push::VotersEvent{entry.voters, entry.number});
  if (entry.state != state_) {
    auto ledger = configuration::Ledger::Read(entry.state);
    if (!ledger.ok()) {  // what this core keeps is as good as it gets
      LOG(ERROR) << "entry " << entry.number << " can't be read: " << ledger.status();
      return;
    }
    ledger_ = std::make_shared<const configuration::Ledger>(*std::move(ledger));
    state_ = entry.state;
    LOG(INFO) << "entry " << entry.number << " committed, version " << ledger_->newest().version();
    feed_.Add(loop_.Now(), push::ConfigurationEvent{ledger_->newest().version(), entry.number});
    const auto tables = configuration::Tables::Of(ledger_->newest());
    if (tables.ok()) herald_.SetLimits(loop_.Now(), LimitsOf(**tables));
  }
  entry_.term = entry.term;
  entry_.number = entry.number;
  entry_.voters = entry.voters;
  if (!state_.empty()) herald_.SetLedger(loop_.Now(), entry.number, state_);
}

bool Core::Impl::Decide(std::uint64_t call, bool modify, std::shared_ptr<const std::string> body) {
  const auto verdict = std::make_shared<configuration::Verdict>();
  return checks_->Run(
      [ledger = ledger_, modify, body = std::move(body), verdict] {
        *verdict = ledger->Decide(modify, *body);
        if (verdict->kind != configuration::Verdict::Kind::kTake || verdict->next.size() <= kMostCall) return;
        verdict->kind = configuration::Verdict::Kind::kInvalid;  // would not fit into a frame
        verdict->error = "the configuration would be too large";
      },
      [this, call, verdict] { changes_.OnVerdict(loop_.Now(), call, std::move(*verdict)); });
}

void Core::Impl::OnTick() {
  const Micros now = loop_.Now();
  Drive([&] { replica_->OnTick(now); });
  changes_.OnTick(now);
  herald_.OnTick(now);
  watch_.Look(now, herald_.listing(), feed_);
  AnswerWaiters();
  if (replica_) herald_.SetCores(replica_->known(), replica_->leader(), !replica_->leader().empty());
  for (auto it = forwards_.begin(); it != forwards_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    const auto done = std::move(it->second.call.done);
    it = forwards_.erase(it);
    done(TryAgain("the holder did not answer in time; repeat the call unchanged"));
  }
  Unpark();
  std::vector<std::uint64_t> silent;
  for (const auto& [count, incoming] : incoming_) {
    if (!incoming.hello && now >= incoming.since + kHelloWithin) silent.push_back(count);
  }
  for (const std::uint64_t count : silent) CloseIncoming(count);
  const bool reason = !replica_ || replica_->leader().empty() || replica_->busy() || !changes_.empty() ||
                      !parked_.empty() || !forwards_.empty() || herald_.Subscribers() > 0 || stopping_;
  tick_->Start(reason ? kTickBusy : kTickCalm, [this] { OnTick(); });
  if (stopping_) EndIfStopped();
}

// ---- links

bool Core::Impl::SendTo(const ReplicaId& to, std::string_view frame) {
  if (to == self_ || frame.size() > transport::kMostFrame) return false;
  const Micros now = loop_.Now();
  auto it = peers_.find(to);
  if (it == peers_.end()) {
    if (peers_.size() >= kMostPeers) {
      const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second.used_at < b.second.used_at;
      });
      if (oldest->second.link) oldest->second.link->Close();
      peers_.erase(oldest);
    }
    it = peers_.emplace(to, Peer{}).first;
  }
  Peer& peer = it->second;
  peer.used_at = now;
  if (!peer.link) {
    if (now < peer.retry_at) return false;
    Dial(to, peer);
    if (!peer.link) return false;
  }
  if (peer.link->connected()) peer.was_up = true;
  if (peer.link->queued() + frame.size() > kMostToPeer) return false;
  return peer.link->Send(frame);
}

void Core::Impl::Dial(const ReplicaId& to, Peer& peer) {
  const auto address = merlinrun::net::ParseAddress(to);
  if (!address) return;
  ++counters_.dials;
  peer.was_up = false;
  peer.link = Link::Dial(io_, *address, kDialMs, Link::Limits{});
  peer.link->Start({[](std::string_view) {}, [this, to] { OnPeerClosed(to); }, nullptr});
  peer.link->Send(transport::Pack(transport::Hello{
      .purpose = transport::Purpose::kCore, .from = settings_.node_name, .address = self_, .life = life_}));
}

void Core::Impl::OnPeerClosed(const ReplicaId& to) {
  const auto it = peers_.find(to);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  peer.link.reset();
  if (peer.was_up) peer.backoff = kFirstBackoff;
  peer.retry_at = loop_.Now() + peer.backoff;
  peer.backoff = std::min(2 * peer.backoff, kLastBackoff);
  ForwardAgain(to, false);
}

void Core::Impl::ForwardAgain(const ReplicaId& member, bool all_others) {
  std::vector<Call> again;
  for (auto it = forwards_.begin(); it != forwards_.end();) {
    if ((it->second.to == member) == all_others) {
      ++it;
      continue;
    }
    again.push_back(std::move(it->second.call));
    it = forwards_.erase(it);
  }
  for (Call& call : again) Park(std::move(call), loop_.Now() + (all_others ? 0 : kRetry));
}

void Core::Impl::OnAccepted(const std::shared_ptr<Link>& link) {
  if (stopping_ || incoming_.size() >= static_cast<std::size_t>(settings_.descriptors / 2)) {
    ++counters_.refused_links;
    link->Close();
    return;
  }
  const std::uint64_t count = ++incoming_count_;
  incoming_[count] = {link, loop_.Now(), std::nullopt};
  link->Start({[this, count](std::string_view frame) { OnFrame(count, frame); },
               [this, count] { CloseIncoming(count); }, nullptr});
}

void Core::Impl::SendAll(const std::vector<push::Herald::LinkId>& links, const push::News& news) {
  const std::string frame = transport::Pack(news);
  for (const push::Herald::LinkId link : links) {
    const auto it = incoming_.find(link);
    if (it != incoming_.end()) it->second.link->Send(frame);
  }
}

void Core::Impl::Close(push::Herald::LinkId link) {  // who has forgotten it already
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
  if (gone.hello && gone.hello->purpose == transport::Purpose::kControl)
    herald_.OnLinkDown(loop_.Now(), count);
}

void Core::Impl::OnFrame(std::uint64_t from, std::string_view frame) {
  const auto it = incoming_.find(from);
  if (it == incoming_.end()) return;
  const std::shared_ptr<Link> held = it->second.link;  // it may be closed from in here
  if (!it->second.hello) return OnHello(from, frame);
  if (it->second.hello->purpose == transport::Purpose::kCore) {
    const ReplicaId member = it->second.hello->address;
    return OnCoreFrame(member, frame);
  }
  auto tell = transport::Unpack<push::Tell>(frame);
  if (!tell.ok()) {
    ++counters_.bad_frames;
    return CloseIncoming(from);
  }
  herald_.OnTell(loop_.Now(), from, *std::move(tell));
  changes_.OnAcks(loop_.Now());
}

void Core::Impl::OnHello(std::uint64_t from, std::string_view frame) {
  auto hello = transport::Unpack<transport::Hello>(frame);
  const bool good = hello.ok() && transport::Understood(*hello);
  const bool wanted =
      good && (hello->purpose == transport::Purpose::kControl ||
               (hello->purpose == transport::Purpose::kCore && merlinrun::net::ParseAddress(hello->address)));
  if (!wanted) {
    ++(good ? counters_.refused_links : counters_.bad_frames);
    return CloseIncoming(from);
  }
  // One link a purpose from each: an older one stands for a process, or a way, that is gone.
  std::vector<std::uint64_t> older;
  for (const auto& [count, incoming] : incoming_) {
    if (count != from && incoming.hello && incoming.hello->purpose == hello->purpose &&
        incoming.hello->address == hello->address) {
      older.push_back(count);
    }
  }
  for (const std::uint64_t count : older) CloseIncoming(count);
  incoming_[from].hello = *std::move(hello);
}

void Core::Impl::OnCoreFrame(const ReplicaId& from, std::string_view frame) {
  if (frame.empty()) {
    ++counters_.bad_frames;
    return;
  }
  const std::string_view rest = frame.substr(1);
  switch (static_cast<CoreWord>(frame.front())) {
    case CoreWord::kOrder:
      return Drive([&] { replica_->OnMessage(loop_.Now(), from, std::string(rest)); });
    case CoreWord::kCall:
      if (auto call = transport::Unpack<ForwardedCall>(rest); call.ok())
        return OnForwarded(from, *std::move(call));
      break;
    case CoreWord::kAnswer:
      if (auto answer = transport::Unpack<ForwardedAnswer>(rest); answer.ok())
        return OnAnswer(from, *std::move(answer));
      break;
  }
  ++counters_.bad_frames;  // of another version of this program, say: the rest of the link may be of use
}

// ---- calls

void Core::Impl::OnCommand(Command command, ControlListener::Reply reply) {
  if (auto* replace = std::get_if<Replace>(&command)) {
    return OnCall(CallKind::kReplace, std::move(replace->body), std::move(reply));
  }
  if (auto* modify = std::get_if<Modify>(&command)) {
    return OnCall(CallKind::kModify, std::move(modify->body), std::move(reply));
  }
  if (std::holds_alternative<Read>(command)) return OnCall(CallKind::kRead, {}, std::move(reply));
  if (std::holds_alternative<Status>(command)) {
    Answer answer;
    answer.body = StatusText();
    return reply(std::move(answer));
  }
  if (const auto* events = std::get_if<ReadEvents>(&command)) return OnReadEvents(*events, std::move(reply));
  // Servers beat beside their sidecars, which tell the cores; one that comes here all the same is not held
  // up.
  if (std::holds_alternative<Beat>(command)) {
    ++counters_.beats;
    return reply(Answer{});
  }
  if (std::holds_alternative<Departure>(command)) {
    ++counters_.departures;
    return reply(Answer{});
  }
  const bool other_method = std::get<Unknown>(command).other_method;
  reply(other_method ? Refusal(405, "not with this method") : Refusal(404, "there is no such path"));
}

void Core::Impl::OnCall(CallKind kind, std::string body, ControlListener::Reply reply) {
  if (body.size() > kMostCall) return reply(Refusal(413, "the call is too large"));
  Call call;
  call.kind = kind;
  call.body = std::make_shared<const std::string>(std::move(body));
  call.deadline = loop_.Now() + kAnswerWithin;
  call.holder_by = loop_.Now() + kHolderWait;
  call.done = [reply = std::move(reply)](std::optional<Answer> answer) {
    reply(answer ? *std::move(answer) : TryAgain("nobody holds the order"));
  };
  Dispatch(std::move(call));
}

void Core::Impl::OnForwarded(const ReplicaId& from, ForwardedCall forwarded) {
  ++counters_.forwarded_here;
  Call call;
  call.forwarded = true;
  call.kind = static_cast<CallKind>(forwarded.kind);
  call.body = std::make_shared<const std::string>(std::move(forwarded.body));
  call.deadline = loop_.Now() + std::clamp<Micros>(forwarded.within_ms, 0, 1000) * kMillisecond;
  call.done = [this, from, count = forwarded.count](std::optional<Answer> answer) {
    ForwardedAnswer out;
    out.count = count;
    out.not_holder = !answer;
    if (answer) {
      out.status = answer->status;
      out.body = std::move(answer->body);
    }
    SendTo(from, Frame(CoreWord::kAnswer, out));
  };
  if (forwarded.kind > static_cast<std::uint8_t>(CallKind::kRead) || call.size() > kMostCall) {
    ++counters_.bad_frames;
    return call.done(Refusal(400, "no such call"));
  }
  Dispatch(std::move(call));
}

void Core::Impl::OnAnswer(const ReplicaId& from, ForwardedAnswer answer) {
  const auto it = forwards_.find(answer.count);
  if (it == forwards_.end() || it->second.to != from) return;  // too late
  Call call = std::move(it->second.call);
  forwards_.erase(it);
  if (answer.not_holder || answer.status < 200 || answer.status > 599) {
    return Park(std::move(call), loop_.Now() + kRetry);
  }
  Answer out =
      answer.status == 503 ? TryAgain("the holder could not say; repeat the call unchanged") : Answer{};
  out.status = answer.status;
  out.body = std::move(answer.body);
  call.done(std::move(out));
}

void Core::Impl::Dispatch(Call call) {
  const Micros now = loop_.Now();
  if (Holds()) {
    const CallKind kind = call.kind;
    const Micros deadline = call.deadline;
    const auto body = call.body;
    // Not holder any more: comes back here, in a later turn, as this may be called from inside Changes.
    auto done = [this, held = std::make_shared<Call>(std::move(call))](std::optional<Answer> answer) {
      if (answer || held->forwarded) return held->done(std::move(answer));
      Later([this, held] { Park(std::move(*held), loop_.Now()); });
    };
    if (kind == CallKind::kRead) return changes_.Read(now, deadline, std::move(done));
    return changes_.Submit(now, deadline, kind == CallKind::kModify, body, std::move(done));
  }
  if (call.forwarded) return call.done(std::nullopt);
  const ReplicaId holder = replica_ ? replica_->leader() : ReplicaId();
  if (holder.empty() || holder == self_) return Park(std::move(call), now + kRetry);
  Forward forward{holder, std::min(now + kForwarded, call.deadline), std::move(call)};
  ForwardedCall out;
  out.count = ++forward_count_;
  out.kind = static_cast<std::uint8_t>(forward.call.kind);
  out.within_ms = (forward.until - now) / kMillisecond - 20;  // for the way there and back
  out.body = *forward.call.body;
  if (!SendTo(holder, Frame(CoreWord::kCall, out))) return Park(std::move(forward.call), now + kRetry);
  ++counters_.forwarded;
  forwards_.emplace(out.count, std::move(forward));
}

void Core::Impl::Park(Call call, Micros retry_at) {
  const Micros now = loop_.Now();
  if (now >= call.holder_by || now >= call.deadline || parked_.size() >= kMostParked ||
      parked_bytes_ + call.size() > kMostParkedBytes) {
    ++counters_.no_holder;
    return call.done(std::nullopt);
  }
  ++counters_.parked;
  parked_bytes_ += call.size();
  parked_.push_back({retry_at, std::move(call)});
}

void Core::Impl::Unpark() {
  const Micros now = loop_.Now();
  std::list<Parked> due;
  for (auto it = parked_.begin(); it != parked_.end();) {
    const auto next = std::next(it);
    if (now >= it->retry_at || now >= it->call.holder_by) due.splice(due.end(), parked_, it);
    it = next;
  }
  for (Parked& parked : due) {
    parked_bytes_ -= parked.call.size();
    Dispatch(std::move(parked.call));
  }
}

// ---- events

void Core::Impl::OnReadEvents(const ReadEvents& call, ControlListener::Reply reply) {
  if (call.bad) return reply(Refusal(400, "epoch, since and waitMs are whole numbers from 0 up"));
  const bool waits = call.wait_ms > 0 && !stopping_ && !feed_.HasNewer(call.epoch, call.since) &&
                     event_waiters_.size() < kMostEventWaiters;
  if (!waits) return reply({200, feed_.Read(call.epoch, call.since), {}});
  event_waiters_.push_back(
      {call.epoch, call.since, loop_.Now() + call.wait_ms * kMillisecond, std::move(reply)});
}

void Core::Impl::AnswerWaiters() {
  const Micros now = loop_.Now();
  for (auto it = event_waiters_.begin(); it != event_waiters_.end();) {
    if (!stopping_ && now < it->until && !feed_.HasNewer(it->epoch, it->since)) {
      ++it;
      continue;
    }
    it->reply({200, feed_.Read(it->epoch, it->since), {}});
    it = event_waiters_.erase(it);
  }
}

// ---- settings, end, status

void Core::Impl::OnSettings(const settings::Settings& settings) {
  settings_.seeds = settings.seeds;
  if (replica_) replica_->SetContacts(Members(settings_));
}

void Core::Impl::Stop(std::function<void()> done) {
  if (stopping_) return;
  LOG(INFO) << "core " << self_ << " ends";
  stopping_ = true;
  stopped_ = std::move(done);
  stop_by_ = loop_.Now() + kStopWithin;
  Drive([&] { replica_->TransferLeadership(loop_.Now()); });
  AnswerWaiters();
  control_stopped_ = !control_;
  if (control_) control_->Stop([this] { control_stopped_ = true; });
}

void Core::Impl::EndIfStopped() {
  if (!stopped_) return;
  const Micros now = loop_.Now();
  const bool calls = !control_stopped_ || !changes_.empty() || !parked_.empty() || !forwards_.empty();
  if (calls && now < stop_by_) return;
  if (flush_by_ == 0) flush_by_ = now + kFlushWithin;
  std::size_t queued = 0;
  for (const auto& [id, peer] : peers_) {
    if (peer.link && peer.link->connected()) queued += peer.link->queued();
  }
  if ((Holds() || queued > 0) && now < flush_by_) return;
  asio::post(io_, std::exchange(stopped_, nullptr));
}

std::string Core::Impl::StatusText() const {
  nlohmann::json out;
  out["role"] = Holds() ? "holder" : replica_ ? "member" : "starting";
  out["self"] = self_;
  out["life"] = life_;
  out["epoch"] = replica_ ? replica_->term() : 0;
  out["holder"] = replica_ ? replica_->leader() : "";
  out["entry"] = entry_.number;
  out["version"] = ledger_->newest().version();
  out["voters"] = entry_.voters;
  out["sidecarsHeard"] = herald_.Heard(loop_.Now());
  out["diskBad"] = disk_bad_;
  out["stopping"] = stopping_;
  out["links"] = {{"incoming", incoming_.size()}, {"peers", peers_.size()}};
  const Changes::Counters& changes = changes_.counters();
  out["changes"] = {{"taken", changes.taken},
                    {"repeated", changes.repeated},
                    {"conflicts", changes.conflicts},
                    {"invalid", changes.invalid},
                    {"unclear", changes.unclear},
                    {"reads", changes.reads},
                    {"turnedAway", changes.turned_away},
                    {"acksMissing", changes.acks_missing}};
  out["core"] = {{"beats", counters_.beats},
                 {"departures", counters_.departures},
                 {"forwarded", counters_.forwarded},
                 {"forwardedHere", counters_.forwarded_here},
                 {"parked", counters_.parked},
                 {"noHolder", counters_.no_holder},
                 {"badFrames", counters_.bad_frames},
                 {"refusedLinks", counters_.refused_links},
                 {"dials", counters_.dials},
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

Core::Core(asio::io_context& io, const settings::Settings& settings, std::uint64_t life)
    : impl_(std::make_unique<Impl>(io, settings, life)) {}
Core::~Core() = default;
absl::Status Core::Start() { return impl_->Start(); }
void Core::OnSettings(const settings::Settings& settings) { impl_->OnSettings(settings); }
void Core::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
std::string Core::StatusText() const { return impl_->StatusText(); }
std::uint16_t Core::control_port() const { return impl_->control_port(); }

}  // namespace fennelhollow::node
