#include "mesh/egress/inbound_proxy_client.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::egress {
namespace {

using ingress::Word;
using transport::Tcp;
constexpr Micros kMs = 1000;
constexpr Micros kIdle = 15'000'000;
constexpr std::size_t kMostIdle = 48;  // to an address
constexpr std::size_t kPiece = std::size_t{256} * 1024;

}  // namespace

struct InboundProxyClient::Line {
  std::shared_ptr<transport::Link> link;
  std::string hop;
  std::uint64_t life = 0;  // of the last hop's process; 0: its Hello has not come
  Handle handle = 0;       // the attempt that it carries or waits to carry
  Handle asks = 0;         // the attempt that it asks after
  Micros rested = 0;
};

struct InboundProxyClient::Out {
  std::string hop;
  ingress::Attempt attempt;
  Events events;
  LinePtr line;
  std::uint64_t life = 0;  // of the last hop that it was sent to
  bool sent = false;
  bool headed = false;
  std::unique_ptr<merlinrun::core::Timer> timer;
};

InboundProxyClient::InboundProxyClient(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings)
    : io_(io), loop_(loop), settings_(std::move(settings)) {}

InboundProxyClient::~InboundProxyClient() {
  for (auto& [handle, out] : out_)
    if (out->line) out->line->link->Close();
  for (auto& [hop, lines] : idle_)
    for (auto& line : lines) line->link->Close();
}

InboundProxyClient::LinePtr InboundProxyClient::Dial(const std::string& hop) {
  ++links_dialed_;
  auto line = std::make_shared<Line>();
  line->hop = hop;
  line->link = transport::Link::Dial(io_, merlinrun::net::ParseAddress(hop).value_or(Tcp::endpoint()),
                                     settings_.dial_ms, {});
  transport::Link::Events events;
  events.on_frame = [this, weak = std::weak_ptr<Line>(line)](std::string_view frame) {
    if (const auto mine = weak.lock()) OnFrame(mine, frame);
  };
  // Holds the line, so that its end is told whoever else has let go of it.
  events.on_closed = [this, line] { OnClosed(line); };
  line->link->Start(std::move(events));
  line->link->Send(transport::Pack(transport::Hello{.purpose = transport::Purpose::kHop,
                                                    .from = settings_.name,
                                                    .address = settings_.address,
                                                    .incarnation = settings_.life}));
  return line;
}

InboundProxyClient::Handle InboundProxyClient::Send(const std::string& hop, ingress::Attempt attempt,
                                                    Events events) {
  const Handle handle = ++last_;
  auto out = std::make_unique<Out>();
  out->hop = hop;
  out->attempt = std::move(attempt);
  out->attempt.ticket = {settings_.life, handle};
  out->events = std::move(events);
  LinePtr line;
  if (const auto it = idle_.find(hop); it != idle_.end()) {
    while (!it->second.empty() && line == nullptr) {
      line = it->second.back();
      it->second.pop_back();
      if (!line->link->open()) line = nullptr;
    }
    if (it->second.empty()) idle_.erase(it);
  }
  if (line == nullptr) line = Dial(hop);
  line->handle = handle;
  out->line = line;
  out_[handle] = std::move(out);
  // Over a new link only when its Hello has come: which life has the attempt must be known, should it be
  // lost.
  if (line->life != 0) Begin(line, handle);
  return handle;
}

void InboundProxyClient::Begin(const LinePtr& line, Handle handle) {
  const auto it = out_.find(handle);
  if (it == out_.end()) return;
  Out& out = *it->second;
  out.sent = true;
  out.life = line->life;
  if (out.attempt.body.size() <= kPiece) {
    line->link->Send(Say(Word::kAttempt, out.attempt));
  } else {
    const std::string body = std::move(out.attempt.body);
    out.attempt.body.clear();
    out.attempt.more = true;
    line->link->Send(Say(Word::kAttempt, out.attempt));
    for (std::size_t at = 0; at < body.size(); at += kPiece)
      line->link->Send(
          Say(Word::kPiece, ingress::Piece{body.substr(at, kPiece), at + kPiece >= body.size()}));
  }
  // What could send it again is the caller's: only the ticket is needed from here on.
  out.attempt.body.clear();
  out.attempt.headers.clear();
}

void InboundProxyClient::Free(const LinePtr& line) {
  line->handle = 0;
  if (!line->link->open()) return;
  line->rested = loop_.Now();
  auto& lines = idle_[line->hop];
  lines.push_back(line);
  if (lines.size() > kMostIdle) {
    lines.front()->link->Close();
    lines.pop_front();
  }
}

void InboundProxyClient::OnFrame(const LinePtr& line, std::string_view frame) {
  const auto bad = [&] {
    line->link->Close();
    OnClosed(line);
  };
  const Word word = ingress::WordOf(frame);
  if (word == Word::kHello) {
    const auto hello = ingress::Heard<transport::Hello>(frame);
    if (!hello.ok() || hello->incarnation == 0 || line->life != 0) return bad();
    line->life = hello->incarnation;
    if (line->asks != 0) {
      const auto it = out_.find(line->asks);
      if (it == out_.end()) return line->link->Close();
      // Another process: it does not know what the one before it passed on.
      if (it->second->life != line->life) {
        const Handle asks = std::exchange(line->asks, 0);
        line->link->Close();
        return Break(asks, false, false);
      }
      line->link->Send(Say(Word::kAsk, ingress::Ask{it->second->attempt.ticket}));
      return;
    }
    if (line->handle != 0) return Begin(line, line->handle);
    return;
  }
  if (word == Word::kTold) {
    const auto told = ingress::Heard<ingress::Told>(frame);
    if (!told.ok() || line->asks == 0) return bad();
    const Handle asks = std::exchange(line->asks, 0);
    if (const auto it = out_.find(asks); it != out_.end()) it->second->line = nullptr;
    Free(line);
    return Break(asks, !told->passed_on, false);
  }
  const auto it = out_.find(line->handle);
  if (it == out_.end()) return bad();
  Out& out = *it->second;
  const Handle handle = line->handle;
  switch (word) {
    case Word::kHead: {
      auto head = ingress::Heard<ingress::Head>(frame);
      if (!head.ok() || out.headed) return bad();
      out.headed = true;
      const bool end = head->end;
      const auto call = out.events.head;
      if (end) {
        out.line = nullptr;
        out_.erase(it);
        Free(line);
      }
      return call(*std::move(head));
    }
    case Word::kPiece: {
      auto piece = ingress::Heard<ingress::Piece>(frame);
      if (!piece.ok() || !out.headed) return bad();
      const auto call = out.events.piece;
      if (piece->end) {
        out.line = nullptr;
        out_.erase(it);
        Free(line);
      }
      return call(*std::move(piece));
    }
    case Word::kTurned: {
      const auto turned = ingress::Heard<ingress::Turned>(frame);
      if (!turned.ok() || out.headed) return bad();
      const auto call = out.events.turned;
      out_.erase(it);
      Free(line);
      return call(static_cast<ingress::Why>(turned->why));
    }
    case Word::kBroken: {
      const auto broken = ingress::Heard<ingress::Broken>(frame);
      if (!broken.ok()) return bad();
      out.line = nullptr;
      Free(line);
      return Break(handle, false, broken->garbled);
    }
    default:
      return bad();
  }
}

void InboundProxyClient::OnClosed(const LinePtr& line) {
  if (line->asks != 0) {
    const Handle asks = std::exchange(line->asks, 0);
    return Break(asks, false, false);
  }
  const Handle handle = std::exchange(line->handle, 0);
  const auto it = out_.find(handle);
  if (handle == 0 || it == out_.end()) {
    if (const auto idle = idle_.find(line->hop); idle != idle_.end()) {
      idle->second.remove(line);
      if (idle->second.empty()) idle_.erase(idle);
    }
    return;
  }
  Out& out = *it->second;
  out.line = nullptr;
  if (!out.sent) {  // it had no Hello: nothing of the attempt has left
    const auto call = out.events.turned;
    out_.erase(it);
    return call(ingress::Why::kUnreachable);
  }
  if (out.headed || !out.attempt.unsafe) return Break(handle, false, false);
  AskAfter(handle);
}

// The answer was lost between the hops. The last hop knows whether the server has the attempt; if not it
// promises that it never will.
void InboundProxyClient::AskAfter(Handle handle) {
  Out& out = *out_.at(handle);
  ++status_queries_;
  LinePtr line = Dial(out.hop);
  line->asks = handle;
  out.line = line;
  out.timer = loop_.NewTimer();
  out.timer->Start(settings_.ask_ms * kMs, [this, handle, line] {
    line->asks = 0;
    line->link->Close();
    Break(handle, false, false);
  });
}

void InboundProxyClient::Break(Handle handle, bool never_ran, bool garbled) {
  const auto it = out_.find(handle);
  if (it == out_.end()) return;
  const auto out = std::move(it->second);
  out_.erase(it);
  out->events.broken(never_ran, garbled);
}

void InboundProxyClient::GiveUp(Handle handle) {
  const auto it = out_.find(handle);
  if (it == out_.end()) return;
  const auto out = std::move(it->second);
  out_.erase(it);
  if (out->line == nullptr) return;
  // An end of the link is what tells the last hop; a link whose answer is still due can carry no other
  // attempt.
  out->line->handle = out->line->asks = 0;
  out->line->link->Close();
}

void InboundProxyClient::Pause(Handle handle) {
  if (const auto it = out_.find(handle); it != out_.end() && it->second->line)
    it->second->line->link->PauseReading();
}
void InboundProxyClient::Resume(Handle handle) {
  if (const auto it = out_.find(handle); it != out_.end() && it->second->line)
    it->second->line->link->ResumeReading();
}

void InboundProxyClient::OnTick(Micros now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    it->second.remove_if([&](const LinePtr& line) {
      if (line->link->open() && now - line->rested < kIdle) return false;
      line->link->Close();
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t InboundProxyClient::idle() const {
  std::size_t n = 0;
  for (const auto& [hop, lines] : idle_) n += lines.size();
  return n;
}

}  // namespace fennelhollow::egress
