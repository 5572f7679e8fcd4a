// Fuzz target of the codec and the peer machine (libFuzzer). The input is a script: a byte that says what
// happens, and for a message its bytes behind a length. What holds whatever comes: nothing is read past the
// end, what decodes encodes to the same bytes, and an open peer answers or hands over every request.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "diameter/peer.hpp"

namespace {

using namespace merlinrun::diameter;  // NOLINT(google-build-using-namespace)

void Demand(bool held, const char* what) {
  if (held) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

struct Sink : PeerSink {
  void Dial() override {}
  void Write(Side, std::string bytes) override {
    const auto decoded = Decode(bytes);
    Demand(std::holds_alternative<Message>(decoded), "what is written can be read");
    answers += std::get<Message>(decoded).header.request() ? 0 : 1;
  }
  void Close(Side) override {}
  std::size_t answers = 0;
};

class Script {
 public:
  Script(const std::uint8_t* data, std::size_t size) : data_(data), size_(size) {}
  bool done() const { return at_ >= size_; }
  std::uint8_t Byte() { return done() ? 0 : data_[at_++]; }
  std::string Bytes(std::size_t n) {
    n = std::min(n, size_ - at_);
    std::string out(reinterpret_cast<const char*>(data_ + at_), n);
    at_ += n;
    return out;
  }

 private:
  const std::uint8_t* data_;
  std::size_t size_;
  std::size_t at_ = 0;
};

Identity Named(const char* host) {
  Identity self;
  self.host = host;
  self.realm = "example";
  self.state_id = 1;
  self.addresses = {AddressData(std::string("\177\0\0\1", 4))};
  self.applications = {kRelayApplication};
  return self;
}

void Receive(Peer& peer, Sink& sink, merlinrun::Micros now, Side side, std::string_view frame) {
  auto decoded = Decode(frame);
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded)) return peer.OnBad(now, side, *bad, false);
  Message& message = std::get<Message>(decoded);
  Demand(Encode(message.header, message.avps) == frame, "what is read is written the same");
  const bool owed = message.header.request() && peer.Open() &&
                    (side == Side::kInitiator) == (peer.state() == Peer::State::kIOpen);
  // A DPR's answer waits for what is under way.
  const bool parts = message.header.application == 0 && message.header.command == kDisconnectPeer;
  const std::size_t before = sink.answers;
  const bool handed = peer.OnMessage(now, side, std::move(message)).has_value();
  if (owed) Demand(handed || parts || sink.answers > before, "a request is answered or handed over");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const Identity self = Named("a.example");
  static const Identity other = Named("b.example");
  static const Dictionary base = Dictionary::Base();
  Script script(data, size);
  Sink sink;
  Peer::Settings settings;
  settings.seed = 7;
  Peer peer(self, base, settings, sink);
  Framer framers[2] = {Framer(4096), Framer(4096)};
  merlinrun::Micros now = 1;
  while (!script.done()) {
    const std::uint8_t step = script.Byte();
    now += 1'000 * (step >> 4);
    const Side side = (step & 8) != 0 ? Side::kResponder : Side::kInitiator;
    Framer& framer = framers[side == Side::kResponder ? 1 : 0];
    switch (step & 7) {
      case 0:
        peer.Start(now);
        break;
      case 1:
        (step & 8) != 0 ? peer.OnDialFailed(now) : peer.OnDialed(now);
        break;
      case 2: {
        const Message cer = MakeCer(other);
        const auto read = ReadCapabilities(self, base, cer);
        peer.OnIncoming(now, cer, std::get<PeerCapabilities>(read));
        break;
      }
      case 3:
        framer.Feed(script.Bytes(script.Byte() + 1));
        while (const auto frame = framer.Next()) Receive(peer, sink, now, side, *frame);
        if (framer.broken()) {
          peer.OnBad(now, side, *framer.broken(), true);
          framer = Framer(4096);
        }
        break;
      case 4:
        peer.OnClosed(now, side);
        break;
      case 5:
        if (peer.due() > 0) peer.OnTimer(now = std::max(now, peer.due()));
        break;
      case 6:
        peer.Stop(now, DisconnectCause::kBusy);
        break;
      case 7:
        peer.Drained(now);
        break;
    }
  }
  return 0;
}
