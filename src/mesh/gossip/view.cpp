#include "mesh/gossip/view.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace fennelhollow::gossip {
namespace {

constexpr Micros kSecond = 1'000'000;
// Added to each age on its way: guards against what grows no older because it travels quickly.
constexpr Micros kTransit = 50'000;
constexpr int kTimes = 2;  // asked in vain so often, a neighbour is dropped
constexpr Micros kHeardHere = kSecond * 3 / 2;
constexpr std::size_t kFew = kMaxNeighbours / 2;
constexpr std::uint64_t kIntroduceEach = 8;  // shuffles; with a full view, too
constexpr std::size_t kMostLost = 16;
constexpr std::size_t kMaxKnownCores = 16;
constexpr Micros kOwnGap = kSecond;
constexpr Micros kForgetAfter = 15;   // shuffles: nobody is told of by then who lives
constexpr std::size_t kMostGain = 2;  // an answer over its ask, in bytes

std::uint32_t Age(Micros now, Micros heard) {
  return static_cast<std::uint32_t>(
      std::clamp<Micros>((now - heard) / 1000, 0, std::numeric_limits<std::uint32_t>::max()));
}
Micros Heard(Micros now, std::uint32_t age_ms) { return now - Micros{age_ms} * 1000 - kTransit; }

}  // namespace

View::View(Settings settings, Sink& sink)
    : settings_(std::move(settings)), sink_(sink), random_(settings_.seed), drawn_(random_.Next()) {}

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
  Trim(now);
}

void View::Trim(Micros now) {
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

bool View::MaySend(Micros now, std::size_t most) {
  while (!sent_.empty() && now - sent_.front() >= kSecond) sent_.pop_front();
  if (sent_.size() >= most) {
    ++counters_.over_rate;
    return false;
  }
  sent_.push_back(now);
  ++counters_.sent;
  return true;
}

// Neighbours at random.
std::vector<PeerRecord> View::Some(Micros now, const std::string& but, std::size_t most) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < neighbours_.size(); ++i) {
    if (neighbours_[i].address != but) order.push_back(i);
  }
  std::vector<PeerRecord> some;
  while (some.size() < most && !order.empty()) {
    std::swap(order[random_.Below(order.size())], order.back());
    const Neighbour& n = neighbours_[order.back()];
    some.push_back({n.name, n.address, Age(now, n.heard)});
    order.pop_back();
  }
  return some;
}

std::vector<PeerRecord> View::CoresToTell(Micros now) const {
  std::vector<PeerRecord> told;
  for (const auto& [address, core] : cores_) {
    if (now - core.heard <= kCoreExpiry) told.push_back({"", address, Age(now, core.heard)});
  }
  std::sort(told.begin(), told.end(),
            [](const PeerRecord& a, const PeerRecord& b) { return a.age_ms < b.age_ms; });
  if (told.size() > kMaxCoresPerMessage) told.resize(kMaxCoresPerMessage);
  return told;
}

Message View::Base(Micros now, Kind kind, std::uint64_t number) const {
  Message message;
  message.kind = kind;
  message.request_id = number;
  message.name = settings_.name.substr(0, kMaxNameBytes);
  message.entry = entry_;
  if (newer_ > entry_ && now - newer_heard_ <= kEntryExpiry) {
    message.entry = newer_;
    message.entry_age_ms = Age(now, newer_heard_);
  }
  message.cores = CoresToTell(now);
  return message;
}

void View::OnTick(Micros now) {
  // After a gap of one's own the answers may wait to be read.
  if (ticked_ != kNever && now - ticked_ > kOwnGap && asked_) asked_->at = now;
  ticked_ = now;
  if (asked_ && now - asked_->at >= settings_.shuffle_interval / 4) {
    if (asked_->times < kTimes && Find(asked_->address) != nullptr) {
      ++asked_->times;
      Ask(now);
    } else {
      GiveUp(now);
    }
  }
  if (shuffle_at_ == kNever) shuffle_at_ = now + random_.Upto(settings_.shuffle_interval / 4);
  if (!asked_ && now >= shuffle_at_) Shuffle(now);
}

void View::Shuffle(Micros now) {
  shuffle_at_ = now + settings_.shuffle_interval * 3 / 4 + random_.Upto(settings_.shuffle_interval / 2);
  const auto oldest =
      std::min_element(neighbours_.begin(), neighbours_.end(),
                       [](const Neighbour& a, const Neighbour& b) { return a.heard < b.heard; });
  ++shuffles_;
  const bool introduce = neighbours_.size() < kFew ? shuffles_ % 2 == 0 : shuffles_ % kIntroduceEach == 0;
  std::string to = oldest == neighbours_.end() ? "" : oldest->address;
  if (!candidates_.empty() && (to.empty() || introduce))
    to = candidates_[random_.Below(candidates_.size())].address;
  if (to.empty()) return;
  asked_ = Asked{to, ++drawn_, now, now, 1, {}};
  Ask(now);
}

void View::Ask(Micros now) {
  asked_->at = now;
  Message message = Base(now, Kind::kRequest, asked_->number);
  message.sidecars = Some(now, asked_->address, kExchangeSize - 1);
  for (const PeerRecord& told : message.sidecars) asked_->told.push_back(told.address);
  if (MaySend(now, kMaxSentPerSecond)) sink_.Send(asked_->address, Serialize(message));
}

void View::GiveUp(Micros now) {
  const auto lost = std::find_if(neighbours_.begin(), neighbours_.end(),
                                 [&](const Neighbour& n) { return n.address == asked_->address; });
  if (lost != neighbours_.end()) {
    neighbours_.erase(lost);
    ++counters_.lost_neighbours;
    lost_.push_back({asked_->address, asked_->first});
    if (lost_.size() > kMostLost) lost_.pop_front();
    // The next in its place soon: after a loss of many the view would shrink for long.
    shuffle_at_ = std::min(shuffle_at_, now + random_.Upto(settings_.shuffle_interval / 4));
  }
  asked_.reset();
}

void View::OnDatagram(Micros now, const std::string& from, std::string_view bytes) {
  if (now - reads_since_ >= kSecond) {
    reads_since_ = now;
    reads_ = 0;
  }
  if (++reads_ > kMaxReadPerSecond) {  // guards against a flood that takes the time of requests
    ++counters_.over_rate;
    return;
  }
  const auto message = Parse(bytes);
  if (!message.ok() || from == settings_.address || !IsAddress(from)) {
    ++counters_.malformed;
    return;
  }
  std::vector<std::string> room;
  if (message->kind == Kind::kResponse) {
    if (!asked_ || asked_->address != from || asked_->number != message->request_id) {
      ++counters_.unexpected;
      return;
    }
    room = std::move(asked_->told);
    room.push_back(from);  // the link turns round: it knows this one now
    asked_.reset();
  }
  ++counters_.received;
  if (message->kind == Kind::kRequest) room = Answer(now, from, message->request_id, bytes.size());
  Merge(now, from, *message, std::move(room));
  TakeAdvice(now, *message);
}

// Which neighbours it told of.
std::vector<std::string> View::Answer(Micros now, const std::string& to, std::uint64_t number,
                                      std::size_t size) {
  if (!MaySend(now, kMaxResponsesPerSecond)) return {};
  Message message = Base(now, Kind::kResponse, number);
  message.sidecars = Some(now, to, kExchangeSize);
  std::string bytes = Serialize(message);
  // Guards against use as an amplifier.
  while (bytes.size() > std::min(kMaxDatagramBytes, kMostGain * size)) {
    auto& longer = message.sidecars.size() > message.cores.size() ? message.sidecars : message.cores;
    if (longer.empty()) return {};
    longer.pop_back();
    bytes = Serialize(message);
  }
  sink_.Send(to, bytes);
  std::vector<std::string> told;
  for (const PeerRecord& sidecar : message.sidecars) told.push_back(sidecar.address);
  return told;
}

void View::Merge(Micros now, const std::string& from, const Message& message, std::vector<std::string> room) {
  const auto take = [&](const std::string& name, const std::string& address, Micros heard) {
    if (address == settings_.address) return;
    if (Neighbour* known = Find(address)) {
      known->heard = std::max(known->heard, heard);
      return;
    }
    if (neighbours_.size() >= kMaxNeighbours) {
      Neighbour* former = nullptr;
      while (former == nullptr && !room.empty()) {
        if (room.front() != address) former = Find(room.front());
        room.erase(room.begin());
      }
      if (former == nullptr) return;
      *former = {name, address, heard};
      return;
    }
    neighbours_.push_back({name, address, heard});
  };
  std::erase_if(lost_, [&](const Lost& lost) { return lost.address == from; });
  if (message.kind == Kind::kRequest || neighbours_.size() < kMaxNeighbours) {
    take(message.name, from, now);
  } else if (Neighbour* known = Find(from)) {
    known->heard = now;
  }
  for (const PeerRecord& told : message.sidecars) {
    const Micros heard = Heard(now, told.age_ms);
    if (now - heard > kForgetAfter * settings_.shuffle_interval) continue;
    const bool lost = std::any_of(lost_.begin(), lost_.end(), [&](const Lost& l) {
      return l.address == told.address && heard <= l.asked;
    });
    if (!lost) take(told.name, told.address, heard);
  }
}

void View::TakeAdvice(Micros now, const Message& message) {
  std::vector<std::string> unheard;
  std::vector<PeerRecord> cores = message.cores;
  std::sort(cores.begin(), cores.end(),
            [](const PeerRecord& a, const PeerRecord& b) { return a.age_ms < b.age_ms; });
  for (const PeerRecord& told : cores) {
    const Micros heard = Heard(now, told.age_ms);
    if (now - heard > kCoreExpiry) continue;
    KnownCore& core = cores_[told.address];
    core.heard = std::max(core.heard, heard);
    if (now - core.heard_here > kHeardHere) unheard.push_back(told.address);
  }
  Trim(now);
  const Micros heard = Heard(now, message.entry_age_ms);
  const bool newer = message.entry > entry_ && now - heard <= kEntryExpiry;
  if (newer && now - newer_heard_ > kEntryExpiry) newer_ = 0;
  if (newer && message.entry > newer_) {
    newer_ = message.entry;
    newer_heard_ = heard;
    // It goes round by this second way alone, perhaps: sooner than with the next shuffle.
    shuffle_at_ = std::min(shuffle_at_, now + random_.Upto(settings_.shuffle_interval / 4));
  } else if (newer && message.entry == newer_) {
    newer_heard_ = std::max(newer_heard_, heard);
  }
  if (!unheard.empty()) sink_.OnCores(unheard);
  if (newer) sink_.OnNewerEntry(message.entry);
}

}  // namespace fennelhollow::gossip
