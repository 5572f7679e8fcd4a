// Fuzz target of the codec and the peer state machine (libFuzzer). The input is a script: a byte selects the
// event, and a message follows with its length. Checks that nothing is read out of bounds, that decoded
// messages encode to the same bytes, and that an open peer answers or hands over every request.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "diameter/peer.hpp"

namespace {

using namespace merlinrun::diameter;  // NOLINT(google-build-using-namespace)

void Check(bool held, const char* what) {
  if (held) return;
  std::fprintf(stderr, "violated: %s\n", what);
  std::abort();
}

struct Sink : PeerSink {
  void Dial() override {}
  void Write(Side, std::string bytes) override {
    const auto decoded = Decode(bytes);
    Check(std::holds_alternative<Message>(decoded), "an encoded message decodes");
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

Identity MakeIdentity(const char* host) {
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
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded))
    return peer.OnMalformed(now, side, *bad, false);
  Message& message = std::get<Message>(decoded);
  Check(Encode(message.header, message.avps) == frame, "a decoded message encodes to the same bytes");
  const bool expects_answer = message.header.request() && peer.Open() &&
                              (side == Side::kInitiator) == (peer.state() == Peer::State::kIOpen);
  // A DPA is delayed until pending requests are answered.
  const bool is_dpr = message.header.application == 0 && message.header.command == kDisconnectPeer;
  const std::size_t before = sink.answers;
  const bool handed_over = peer.OnMessage(now, side, std::move(message)).has_value();
  if (expects_answer)
    Check(handed_over || is_dpr || sink.answers > before, "a request is answered or handed over");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static const Identity self = MakeIdentity("a.example");
  static const Identity other = MakeIdentity("b.example");
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
        if (framer.framing_error()) {
          peer.OnMalformed(now, side, *framer.framing_error(), true);
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
