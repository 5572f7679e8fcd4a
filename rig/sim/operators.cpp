#include "rig/sim/operators.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fennelhollow::sim {

namespace {

constexpr Micros kMinBackoff = 50 * kMillisecond;
constexpr Micros kMaxBackoff = kSecond;
constexpr Micros kReadInterval = 200 * kMillisecond;
constexpr double kInvalidShare = 0.06;
constexpr double kModifyShare = 0.3;

nlohmann::json Item(const char* kind, const std::string& name, nlohmann::json specification) {
  return {
      {"resourceKind", kind}, {"metadata", {{"name", name}}}, {"specification", std::move(specification)}};
}

}  // namespace

Operators::Operators(EventQueue& events, HistoryChecker& checker, std::uint64_t seed, int count,
                     CallCore call)
    : events_(events),
      checker_(checker),
      random_(seed),
      call_(std::move(call)),
      operators_(static_cast<std::size_t>(count)) {
  for (std::size_t index = 0; index < operators_.size(); ++index)
    events_.At(events_.now() + random_.Upto(100 * kMillisecond), [this, index] { Next(index); });
  ReadLoop();
}

bool Operators::AllResolved() const {
  return std::all_of(operators_.begin(), operators_.end(), [](const Operator& o) { return o.open == 0; });
}

ChangeRequest Operators::MakeChange(const Operator& from) {
  ChangeRequest change;
  change.id = ++last_change_id_;
  change.base = from.newest;
  change.version = from.newest + 1 + static_cast<std::int64_t>(random_.Below(2));
  change.modify = from.newest > 0 && random_.Unit() < kModifyShare;
  change.valid = random_.Unit() >= kInvalidShare;
  // The limits encode the change id; the service may have been removed by another change.
  auto limits = Item("limits", "limits", {{"maximumHeaderBytes", 1024 + change.id}});
  auto service = Item("services", "s" + std::to_string(change.id), {{"healthPath", "/health"}});
  nlohmann::json list = {service, limits};
  if (!change.valid) {
    list.push_back(
        Item("routes", "r",
             {{"host", "h.example"}, {"pathPrefix", "/"}, {"kind", "safe"}, {"service", "nobody"}}));
  }
  nlohmann::json body = {{"version", change.version}, {"baseVersion", change.base}};
  if (change.modify) {
    body["upsert"] = {{"resourceList", list}};
  } else {
    body["resourceList"] = list;
  }
  change.body = body.dump();
  return change;
}

void Operators::Next(std::size_t index) {
  if (stopped_) return;
  Operator& me = operators_[index];
  ++me.open;
  const std::uint64_t id = checker_.Add(MakeChange(me)).id;
  Send(index, id, 0);
}

void Operators::Send(std::size_t index, std::uint64_t id, int attempts) {
  ChangeRequest& change = checker_.Find(id);
  const Micros sent_at = events_.now();
  if (change.first_sent < 0) change.first_sent = sent_at;
  const auto kind = change.modify ? control::CallKind::kModify : control::CallKind::kReplace;
  call_(id + static_cast<std::uint64_t>(attempts), kind, change.body,
        [this, index, id, attempts, sent_at](const std::optional<control::Response>& response) {
          OnResponse(index, id, attempts, sent_at, response);
        });
}

void Operators::OnResponse(std::size_t index, std::uint64_t id, int attempts, Micros sent_at,
                           const std::optional<control::Response>& response) {
  ChangeRequest& change = checker_.Find(id);
  if (response) checker_.OnResponse(change, sent_at, events_.now(), response->status);
  if (!change.open()) {
    Operator& me = operators_[index];
    if (change.acknowledged_at >= 0) {
      me.newest = std::max(me.newest, change.version);
      // Sometimes sends the same change again, as after a lost response.
      if (random_.Unit() < 0.1) Send(index, id, 1000);
      if (attempts < 1000) ScheduleNext(index, random_.Upto(300 * kMillisecond));
    } else {
      ReadNewest(index);
    }
    return;
  }
  const Micros pause = std::min(kMaxBackoff, kMinBackoff << std::min(attempts, 5));
  events_.At(events_.now() + pause / 2 + random_.Upto(pause), [this, index, id, attempts] {
    if (checker_.Find(id).open()) Send(index, id, attempts + 1);
  });
}

void Operators::ScheduleNext(std::size_t index, Micros pause) {
  --operators_[index].open;
  events_.At(events_.now() + pause, [this, index] { Next(index); });
}

void Operators::ReadNewest(std::size_t index) {
  const Micros sent_at = events_.now();
  call_(random_.Next() % 1000, control::CallKind::kRead, {},
        [this, index, sent_at](const std::optional<control::Response>& response) {
          if (response) checker_.OnRead(sent_at, events_.now(), response->status, response->body);
          if (response && response->status == 404)
            return ScheduleNext(index, kMinBackoff);  // no configuration yet
          if (!response || response->status != 200) {
            events_.At(events_.now() + 2 * kMinBackoff, [this, index] { ReadNewest(index); });
            return;
          }
          operators_[index].newest = nlohmann::json::parse(response->body).at("version").get<std::int64_t>();
          ScheduleNext(index, random_.Upto(100 * kMillisecond));
        });
}

void Operators::ReadLoop() {
  const Micros sent_at = events_.now();
  call_(random_.Next() % 1000, control::CallKind::kRead, {},
        [this, sent_at](const std::optional<control::Response>& response) {
          if (response) checker_.OnRead(sent_at, events_.now(), response->status, response->body);
        });
  events_.At(events_.now() + kReadInterval / 2 + random_.Upto(kReadInterval), [this] { ReadLoop(); });
}

}  // namespace fennelhollow::sim
