#include "rig/sim/operators.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fennelhollow::sim {

namespace {

constexpr Micros kFirstPause = 50 * kMillisecond;
constexpr Micros kLastPause = kSecond;
constexpr Micros kReadEvery = 200 * kMillisecond;
constexpr double kInvalidShare = 0.06;
constexpr double kModifyShare = 0.3;

nlohmann::json Item(const char* kind, const std::string& name, nlohmann::json specification) {
  return {
      {"resourceKind", kind}, {"metadata", {{"name", name}}}, {"specification", std::move(specification)}};
}

}  // namespace

Operators::Operators(EventQueue& events, Judge& judge, std::uint64_t seed, int count, CallCore call)
    : events_(events),
      judge_(judge),
      random_(seed),
      call_(std::move(call)),
      operators_(static_cast<std::size_t>(count)) {
  for (std::size_t who = 0; who < operators_.size(); ++who)
    events_.At(events_.now() + random_.Upto(100 * kMillisecond), [this, who] { Next(who); });
  ReadLoop();
}

bool Operators::AllClear() const {
  return std::all_of(operators_.begin(), operators_.end(), [](const Operator& o) { return o.open == 0; });
}

Order Operators::MakeOrder(const Operator& from) {
  Order order;
  order.id = ++orders_;
  order.base = from.newest;
  order.version = from.newest + 1 + static_cast<std::int64_t>(random_.Below(2));
  order.modify = from.newest > 0 && random_.Unit() < kModifyShare;
  order.valid = random_.Unit() >= kInvalidShare;
  // The limits name the order; a service may have been removed by another one.
  auto limits = Item("limits", "limits", {{"maximumHeaderBytes", 1024 + order.id}});
  auto service = Item("services", "s" + std::to_string(order.id), {{"healthPath", "/health"}});
  nlohmann::json list = {service, limits};
  if (!order.valid) {
    list.push_back(
        Item("routes", "r",
             {{"host", "h.example"}, {"pathPrefix", "/"}, {"kind", "safe"}, {"service", "nobody"}}));
  }
  nlohmann::json body = {{"version", order.version}, {"baseVersion", order.base}};
  if (order.modify) {
    body["upsert"] = {{"resourceList", list}};
  } else {
    body["resourceList"] = list;
  }
  order.body = body.dump();
  return order;
}

void Operators::Next(std::size_t who) {
  if (resting_) return;
  Operator& me = operators_[who];
  ++me.open;
  const std::uint64_t id = judge_.Add(MakeOrder(me)).id;
  Send(who, id, 0);
}

void Operators::Send(std::size_t who, std::uint64_t id, int tries) {
  Order& order = judge_.Find(id);
  const Micros sent_at = events_.now();
  if (order.first_sent < 0) order.first_sent = sent_at;
  const auto kind = order.modify ? control::CallKind::kModify : control::CallKind::kReplace;
  call_(id + static_cast<std::uint64_t>(tries), kind, order.body,
        [this, who, id, tries, sent_at](const std::optional<control::Response>& answer) {
          OnAnswer(who, id, tries, sent_at, answer);
        });
}

void Operators::OnAnswer(std::size_t who, std::uint64_t id, int tries, Micros sent_at,
                         const std::optional<control::Response>& answer) {
  Order& order = judge_.Find(id);
  if (answer) judge_.OnAnswer(order, sent_at, events_.now(), answer->status);
  if (!order.open()) {
    Operator& me = operators_[who];
    if (order.acknowledged_at >= 0) {
      me.newest = std::max(me.newest, order.version);
      // Now and then the same order once more, as after a lost answer.
      if (random_.Unit() < 0.1) Send(who, id, 1000);
      if (tries < 1000) Close(who, random_.Upto(300 * kMillisecond));
    } else {
      ReadNewest(who);
    }
    return;
  }
  const Micros pause = std::min(kLastPause, kFirstPause << std::min(tries, 5));
  events_.At(events_.now() + pause / 2 + random_.Upto(pause), [this, who, id, tries] {
    if (judge_.Find(id).open()) Send(who, id, tries + 1);
  });
}

void Operators::Close(std::size_t who, Micros pause) {
  --operators_[who].open;
  events_.At(events_.now() + pause, [this, who] { Next(who); });
}

void Operators::ReadNewest(std::size_t who) {
  const Micros sent_at = events_.now();
  call_(random_.Next() % 1000, control::CallKind::kRead, {},
        [this, who, sent_at](const std::optional<control::Response>& answer) {
          if (answer) judge_.OnRead(sent_at, events_.now(), answer->status, answer->body);
          if (answer && answer->status == 404)
            return Close(who, kFirstPause);  // there is no configuration yet
          if (!answer || answer->status != 200) {
            events_.At(events_.now() + 2 * kFirstPause, [this, who] { ReadNewest(who); });
            return;
          }
          operators_[who].newest = nlohmann::json::parse(answer->body).at("version").get<std::int64_t>();
          Close(who, random_.Upto(100 * kMillisecond));
        });
}

void Operators::ReadLoop() {
  const Micros sent_at = events_.now();
  call_(random_.Next() % 1000, control::CallKind::kRead, {},
        [this, sent_at](const std::optional<control::Response>& answer) {
          if (answer) judge_.OnRead(sent_at, events_.now(), answer->status, answer->body);
        });
  events_.At(events_.now() + kReadEvery / 2 + random_.Upto(kReadEvery), [this] { ReadLoop(); });
}

}  // namespace fennelhollow::sim
