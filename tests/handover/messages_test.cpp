// Tests the messages between two processes of a sidecar, and that invalid ones are rejected.
#include "handover/messages.hpp"

#include <gtest/gtest.h>

namespace merlinrun::handover {
namespace {

std::string ParseError(std::string_view message) {
  std::string error;
  return ParseHeldResources(message, error) ? "" : error;
}

TEST(MessagesTest, ParsesWhatItSerializes) {
  std::string error;
  const auto read = ParseHeldResources(Serialize({true, 321, 1 << 20}), error);
  ASSERT_TRUE(read) << error;
  EXPECT_TRUE(read->evacuated);
  EXPECT_EQ(read->descriptors, 321U);
  EXPECT_EQ(read->memory, std::size_t{1} << 20);
  EXPECT_LE(Serialize({true, ~std::size_t{0}, ~std::size_t{0}}).size(), kMaxMessageBytes);
}

TEST(MessagesTest, RejectsTruncatedForeignAndNewerMessages) {
  const std::string whole = Serialize({false, 1, 2});
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_NE(ParseError(whole.substr(0, size)), "") << size;
  EXPECT_EQ(ParseError(R"({"program":"other","version":1,"evacuated":false,"sockets":1,"memory":1})"),
            "not a message of this program");
  EXPECT_EQ(ParseError(R"({"program":"fennelhollow","version":2,"evacuated":false,"sockets":1,"memory":1})"),
            "a message of another version");
  for (const char* sockets : {"-1", "1e3", "\"1\"", "null", "99999999999999999"})
    EXPECT_EQ(
        ParseError(
            std::string(R"({"program":"fennelhollow","version":1,"evacuated":false,"memory":1,"sockets":)") +
            sockets + "}"),
        "a message that makes no sense")
        << sockets;
}

TEST(MessagesTest, ASharedLimitNeverFallsBelowTheMinimum) {
  EXPECT_EQ(RemainingShare(384, 100, 64), 284U);
  EXPECT_EQ(RemainingShare(384, 0, 64), 384U);
  EXPECT_EQ(RemainingShare(384, 370, 64), 64U);
  EXPECT_EQ(RemainingShare(384, ~std::size_t{0} - 64, 64), 64U);
}

TEST(MessagesTest, APathTooLongForASocketIsEmpty) {
  EXPECT_EQ(SocketPath("/tmp/x", "127.0.0.1:80"), "/tmp/x/fennelhollow-127.0.0.1-80.sock");
  EXPECT_EQ(SocketPath("", "127.0.0.1:80"), "");
  EXPECT_EQ(SocketPath("/" + std::string(120, 'x'), "127.0.0.1:80"), "");
}

}  // namespace
}  // namespace merlinrun::handover
