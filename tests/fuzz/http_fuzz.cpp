// What parses first of what a stranger sends: request and answer heads, chunks, what is checked of them, and
// what two processes of one sidecar say. The first byte says which, the second into how many pieces it comes.
#include <boost/beast/http.hpp>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "handover/messages.hpp"
#include "net/validate.hpp"

namespace {

using namespace merlinrun::net;  // NOLINT(google-build-using-namespace)

void Require(bool holds) {
  if (!holds) std::abort();
}

// What came of a message, in pieces of this size, by the sidecar's own limits.
struct Outcome {
  bool header = false;
  bool taken = false;
  bool done = false;
  std::string target;
  std::string body;
};

template <bool kRequest>
Outcome Parse(const std::string& text, std::size_t piece) {
  http::parser<kRequest, IncrementalBody> parser;
  parser.eager(false);
  parser.header_limit(kMaxHeader);
  parser.body_limit(kMaxStreamedBody);
  Outcome out;
  std::string held;
  for (std::size_t at = 0; at < text.size() && !parser.is_done();) {
    const std::size_t n = std::min(piece, text.size() - at);
    held.append(text, at, n);
    at += n;
    while (!held.empty() && !parser.is_done()) {
      const bool had = parser.is_header_done();
      ErrorCode error;
      held.erase(0, parser.put(boost::asio::buffer(held), error));
      if (error && error != http::error::need_more) return out;
      if (!had && parser.is_header_done()) {
        out.header = true;
        if constexpr (kRequest) {
          ConvertToOriginForm(parser.get());
          const std::string once(ToStringView(parser.get().target()));
          if (once.front() == '/') ConvertToOriginForm(parser.get());
          Require(once == ToStringView(parser.get().target()));
          out.taken = !ValidateRequest(parser.get());
          // What is passed on has one framing, whoever reads it.
          if (out.taken)
            Require(parser.get().count(http::field::content_length) +
                        parser.get().count(http::field::transfer_encoding) <=
                    1);
        } else {
          out.taken = IsValidResponse(parser.get());
          if (IsDelimitedByClose(parser.get())) Require(!parser.content_length());
        }
        out.target = std::string(ToStringView(parser.get().base()[http::field::host]));
        if (!out.taken) return out;
        parser.eager(true);
      }
      if (error) break;
    }
  }
  out.done = parser.is_done();
  out.body = parser.get().body();
  Require(out.body.size() <= text.size());
  return out;
}

template <bool kRequest>
void Same(const std::string& text, std::size_t piece) {
  const Outcome whole = Parse<kRequest>(text, text.size());
  const Outcome pieces = Parse<kRequest>(text, piece);
  Require(whole.header == pieces.header && whole.taken == pieces.taken && whole.done == pieces.done &&
          whole.target == pieces.target);
  if (whole.done) Require(whole.body == pieces.body);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 3) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 2, size - 2);
  const std::size_t piece = 1 + data[1] % 64;
  switch (data[0] % 3) {
    case 0:
      Same<true>(text, piece);
      break;
    case 1:
      Same<false>(text, piece);
      break;
    default: {
      std::string error;
      const auto held = merlinrun::handover::ParseHeldResources(text, error);
      Require(held.has_value() == error.empty());
    }
  }
  return 0;
}
