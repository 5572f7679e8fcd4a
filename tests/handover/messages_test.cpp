// What two processes of one sidecar say to each other, and what is not believed.
#include "handover/messages.hpp"

#include <gtest/gtest.h>

namespace merlinrun::handover {
namespace {

std::string WhyNot(std::string_view message) {
  std::string error;
  return ParseHeldResources(message, error) ? "" : error;
}

TEST(TermsTest, ReadsWhatItWrites) {
  std::string error;
  const auto read = ParseHeldResources(Write({true, 321, 1 << 20}), error);
  ASSERT_TRUE(read) << error;
  EXPECT_TRUE(read->evacuated);
  EXPECT_EQ(read->sockets, 321U);
  EXPECT_EQ(read->memory, std::size_t{1} << 20);
  EXPECT_LE(Write({true, ~std::size_t{0}, ~std::size_t{0}}).size(), kMostMessage);
}

TEST(TermsTest, IgnoresWhatIsCutForeignOrNewer) {
  const std::string whole = Write({false, 1, 2});
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_NE(WhyNot(whole.substr(0, size)), "") << size;
  EXPECT_EQ(WhyNot(R"({"program":"other","version":1,"evacuated":false,"sockets":1,"memory":1})"),
            "not a message of this program");
  EXPECT_EQ(WhyNot(R"({"program":"fennelhollow","version":2,"evacuated":false,"sockets":1,"memory":1})"),
            "a message of another version");
  for (const char* sockets : {"-1", "1e3", "\"1\"", "null", "99999999999999999"})
    EXPECT_EQ(WhyNot(std::string(
                         R"({"program":"fennelhollow","version":1,"evacuated":false,"memory":1,"sockets":)") +
                     sockets + "}"),
              "a message that makes no sense")
        << sockets;
}

TEST(TermsTest, ASharedLimitNeverFallsUnderTheLeast) {
  EXPECT_EQ(Left(384, 100, 64), 284U);
  EXPECT_EQ(Left(384, 0, 64), 384U);
  EXPECT_EQ(Left(384, 370, 64), 64U);
  EXPECT_EQ(Left(384, ~std::size_t{0} - 64, 64), 64U);
}

TEST(TermsTest, APathThatASocketCannotHaveIsNone) {
  EXPECT_EQ(PathFor("/tmp/x", "127.0.0.1:80"), "/tmp/x/fennelhollow-127.0.0.1-80.sock");
  EXPECT_EQ(PathFor("", "127.0.0.1:80"), "");
  EXPECT_EQ(PathFor("/" + std::string(120, 'x'), "127.0.0.1:80"), "");
}

}  // namespace
}  // namespace merlinrun::handover
