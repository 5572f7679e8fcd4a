#include "validate.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/verb.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace merlinrun::net {
namespace {

constexpr std::size_t kMaxFields = 64;
constexpr std::size_t kMaxTarget = std::size_t{4} * 1024;
constexpr std::size_t kMaxId = 64;
constexpr std::size_t kMaxKey = 128;
constexpr double kMaxDeadline = 86'400;  // seconds

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Allowed in ids and keys: no characters with a special meaning in headers or lists.
bool IsIdentifier(std::string_view text, std::size_t max_size) {
  return !text.empty() && text.size() <= max_size && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

// A length that all parsers read alike: only digits, without overflow.
bool IsLength(std::string_view text) {
  return !text.empty() && text.size() <= 15 && std::all_of(text.begin(), text.end(), IsDigit);
}

// Prevents request smuggling: no repeated Content-Length, no combination with Transfer-Encoding, and no
// transfer coding but chunked.
template <typename Header>
bool HasUnambiguousFraming(const Header& header, unsigned version) {
  const auto lengths = header.count(http::field::content_length);
  const auto codings = header.count(http::field::transfer_encoding);
  if (lengths + codings > 1) return false;
  if (lengths == 1) return IsLength(ToStringView(header[http::field::content_length]));
  return codings == 0 || (version == 11 && beast::iequals(header[http::field::transfer_encoding], "chunked"));
}

template <typename Header>
bool HasBody(const Header& header) {
  if (header.count(http::field::transfer_encoding) > 0) return true;
  const std::string_view length = ToStringView(header[http::field::content_length]);
  return std::any_of(length.begin(), length.end(), [](char c) { return c != '0'; });
}

// Parsers differ in which value of a repeated field they use.
bool HasRepeatedFields(const RequestHeader& header) {
  const auto more = [&](auto name) { return header.count(name) > 1; };
  return std::any_of(std::begin(kRequestHeaders), std::end(kRequestHeaders), more);
}

}  // namespace

std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  if (text.empty() || text.size() > 32 || !IsDigit(text.front())) return std::nullopt;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (error != std::errc() || end != last || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string FormatSeconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / 1e6);
  return text;
}

void ConvertToOriginForm(RequestHeader& header) {
  constexpr beast::string_view kScheme = "http://";
  const std::string target(ToStringView(header.target()));
  if (target.size() <= kScheme.size() || !beast::iequals(target.substr(0, kScheme.size()), kScheme)) return;
  const std::size_t path = target.find_first_of("/?", kScheme.size());
  const std::string host = target.substr(kScheme.size(), path - kScheme.size());
  // Left unchanged, so that ValidateRequest rejects it: a missing host, or an '@', after which a second host
  // could follow for which the request was not meant.
  if (host.empty() || host.find('@') != std::string::npos) return;
  std::string rest = path == std::string::npos ? "/" : target.substr(path);
  if (rest.front() == '?') rest.insert(0, 1, '/');
  header.set(http::field::host, host);
  header.target(rest);
}

std::optional<RequestError> ValidateRequest(const RequestHeader& header) {
  const auto bad = [](const char* text) { return RequestError{http::status::bad_request, text}; };
  if (static_cast<std::size_t>(std::distance(header.begin(), header.end())) > kMaxFields)
    return RequestError{http::status::request_header_fields_too_large, "too many header fields\n"};
  if (!HasUnambiguousFraming(header, header.version())) return bad("the body's length is in doubt\n");
  const auto length = ToStringView(header[http::field::content_length]);
  if (ParseDecimal(length).value_or(0) > static_cast<double>(kMaxStreamedBody))
    return RequestError{http::status::payload_too_large, "too large\n"};
  if (const auto expects = header.count(http::field::expect);
      expects > 1 || (expects == 1 && (header.version() < 11 ||
                                       !beast::iequals(header[http::field::expect], "100-continue"))))
    return RequestError{http::status::expectation_failed, "unknown expectation\n"};
  if (header.target().empty() || header.target().front() != '/' || header.target().size() > kMaxTarget)
    return bad("the target is no path\n");
  if (HasRepeatedFields(header)) return bad("a header field is repeated\n");
  if (header.method() == http::verb::get && HasBody(header)) return bad("GET with a body\n");
  if (header.target() == kReadyPath) {
    if (header.method() != http::verb::get)
      return RequestError{http::status::method_not_allowed, "GET alone\n"};
    return std::nullopt;
  }
  if (!IsIdentifier(ToStringView(header[kIdHeader]), kMaxId)) return bad("no valid Req-Id\n");
  if (header.count(kDeadlineHeader) > 0) {
    const auto deadline = ParseDecimal(ToStringView(header[kDeadlineHeader]));
    if (!deadline || *deadline <= 0 || *deadline > kMaxDeadline) return bad("no valid Req-Deadline\n");
  }
  return std::nullopt;
}

std::optional<RequestError> ValidateForClass(const RequestHeader& header, RetrySafety retry_safety) {
  const bool keyed = header.count(kIdempotencyHeader) > 0;
  const auto method = retry_safety == RetrySafety::kSafe ? http::verb::get : http::verb::post;
  if (header.method() != method)
    return RequestError{http::status::method_not_allowed, "not this class's method\n"};
  if (keyed != (retry_safety == RetrySafety::kDeduplicated) ||
      (keyed && !IsIdentifier(ToStringView(header[kIdempotencyHeader]), kMaxKey)))
    return RequestError{http::status::bad_request, "Idempotency-Key does not fit the class\n"};
  return std::nullopt;
}

bool IsDelimitedByClose(const ResponseHeader& header) {
  const bool announces_close = http::token_list(header[http::field::connection]).exists("close");
  return announces_close && header.result_int() >= 200 && header.count(http::field::content_length) == 0 &&
         header.count(http::field::transfer_encoding) == 0;
}

bool IsValidResponse(const ResponseHeader& header) {
  // A response without a length could be truncated unnoticed. Accepted only if it announces the close: then
  // only an orderly close ends the body, while a server that dies resets the connection.
  const bool length_optional = IsDelimitedByClose(header) || header.result_int() < 200 ||
                               header.result() == http::status::no_content ||
                               header.result() == http::status::not_modified;
  if (!length_optional && header.count(http::field::content_length) == 0 &&
      header.count(http::field::transfer_encoding) == 0)
    return false;
  return HasUnambiguousFraming(header, header.version()) &&
         ParseDecimal(ToStringView(header[http::field::content_length])).value_or(0) <=
             static_cast<double>(kMaxStreamedBody);
}

}  // namespace merlinrun::net
