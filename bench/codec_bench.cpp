// Diameter codec throughput on one core: messages decoded, encoded and relayed per second.
//   build/bench/codec_bench
#include <benchmark/benchmark.h>

#include "diameter/messages.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

Message Request() {
  AvpWriter avps;
  avps.Add(avp::kSessionId, "backoffice-1.franchise.example;1;12345");
  avps.Add(avp::kOriginHost, "backoffice-1.franchise.example").Add(avp::kOriginRealm, "franchise.example");
  avps.Add(avp::kDestinationRealm, "activation.example");
  avps.Add(1, "activate", kMandatoryBit, 32473)
      .Add(3, "6041234567", 0, 32473)
      .Add(4, "5c0f6e1a2b3d", 0, 32473);
  avps.AddU32(5, 3000, 0, 32473).Add(6, std::string(212, 'x'), 0, 32473);
  return {{kRequestBit | kProxiableBit, 8388000, 16777999, 1, 2}, avps.Take()};
}

void Read(benchmark::State& state) {
  const Message request = Request();
  const std::string frame = Encode(request.header, request.avps);
  for (auto _ : state) benchmark::DoNotOptimize(Decode(frame));
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(Read);

void Write(benchmark::State& state) {
  for (auto _ : state) {
    const Message request = Request();
    benchmark::DoNotOptimize(Encode(request.header, request.avps));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(Write);

// Relays a request: splits it from the stream, decodes it, and encodes it for the upstream.
void Relay(benchmark::State& state) {
  const Message request = Request();
  const std::string frame = Encode(request.header, request.avps);
  Framer framer(65'536);
  const ForwardOptions options{7, "backoffice-1.franchise.example", false, 5, 32473, 2950};
  for (auto _ : state) {
    framer.Feed(frame);
    const auto decoded = Decode(*framer.Next());
    const Message out = Forward(std::get<Message>(decoded), options);
    benchmark::DoNotOptimize(Encode(out.header, out.avps));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(Relay);

}  // namespace
}  // namespace merlinrun::diameter

BENCHMARK_MAIN();
