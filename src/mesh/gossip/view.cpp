#include "mesh/gossip/view.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace fennelhollow::gossip {
namespace {

constexpr Micros kSecond = 1'000'000;
// Added to each received age, so that a record can't circulate quickly without ageing.
constexpr Micros kTransitAllowance = 50'000;
constexpr int kMaxAttempts = 2;  // unanswered requests until a neighbour is dropped
constexpr Micros kDirectContactWindow = kSecond * 3 / 2;
constexpr std::size_t kFewNeighbours = kMaxNeighbours / 2;
constexpr std::uint64_t kCandidateShuffleInterval = 8;  // shuffles, even if the view is full
constexpr std::size_t kMaxLostNeighbours = 16;
constexpr std::size_t kMaxKnownCores = 16;
constexpr Micros kSuspensionThreshold = kSecond;
constexpr Micros kMaxRecordAgeShuffles = 15;  // shuffle intervals; a live peer has been seen more recently
constexpr std::size_t kMaxAmplification = 2;  // size of a response relative to its request

std::uint32_t AgeMs(Micros now, Micros heard) {
  return static_cast<std::uint32_t>(
      std::clamp<Micros>((now - heard) / 1000, 0, std::numeric_limits<std::uint32_t>::max()));
}
Micros HeardAt(Micros now, std::uint32_t age_ms) { return now - Micros{age_ms} * 1000 - kTransitAllowance; }

}  // namespace

View::View(Settings settings, Sink& sink)
    : settings_(std::move(settings)),
      sink_(sink),
      random_(settings_.seed),
      last_request_id_(random_.Next()) {}

void View::SetCandidates(const std::vector<Candidate>& sidecars) {
  candidates_.clear();
  std::size_t seen = 0;
  for (const Candidate& sidecar : sidecars) {  // reservoir sampling
    if (sidecar.address == settings_.address || !IsAddress(sidecar.address)) continue;
    if (++seen <= kMaxCandidates) {
      candidates_.push_back(sidecar);
    } else if (const std::size_t at = random_.Below(seen); at < kMaxCandidates) {
      candidates_[at] = sidecar;
    }
  }
}

void View::SetLocalState(Micros now, std::uint64_t entry, const std::vector<std::string>& cores) {
  entry_ = std::max(entry_, entry);
  for (const std::string& core : cores) {
    if (IsAddress(core)) cores_[core] = {now, now};
  }
  ExpireCores(now);
}

void View::ExpireCores(Micros now) {
  std::erase_if(cores_, [now](const auto& core) { return now - core.second.heard > kCoreExpiry; });
  while (cores_.size() > kMaxKnownCores) {
    cores_.erase(std::min_element(cores_.begin(), cores_.end(), [](const auto& a, const auto& b) {
      return a.second.heard < b.second.heard;
    }));
  }
}

View::Neighbour* View::Find(const std::string& address) {
  const auto at = std::find_if(neighbours_.begin(), neighbours_.end(),
                               [&](const Neighbour& n) { return n.address == address; });
  return at == neighbours_.end() ? nullptr : &*at;
}

bool View::AllowSend(Micros now, std::size_t limit) {
  while (!sent_times_.empty() && now - sent_times_.front() >= kSecond) sent_times_.pop_front();
  if (sent_times_.size() >= limit) {
    ++counters_.over_rate;
    return false;
  }
  sent_times_.push_back(now);
  ++counters_.sent;
  return true;
}

// A random sample of the neighbours.
std::vector<PeerRecord> View::SampleNeighbours(Micros now, const std::string& excluded, std::size_t limit) {
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < neighbours_.size(); ++i) {
    if (neighbours_[i].address != excluded) indices.push_back(i);
  }
  std::vector<PeerRecord> sample;
  while (sample.size() < limit && !indices.empty()) {
    std::swap(indices[random_.Below(indices.size())], indices.back());
    const Neighbour& n = neighbours_[indices.back()];
    sample.push_back({n.name, n.address, AgeMs(now, n.heard)});
    indices.pop_back();
  }
  return sample;
}

std::vector<PeerRecord> View::CoresToSend(Micros now) const {
  std::vector<PeerRecord> records;
  for (const auto& [address, core] : cores_) {
    if (now - core.heard <= kCoreExpiry) records.push_back({"", address, AgeMs(now, core.heard)});
  }
  std::sort(records.begin(), records.end(),
            [](const PeerRecord& a, const PeerRecord& b) { return a.age_ms < b.age_ms; });
  if (records.size() > kMaxCoresPerMessage) records.resize(kMaxCoresPerMessage);
  return records;
}

Message View::BaseMessage(Micros now, Kind kind, std::uint64_t request_id) const {
  Message message;
  message.kind = kind;
  message.request_id = request_id;
  message.name = settings_.name.substr(0, kMaxNameBytes);
  message.entry = entry_;
  if (newer_entry_ > entry_ && now - newer_entry_heard_ <= kEntryExpiry) {
    message.entry = newer_entry_;
    message.entry_age_ms = AgeMs(now, newer_entry_heard_);
  }
  message.cores = CoresToSend(now);
  return message;
}

void View::OnTick(Micros now) {
  // After a suspension of this process the response may be waiting in the socket.
  if (last_tick_ != kNever && now - last_tick_ > kSuspensionThreshold && pending_) pending_->sent_at = now;
  last_tick_ = now;
  if (pending_ && now - pending_->sent_at >= settings_.shuffle_interval / 4) {
    if (pending_->attempts < kMaxAttempts && Find(pending_->address) != nullptr) {
      ++pending_->attempts;
      SendRequest(now);
    } else {
      DropPendingRequest(now);
    }
  }
  if (next_shuffle_at_ == kNever) next_shuffle_at_ = now + random_.Upto(settings_.shuffle_interval / 4);
  if (!pending_ && now >= next_shuffle_at_) Shuffle(now);
}

void View::Shuffle(Micros now) {
  next_shuffle_at_ = now + settings_.shuffle_interval * 3 / 4 + random_.Upto(settings_.shuffle_interval / 2);
  const auto oldest =
      std::min_element(neighbours_.begin(), neighbours_.end(),
                       [](const Neighbour& a, const Neighbour& b) { return a.heard < b.heard; });
  ++shuffles_;
  const bool use_candidate =
      neighbours_.size() < kFewNeighbours ? shuffles_ % 2 == 0 : shuffles_ % kCandidateShuffleInterval == 0;
  std::string to = oldest == neighbours_.end() ? "" : oldest->address;
  if (!candidates_.empty() && (to.empty() || use_candidate))
    to = candidates_[random_.Below(candidates_.size())].address;
  if (to.empty()) return;
  pending_ = PendingRequest{to, ++last_request_id_, now, now, 1, {}};
  SendRequest(now);
}

void View::SendRequest(Micros now) {
  pending_->sent_at = now;
  Message message = BaseMessage(now, Kind::kRequest, pending_->request_id);
  message.sidecars = SampleNeighbours(now, pending_->address, kExchangeSize - 1);
  for (const PeerRecord& record : message.sidecars) pending_->neighbours_sent.push_back(record.address);
  if (AllowSend(now, kMaxSentPerSecond)) sink_.Send(pending_->address, Serialize(message));
}

void View::DropPendingRequest(Micros now) {
  const auto lost_peer = std::find_if(neighbours_.begin(), neighbours_.end(),
                                      [&](const Neighbour& n) { return n.address == pending_->address; });
  if (lost_peer != neighbours_.end()) {
    neighbours_.erase(lost_peer);
    ++counters_.lost_neighbours;
    lost_neighbours_.push_back({pending_->address, pending_->first_sent_at});
    if (lost_neighbours_.size() > kMaxLostNeighbours) lost_neighbours_.pop_front();
    // Shuffles again soon: otherwise the view would stay small after many losses.
    next_shuffle_at_ = std::min(next_shuffle_at_, now + random_.Upto(settings_.shuffle_interval / 4));
  }
  pending_.reset();
}

void View::OnDatagram(Micros now, const std::string& from, std::string_view bytes) {
  if (now - read_window_start_ >= kSecond) {
    read_window_start_ = now;
    reads_in_window_ = 0;
  }
  if (++reads_in_window_ > kMaxReadPerSecond) {  // a flood must not take time from requests
    ++counters_.over_rate;
    return;
  }
  const auto message = Parse(bytes);
  if (!message.ok() || from == settings_.address || !IsAddress(from)) {
    ++counters_.malformed;
    return;
  }
  std::vector<std::string> replaceable;
  if (message->kind == Kind::kResponse) {
    if (!pending_ || pending_->address != from || pending_->request_id != message->request_id) {
      ++counters_.unexpected;
      return;
    }
    replaceable = std::move(pending_->neighbours_sent);
    replaceable.push_back(from);  // it knows this node now, so the link may reverse (as in CYCLON)
    pending_.reset();
  }
  ++counters_.received;
  if (message->kind == Kind::kRequest)
    replaceable = SendResponse(now, from, message->request_id, bytes.size());
  Merge(now, from, *message, std::move(replaceable));
  ProcessHints(now, *message);
}

// Returns the neighbours it sent.
std::vector<std::string> View::SendResponse(Micros now, const std::string& to, std::uint64_t request_id,
                                            std::size_t size) {
  if (!AllowSend(now, kMaxResponsesPerSecond)) return {};
  Message message = BaseMessage(now, Kind::kResponse, request_id);
  message.sidecars = SampleNeighbours(now, to, kExchangeSize);
  std::string bytes = Serialize(message);
  // Limits amplification.
  while (bytes.size() > std::min(kMaxDatagramBytes, kMaxAmplification * size)) {
    auto& longer = message.sidecars.size() > message.cores.size() ? message.sidecars : message.cores;
    if (longer.empty()) return {};
    longer.pop_back();
    bytes = Serialize(message);
  }
  sink_.Send(to, bytes);
  std::vector<std::string> addresses;
  for (const PeerRecord& sidecar : message.sidecars) addresses.push_back(sidecar.address);
  return addresses;
}

void View::Merge(Micros now, const std::string& from, const Message& message,
                 std::vector<std::string> replaceable) {
  const auto add_record = [&](const std::string& name, const std::string& address, Micros heard) {
    if (address == settings_.address) return;
    if (Neighbour* known = Find(address)) {
      known->heard = std::max(known->heard, heard);
      return;
    }
    if (neighbours_.size() >= kMaxNeighbours) {
      Neighbour* replaced = nullptr;
      while (replaced == nullptr && !replaceable.empty()) {
        if (replaceable.front() != address) replaced = Find(replaceable.front());
        replaceable.erase(replaceable.begin());
      }
      if (replaced == nullptr) return;
      *replaced = {name, address, heard};
      return;
    }
    neighbours_.push_back({name, address, heard});
  };
  std::erase_if(lost_neighbours_, [&](const LostNeighbour& lost_peer) { return lost_peer.address == from; });
  if (message.kind == Kind::kRequest || neighbours_.size() < kMaxNeighbours) {
    add_record(message.name, from, now);
  } else if (Neighbour* known = Find(from)) {
    known->heard = now;
  }
  for (const PeerRecord& record : message.sidecars) {
    const Micros heard = HeardAt(now, record.age_ms);
    if (now - heard > kMaxRecordAgeShuffles * settings_.shuffle_interval) continue;
    const bool is_lost = std::any_of(
        lost_neighbours_.begin(), lost_neighbours_.end(),
        [&](const LostNeighbour& l) { return l.address == record.address && heard <= l.requested_at; });
    if (!is_lost) add_record(record.name, record.address, heard);
  }
}

void View::ProcessHints(Micros now, const Message& message) {
  std::vector<std::string> without_contact;
  std::vector<PeerRecord> cores = message.cores;
  std::sort(cores.begin(), cores.end(),
            [](const PeerRecord& a, const PeerRecord& b) { return a.age_ms < b.age_ms; });
  for (const PeerRecord& record : cores) {
    const Micros heard = HeardAt(now, record.age_ms);
    if (now - heard > kCoreExpiry) continue;
    KnownCore& core = cores_[record.address];
    core.heard = std::max(core.heard, heard);
    if (now - core.direct_contact_at > kDirectContactWindow) without_contact.push_back(record.address);
  }
  ExpireCores(now);
  const Micros heard = HeardAt(now, message.entry_age_ms);
  const bool newer = message.entry > entry_ && now - heard <= kEntryExpiry;
  if (newer && now - newer_entry_heard_ > kEntryExpiry) newer_entry_ = 0;
  if (newer && message.entry > newer_entry_) {
    newer_entry_ = message.entry;
    newer_entry_heard_ = heard;
    // Gossip may be the only way it spreads: shuffle earlier.
    next_shuffle_at_ = std::min(next_shuffle_at_, now + random_.Upto(settings_.shuffle_interval / 4));
  } else if (newer && message.entry == newer_entry_) {
    newer_entry_heard_ = std::max(newer_entry_heard_, heard);
  }
  if (!without_contact.empty()) sink_.OnCores(without_contact);
  if (newer) sink_.OnNewerEntry(message.entry);
}

}  // namespace fennelhollow::gossip
