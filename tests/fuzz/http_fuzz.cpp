// Fuzz target of what parses untrusted HTTP input first (request and response heads, chunks, their
// validation) and of the messages between two processes of one sidecar. The first byte selects the parser,
// the second the size of the pieces that the input arrives in.
#include <boost/beast/http.hpp>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "handover/messages.hpp"
#include "net/validate.hpp"

namespace {

using namespace merlinrun::net;  // NOLINT(google-build-using-namespace)

void Check(bool holds) {
  if (!holds) std::abort();
}

// Result of parsing a message that arrives in pieces, within the sidecar's limits.
struct Outcome {
  bool header = false;
  bool accepted = false;
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
  std::string buffered;
  for (std::size_t at = 0; at < text.size() && !parser.is_done();) {
    const std::size_t n = std::min(piece, text.size() - at);
    buffered.append(text, at, n);
    at += n;
    while (!buffered.empty() && !parser.is_done()) {
      const bool had_header = parser.is_header_done();
      ErrorCode error;
      buffered.erase(0, parser.put(boost::asio::buffer(buffered), error));
      if (error && error != http::error::need_more) return out;
      if (!had_header && parser.is_header_done()) {
        out.header = true;
        if constexpr (kRequest) {
          ConvertToOriginForm(parser.get());
          const std::string converted(ToStringView(parser.get().target()));
          if (converted.front() == '/') ConvertToOriginForm(parser.get());
          Check(converted == ToStringView(parser.get().target()));
          out.accepted = !ValidateRequest(parser.get());
          // A forwarded message has one framing only, so that no two parsers disagree about its end.
          if (out.accepted)
            Check(parser.get().count(http::field::content_length) +
                      parser.get().count(http::field::transfer_encoding) <=
                  1);
        } else {
          out.accepted = IsValidResponse(parser.get());
          if (IsDelimitedByClose(parser.get())) Check(!parser.content_length());
        }
        out.target = std::string(ToStringView(parser.get().base()[http::field::host]));
        if (!out.accepted) return out;
        parser.eager(true);
      }
      if (error) break;
    }
  }
  out.done = parser.is_done();
  out.body = parser.get().body();
  Check(out.body.size() <= text.size());
  return out;
}

template <bool kRequest>
void ExpectSameResult(const std::string& text, std::size_t piece) {
  const Outcome whole = Parse<kRequest>(text, text.size());
  const Outcome pieces = Parse<kRequest>(text, piece);
  Check(whole.header == pieces.header && whole.accepted == pieces.accepted && whole.done == pieces.done &&
        whole.target == pieces.target);
  if (whole.done) Check(whole.body == pieces.body);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 3) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 2, size - 2);
  const std::size_t piece = 1 + data[1] % 64;
  switch (data[0] % 3) {
    case 0:
      ExpectSameResult<true>(text, piece);
      break;
    case 1:
      ExpectSameResult<false>(text, piece);
      break;
    default: {
      std::string error;
      const auto resources = merlinrun::handover::ParseHeldResources(text, error);
      Check(resources.has_value() == error.empty());
    }
  }
  return 0;
}
