// Tests the validation of requests and responses beyond that of the HTTP library.
#include "net/validate.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http.hpp>
#include <string>

namespace merlinrun::net {
namespace {

// The status with which a request is rejected; 0 if it is accepted.
int StatusOf(const std::string& start, const std::string& fields, bool with_id = true) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(64 * 1024);
  parser.body_limit(std::uint64_t{1} << 40);
  ErrorCode error;
  const std::string text = start + " HTTP/1.1\r\n" + (with_id ? "Req-Id: r1\r\n" : "") + fields + "\r\n";
  parser.put(asio::buffer(text), error);
  if (error && error != http::error::need_more) return 400;  // rejected by the library
  EXPECT_TRUE(parser.is_header_done()) << text;
  const auto request_error = ValidateRequest(parser.get());
  return request_error ? static_cast<int>(request_error->status) : 0;
}

TEST(ValidateRequest, AcceptsValidRequests) {
  EXPECT_EQ(StatusOf("GET /api?obj=7f", "Req-Kind: a\r\nReq-Deadline: 0.480\r\n"), 0);
  EXPECT_EQ(StatusOf("GET /api", "Content-Length: 0\r\nReq-Deadline: 3\r\n"), 0);
  EXPECT_EQ(
      StatusOf("POST /api", "Content-Length: 65536\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"),
      0);
  EXPECT_EQ(StatusOf("POST /api", "Transfer-Encoding: Chunked\r\n"), 0);
  EXPECT_EQ(StatusOf("POST /api", "Content-Length: 33554432\r\n"), 0);
  EXPECT_EQ(StatusOf("POST /api", "Content-Length: 4\r\nExpect: 100-Continue\r\n"), 0);
  EXPECT_EQ(StatusOf("GET /ready", "", /*with_id=*/false), 0);
}

// RFC 9112, 3.2.2. Targets without a plain host stay unchanged, and are rejected by ValidateRequest.
TEST(ValidateRequest, ConvertsAbsoluteFormToOriginForm) {
  const auto origin = [](const std::string& target) {
    RequestHeader header;
    header.target(target);
    header.set(http::field::host, "before");
    ConvertToOriginForm(header);
    return std::string(ToStringView(header[http::field::host])) + " " +
           std::string(ToStringView(header.target()));
  };
  EXPECT_EQ(origin("http://origin.svc/api?obj=1"), "origin.svc /api?obj=1");
  EXPECT_EQ(origin("HTTP://origin.svc:80"), "origin.svc:80 /");
  EXPECT_EQ(origin("http://origin.svc?obj=1"), "origin.svc /?obj=1");
  EXPECT_EQ(origin("/api?to=http://x/"), "before /api?to=http://x/");
  for (const std::string unchanged :
       {"http://", "http:///api", "https://x/api", "http://u@x/api", "*", "x:80"})
    EXPECT_EQ(origin(unchanged), "before " + unchanged);
}

TEST(ValidateRequest, RejectsInvalidAndAmbiguousRequests) {
  const struct {
    int status;
    std::string start;
    std::string fields;
  } cases[] = {
      {400, "POST /api", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"},
      {400, "POST /api", "transfer-encoding: CHUNKED\r\ncontent-length: 4\r\n"},
      {400, "POST /api", "Content-Length: 4\r\nContent-Length: 4\r\n"},
      {400, "POST /api", "Content-Length: 4\r\nContent-Length: 5\r\n"},
      {400, "POST /api", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
      {400, "POST /api", "Transfer-Encoding: gzip, chunked\r\n"},
      {400, "POST /api", "Transfer-Encoding: identity\r\n"},
      {400, "POST /api", "Transfer-Encoding: xchunked\r\n"},
      {400, "POST /api", "Content-Length: +4\r\n"},
      {400, "POST /api", "Content-Length: -4\r\n"},
      {400, "POST /api", "Content-Length: 0x4\r\n"},
      {400, "POST /api", "Content-Length: 4, 4\r\n"},
      {400, "POST /api", "Content-Length: 99999999999999999999\r\n"},
      {413, "POST /api", "Content-Length: 33554433\r\n"},
      {413, "POST /api", "Content-Length: 60000000\r\n"},
      {417, "POST /api", "Content-Length: 4\r\nExpect: something\r\n"},
      {417, "POST /api", "Content-Length: 4\r\nExpect: 100-continue\r\nExpect: 100-continue\r\n"},
      {400, "GET /api", "Content-Length: 4\r\n"},
      {400, "GET /api", "Transfer-Encoding: chunked\r\n"},
      {400, "GET http://elsewhere/api", ""},
      {400, "GET /" + std::string(5000, 'x'), ""},
      {400, "GET /api", "Req-Id: r2\r\n"},
      {400, "GET /api", "Req-Kind: a\r\nREQ-KIND: b\r\n"},
      {400, "GET /api", "Req-Deadline: 1\r\nReq-Deadline: 2\r\n"},
      {400, "POST /api", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"},
      {400, "GET /api", "Host: a\r\nHost: b\r\n"},
      {400, "GET /api", "Req-Deadline: 0\r\n"},
      {400, "GET /api", "Req-Deadline: 0.000\r\n"},
      {400, "GET /api", "Req-Deadline: -1\r\n"},
      {400, "GET /api", "Req-Deadline: +1\r\n"},
      {400, "GET /api", "Req-Deadline: nan\r\n"},
      {400, "GET /api", "Req-Deadline: inf\r\n"},
      {400, "GET /api", "Req-Deadline: 1e3\r\n"},
      {400, "GET /api", "Req-Deadline: 1s\r\n"},
      {400, "GET /api", "Req-Deadline: \r\n"},
      {400, "GET /api", "Req-Deadline: 99999999\r\n"},
  };
  for (const auto& c : cases) EXPECT_EQ(StatusOf(c.start, c.fields), c.status) << c.start << " " << c.fields;
  for (const std::string& id : {std::string(), std::string("a b"), std::string("a,b"), std::string(65, 'x')})
    EXPECT_EQ(StatusOf("GET /api", "Req-Id: " + id + "\r\n", /*with_id=*/false), 400) << id;
  EXPECT_EQ(StatusOf("GET /api", "", /*with_id=*/false), 400);
  EXPECT_EQ(StatusOf("HEAD /ready", "", /*with_id=*/false), 405);
  std::string many;
  for (int i = 0; i < 64; ++i) many += "X" + std::to_string(i) + ": y\r\n";
  EXPECT_EQ(StatusOf("GET /api", many), 431);
}

TEST(ValidateForClass, ChecksMethodAndIdempotencyKey) {
  const auto rejected = [](http::verb method, RetrySafety retry_safety, const char* key) {
    RequestHeader header;
    header.method(method);
    if (key != nullptr) header.set(kIdempotencyHeader, key);
    return ValidateForClass(header, retry_safety).has_value();
  };
  EXPECT_FALSE(rejected(http::verb::get, RetrySafety::kSafe, nullptr));
  EXPECT_FALSE(rejected(http::verb::post, RetrySafety::kDeduplicated, "k1"));
  EXPECT_FALSE(rejected(http::verb::post, RetrySafety::kNever, nullptr));
  EXPECT_TRUE(rejected(http::verb::post, RetrySafety::kSafe, nullptr));
  EXPECT_TRUE(rejected(http::verb::head, RetrySafety::kSafe, nullptr));
  EXPECT_TRUE(rejected(http::verb::get, RetrySafety::kSafe, "k1"));
  EXPECT_TRUE(rejected(http::verb::get, RetrySafety::kNever, nullptr));
  EXPECT_TRUE(rejected(http::verb::post, RetrySafety::kDeduplicated, nullptr));
  EXPECT_TRUE(rejected(http::verb::post, RetrySafety::kDeduplicated, ""));
  EXPECT_TRUE(rejected(http::verb::post, RetrySafety::kNever, "k1"));
}

TEST(IsValidResponse, RequiresOneValidLengthWithinTheLimit) {
  const auto accepts = [](unsigned status,
                          std::initializer_list<std::pair<http::field, const char*>> fields) {
    ResponseHeader header;
    header.version(11);
    header.result(status);
    for (const auto& [name, value] : fields) header.insert(name, value);
    return IsValidResponse(header);
  };
  const auto length = http::field::content_length;
  const auto coding = http::field::transfer_encoding;
  EXPECT_TRUE(accepts(200, {{length, "65536"}}));
  EXPECT_TRUE(accepts(200, {{coding, "chunked"}}));
  EXPECT_TRUE(accepts(100, {}));
  EXPECT_TRUE(accepts(204, {}));
  EXPECT_FALSE(accepts(200, {}));  // could be truncated unnoticed
  EXPECT_TRUE(accepts(200, {{http::field::connection, "Close"}}));
  EXPECT_FALSE(accepts(200, {{http::field::connection, "closed"}}));
  EXPECT_FALSE(accepts(200, {{length, "33554433"}}));
  EXPECT_FALSE(accepts(200, {{length, "3221225472"}}));
  EXPECT_FALSE(accepts(200, {{length, "-1"}}));
  EXPECT_FALSE(accepts(200, {{length, "4"}, {length, "4"}}));
  EXPECT_FALSE(accepts(200, {{length, "4"}, {coding, "chunked"}}));
  EXPECT_FALSE(accepts(200, {{coding, "gzip"}}));
}

}  // namespace
}  // namespace merlinrun::net
